#include "gatewayfixture.h"

#include <godwit/observe/log.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <string>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

TEST_CASE("Gateway authenticates and routes requests")
{
    Fixture it;

    SECTION("without a configuration requests get 503")
    {
        const auto view = it.sendRequest("/safe/x");
        CHECK(view->status == 503);
        CHECK(view->headers.find("Retry-After"));
        CHECK_FALSE(it.gateway.isReady());
    }
    it.configure();
    SECTION("a request with a known route and key is forwarded with the name of the customer")
    {
        const auto view = it.sendRequest("/safe/x");
        REQUIRE(it.backendCalls.size() == 1);
        CHECK(it.backendCalls[0]->call.headers.value("customer") == "dairy");
        it.backendCalls[0]->respond(200, "done");
        CHECK(view->status == 200);
        CHECK(view->body == "done");
        CHECK(it.gateway.inProgress() == 0);
    }
    SECTION("unknown routes and keys are denied while the configuration is up to date")
    {
        CHECK(it.sendRequest("/none/x")->status == 404);
        CHECK(it.sendRequest("/safe/x", "stolen")->status == 401);
    }
    SECTION("unknown routes and keys get 503 while the configuration may be outdated")
    {
        it.scheduler.advance(2s);
        CHECK(it.sendRequest("/none/x")->status == 503);
        CHECK(it.sendRequest("/safe/x", "new")->status == 503);
        CHECK(it.sendRequest("/safe/x")->status == 0);
        CHECK(it.backendCalls.size() == 1);
    }
    SECTION("a key is not accepted beyond the time limit for its revocation")
    {
        it.scheduler.advance(4100ms);
        CHECK(it.sendRequest("/safe/x")->status == 503);
        CHECK(it.backendCalls.empty());
    }
    // Guards against a process that takes clients which it refuses for the first seconds.
    SECTION("a process is ready once it can accept keys, and stays so")
    {
        Fixture started;
        started.configure();
        started.scheduler.advance(4100ms);
        CHECK_FALSE(started.gateway.isReady());
        started.gateway.onConfigurationConfirmed(started.scheduler.now());
        CHECK(started.gateway.isReady());
        started.scheduler.advance(1h);
        CHECK(started.gateway.isReady());
    }
    SECTION("an older configuration does not replace a newer one")
    {
        auto newer = Fixture::configuration(9);
        newer.routes.clear();
        it.gateway.setConfiguration(std::make_shared<const RouteTable>(newer));
        it.gateway.setConfiguration(std::make_shared<const RouteTable>(Fixture::configuration(5)));
        CHECK(it.sendRequest("/safe/x")->status == 404);
    }
}

TEST_CASE("Gateway executes an unsafe request at most once")
{
    Fixture it;
    it.configure();
    const auto view = it.sendRequest("/book/x");
    REQUIRE(it.backendCalls.size() == 1);

    SECTION("a lost response gives 502, which leaves open whether the request was executed")
    {
        it.backendCalls[0]->fail(ResultCode::PlatformReplyLost);
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->status == 502);
    }
    SECTION("a silent backend server gives 504 at the deadline, without a retry")
    {
        it.scheduler.advance(3s);
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->status == 504);
        CHECK(it.backendCalls[0]->cancelled);
    }
    SECTION("a request that was not executed is retried at another backend server")
    {
        it.backendCalls[0]->reject(503);
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(it.backendCalls[1]->backend() != it.backendCalls[0]->backend());
        it.backendCalls[1]->respond(200, "booked");
        CHECK(view->body == "booked");
    }
    SECTION("503 is sent only if no backend server executed the request")
    {
        it.backendCalls[0]->reject(503);
        it.backendCalls[1]->reject(421);
        it.backendCalls[2]->fail(ResultCode::PlatformUnreachable);
        CHECK(view->status == 503);
        CHECK(view->headers.find("Retry-After"));
    }
    SECTION("a request that may have been executed after a rejection gives 502")
    {
        it.backendCalls[0]->reject(503);
        it.backendCalls[1]->fail(ResultCode::PlatformBadReply);
        CHECK(view->status == 502);
    }
    SECTION("a response with a content coding is not accepted")
    {
        it.backendCalls[0]->head(200, {{"seal", "s"}, {"encoded", "1"}});
        it.backendCalls[0]->data("x");
        it.backendCalls[0]->complete();
        CHECK(view->status == 502);
    }
    SECTION("an error response of the backend server is passed on unchanged")
    {
        it.backendCalls[0]->respond(500, "full bin");
        CHECK(view->status == 500);
        CHECK(view->body == "full bin");
    }
}

// Guards against a request that reaches a backend server after its client has given up: rejected
// just before its deadline, it was sent once more, with nothing left of its time.
TEST_CASE("Gateway retries no request that has no time left")
{
    Fixture it;
    it.configure();
    const auto view = it.sendRequest("/safe/x", "k", 150ms);
    REQUIRE(it.backendCalls.size() == 1);

    SECTION("after a rejection just before the deadline")
    {
        it.scheduler.advance(130ms);
        it.backendCalls[0]->reject(503);
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->status == 503);
    }
    SECTION("after a failure just before the deadline")
    {
        it.scheduler.advance(130ms);
        it.backendCalls[0]->respond(500, "failed");
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->status == 500);
    }
    SECTION("but one that has some")
    {
        it.scheduler.advance(50ms);
        it.backendCalls[0]->reject(503);
        CHECK(it.backendCalls.size() == 2);
    }
}

TEST_CASE("Gateway cancels requests whose client has disconnected")
{
    Fixture it;
    it.configure();
    const auto view = it.sendRequest("/safe/x");

    SECTION("the call to the backend server is cancelled at once")
    {
        view->closed();
        CHECK(it.backendCalls[0]->cancelled);
        CHECK(it.gateway.inProgress() == 0);
        CHECK(it.gateway.backends().inProgress(BackendId(it.backendCalls[0]->backend())) == 0);
    }
    SECTION("late callbacks of a finished attempt are ignored")
    {
        view->closed();
        it.backendCalls[0]->respond(200, "late");
        CHECK(view->body.empty());
    }
}

TEST_CASE("Gateway resumes a stream at another engine")
{
    Fixture it;
    it.configure();
    const auto view = it.sendRequest("/stream/x");
    it.backendCalls[0]->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "4"}});
    it.backendCalls[0]->data("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(view->body == "id: 1\ndata: a\n\n");

    SECTION("after the last complete event")
    {
        it.backendCalls[0]->fail(ResultCode::PlatformReplyLost);
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(it.backendCalls[1]->backend() != it.backendCalls[0]->backend());
        CHECK(it.backendCalls[1]->call.headers.value("last") == "1");
        it.backendCalls[1]->head(200, {{"seal", "t"}, {"events", "1"}, {"weights", "4"}});
        it.backendCalls[1]->data("id: 2\ndata: b\n\n");
        it.backendCalls[1]->complete();
        CHECK(view->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(view->finished);
    }
    SECTION("but not with the response of other weights")
    {
        it.backendCalls[0]->fail(ResultCode::PlatformReplyLost);
        it.backendCalls[1]->head(200, {{"seal", "t"}, {"events", "1"}, {"weights", "5"}});
        it.backendCalls[1]->data("id: 2\ndata: b\n\n");
        it.backendCalls[1]->complete();
        CHECK(view->body == "id: 1\ndata: a\n\n");
        CHECK(view->aborted);
        CHECK_FALSE(view->finished);
    }
    // An engine loads new weights, and its record is updated a moment later.
    SECTION("only if the engine has the weights with which the stream started")
    {
        CHECK_FALSE(it.backendCalls[0]->call.headers.find("weights"));
        it.backendCalls[0]->fail(ResultCode::PlatformReplyLost);
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(it.backendCalls[1]->call.headers.value("weights") == "4");
        const std::string other = it.backendCalls[1]->backend();
        it.backendCalls[1]->reject(421);
        // The engine with other weights is not another process, and serves other requests.
        it.scheduler.advance(500ms);
        std::set<std::string> used;
        for (int i = 0; i < 30; ++i) {
            it.sendRequest("/stream/x");
            used.insert(it.backendCalls.back()->backend());
        }
        CHECK(used.contains(other));
    }
    SECTION("a stream that ends in the middle of an event is not complete")
    {
        it.backendCalls[0]->complete();
        CHECK_FALSE(view->finished);
    }
}

TEST_CASE("Gateway keeps the retry budget when all backend servers reject")
{
    Fixture it;
    it.configure();
    std::size_t refused = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::size_t before = it.backendCalls.size();
        const auto view = it.sendRequest("/book/x");
        for (std::size_t k = before; k < it.backendCalls.size(); ++k)
            it.backendCalls[k]->reject(503);
        refused += view->status == 503 ? 1 : 0;
        it.scheduler.advance(9ms);
    }
    CHECK(refused == 1000);
    CHECK(it.backendCalls.size() <= 1000 + 0.2 * 1000 + 100);
}

// More requests than slots.
TEST_CASE("Gateway refuses requests that cannot start on time")
{
    Fixture it;
    it.configure();
    while (it.backendCalls.size() < 60 && it.sendRequest("/book/x")->status == 0)
        continue;
    REQUIRE(it.backendCalls.size() < 60);

    SECTION("with a Retry-After that lets the backend servers catch up")
    {
        const auto view = it.sendRequest("/book/x");
        CHECK(view->status == 503);
        const double retryAfter = std::stod(std::string(view->headers.value("Retry-After")));
        CHECK(retryAfter >= 0.3);
        CHECK(retryAfter <= 2.0 / 3);
    }
    SECTION("but not once a slot is free again")
    {
        it.backendCalls[0]->respond(200, "booked");
        CHECK(it.sendRequest("/book/x")->status == 0);
    }
}

namespace {

/// Gateway with one engine, which has version 1 of a model, and a request for that model.
struct VersionFixture : Fixture
{
    const ModelId model{"m"};
    HttpRequest request;

    VersionFixture()
    {
        configure();
        // The silence timeout, two objectives, is longer than the times in the tests.
        GatewayConfiguration slow = configuration(2);
        slow.routes.back().objective = 600ms;
        gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(slow)));
        gateway.backends().remove(BackendId("b2"));
        gateway.backends().remove(BackendId("b3"));
        serve(1, 1);
        request.method = "POST";
        request.target = "/stream/x";
        request.headers = {{"id", "r1"}, {"Host", "h"}, {"key", "k"}, {"model", "m"}};
    }

    void serve(int number, std::uint64_t version)
    {
        gateway.backends().update({BackendId("b" + std::to_string(number)),
                                   "desk",
                                   {"10.0.0." + std::to_string(number), 80},
                                   ZoneId("z"),
                                   6,
                                   false,
                                   2,
                                   {{model, version}},
                                   std::nullopt},
                                  scheduler.now());
    }
};

} // namespace

// Requests are queued at engines when the grace period of their weights ends.
TEST_CASE("Gateway cancels attempts that have not started when the weights become outdated")
{
    VersionFixture it;
    it.gateway.requireVersion(it.model, 2, it.scheduler.now() + 300ms);
    it.gateway.handle(it.request, std::make_shared<ClientView>());
    REQUIRE(it.backendCalls.size() == 1);
    const auto first = it.backendCalls[0];
    it.serve(2, 2);

    SECTION("an attempt without a response is cancelled and sent elsewhere")
    {
        it.scheduler.advance(390ms);
        CHECK_FALSE(first->cancelled);
        it.scheduler.advance(20ms);
        CHECK(first->cancelled);
        CHECK(it.backendCalls.size() == 2);
    }
    // A server may send the head when it admits a stream, long before it begins to work on it.
    // Guards against an attempt that begins on outdated weights because of its early head.
    SECTION("a stream of which only the head has arrived is cancelled as well")
    {
        first->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        it.scheduler.advance(600ms);
        CHECK(first->cancelled);
        CHECK(it.backendCalls.size() == 2);
    }
    SECTION("unless the head states the newer version")
    {
        first->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "2"}});
        it.scheduler.advance(600ms);
        CHECK_FALSE(first->cancelled);
    }
    // Guards against a valid attempt being cancelled by the expiry of the version in the record.
    SECTION("and then only when that version is outdated as well")
    {
        first->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "2"}});
        it.scheduler.advance(560ms);
        it.gateway.requireVersion(it.model, 3, it.scheduler.now() + 50ms);
        it.scheduler.advance(140ms);
        CHECK_FALSE(first->cancelled);
        it.scheduler.advance(20ms);
        CHECK(first->cancelled);
    }
    // The grace period may end before the deadline of a request that was sent before it began.
    // Guards against such a request waiting in a queue until the weights are outdated.
    SECTION("so is an attempt that was sent before the version was announced")
    {
        it.scheduler.advance(400ms);
        it.gateway.handle(it.request, std::make_shared<ClientView>());
        const auto earlier = it.backendCalls.back();
        REQUIRE(earlier->backend() == "b2");
        it.gateway.requireVersion(it.model, 3, it.scheduler.now() + 300ms);
        it.serve(3, 3);
        it.scheduler.advance(390ms);
        CHECK_FALSE(earlier->cancelled);
        it.scheduler.advance(20ms);
        CHECK(earlier->cancelled);
        CHECK(it.backendCalls.back()->backend() == "b3");
    }
    // Without it nobody can tell from outside whether old weights were used for too long.
    SECTION("a response that starts with outdated weights is counted")
    {
        Counter &outdated = it.registry.counter("godwit_outdated_starts_total", "");
        first->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        first->data("id: 1\ndata: a\n\n");
        CHECK(outdated.value() == 0);
        it.gateway.handle(it.request, std::make_shared<ClientView>());
        it.scheduler.advance(400ms);
        const auto &second = it.backendCalls.back();
        second->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        second->data("id: 1\ndata: a\n\n");
        CHECK(outdated.value() == 1);
    }
    SECTION("a response that has started continues")
    {
        first->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        first->data("id: 1\ndata: a\n\n");
        it.scheduler.advance(600ms);
        CHECK_FALSE(first->cancelled);
        CHECK(it.backendCalls.size() == 1);
    }
}

namespace {

/// A backend server that begins each request a fixed time after it has read it, unless it has
/// noticed a cancellation before. It falls silent once: it reads nothing then, and goes on
/// afterwards with what it had read before it notices which of it was cancelled meanwhile. A
/// cancellation takes CancelTime to reach it.
class SilentServer
{
public:
    static constexpr Duration SilenceLength = 1500ms;
    static constexpr Duration CancelTime = 300ms;

    SilentServer(VersionFixture &fixture, TimePoint silentFrom, Duration startTime)
        : m_fixture(fixture)
        , m_silentFrom(silentFrom)
        , m_startTime(startTime)
    {}

    /// Handles what is due. Must be called whenever the clock has advanced.
    void run()
    {
        const TimePoint now = m_fixture.scheduler.now();
        for (Work &it : m_work) {
            if (it.call && it.call->cancelled && !it.cancelledAt)
                it.cancelledAt = now;
        }
        if (now >= m_silentFrom && now < m_silentFrom + SilenceLength)
            return;
        for (Work &it : m_work)
            handle(it, now);
        for (; m_read < m_fixture.backendCalls.size(); ++m_read)
            m_work.push_back({m_fixture.backendCalls[m_read], now + m_startTime, {}});
    }

    TimePoint lastBegin() const { return m_lastBegin; }

private:
    struct Work
    {
        std::shared_ptr<BackendCall> call;
        TimePoint due;
        std::optional<TimePoint> cancelledAt;
    };

    void handle(Work &work, TimePoint now)
    {
        const bool isDue = now >= work.due;
        const bool isCancelled = work.cancelledAt && now >= *work.cancelledAt + CancelTime;
        const auto call = isDue || isCancelled ? std::exchange(work.call, nullptr) : nullptr;
        if (!call || !isDue)
            return;
        m_lastBegin = now;
        if (call->cancelled)
            return;
        call->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        call->data("id: 1\ndata: x\n\n");
        call->complete();
    }

    VersionFixture &m_fixture;
    TimePoint m_silentFrom;
    Duration m_startTime;
    std::vector<Work> m_work;
    std::size_t m_read = 0;
    TimePoint m_lastBegin;
};

/// Sends requests, while a newer version is announced, until the grace period of the older one has
/// ended. Returns how long before its end the last of them began at an engine that begins requests
/// \a startTime after it has read them, and that fell silent \a before the end.
Duration lastBeginBeforeEnd(Duration before, Duration startTime)
{
    constexpr Duration Step = 10ms;
    constexpr Duration Pause = 50ms;
    VersionFixture it;
    const VersionWindow window{it.scheduler.now(), 8s};
    it.gateway.requireVersion(it.model, 2, window.startDeadline());
    SilentServer server(it, window.end() - before, startTime);
    const TimePoint start = it.scheduler.now();
    while (it.scheduler.now() < window.end() + 2 * SilentServer::SilenceLength) {
        it.gateway.onConfigurationConfirmed(it.scheduler.now());
        if ((it.scheduler.now() - start) % Pause == Duration::zero())
            it.gateway.handle(it.request, std::make_shared<ClientView>());
        it.scheduler.advance(Step);
        server.run();
    }
    return window.end() - server.lastBegin();
}

/// Collects the log, and advances the clock of \a fixture, because the limit on log lines is shared
/// with the other tests.
std::ostringstream &collectLog(Fixture &fixture, Duration advance)
{
    static std::ostringstream out;
    out.str({});
    setUpLogging(out);
    fixture.scheduler.advance(advance);
    return out;
}

std::string failureLine(const std::ostringstream &out)
{
    const std::string lines = out.str();
    const std::size_t start = lines.find(R"("event":"request_failed")");
    REQUIRE(start != std::string::npos);
    return lines.substr(start, lines.find('\n', start) - start);
}

} // namespace

// Guards against a bound on the last use of outdated weights that relies on a server reading a
// cancellation in time: a sound server may fall silent for a second or so at any time.
TEST_CASE("Servers that fall silent before their weights become outdated begin nothing late")
{
    // Requests start at once, or wait in the queue of the server when they are cancelled.
    const Duration startTime = GENERATE(100ms, 900ms);
    for (Duration before = 4s; before >= Duration::zero(); before -= 50ms) {
        CAPTURE(before / 1ms, startTime / 1ms);
        const Duration last = lastBeginBeforeEnd(before, startTime);
        CHECK(last >= Duration::zero());
        // Requests are sent for as long as a silence allows.
        CHECK(last < SilentServer::SilenceLength + 1s);
    }
}

// Guards against a late cancellation that cannot be told from a version that was dated too late.
TEST_CASE("The request log says when an attempt was cancelled because of its weights")
{
    VersionFixture it;
    const std::ostringstream &out = collectLog(it, 24h);
    it.gateway.onConfigurationConfirmed(it.scheduler.now());
    const VersionWindow window{it.scheduler.now() - 5350ms, 8s};
    it.gateway.requireVersion(it.model, 2, window.startDeadline());
    const auto first = std::make_shared<ClientView>();
    it.gateway.handle(it.request, first);
    REQUIRE(it.backendCalls.size() == 1);
    const auto view = std::make_shared<ClientView>();
    it.gateway.handle(it.request, view);

    const std::string cancelled = R"("cancelled_after_grace_ms":-1900)";
    SECTION("at a server that was silent since it was sent")
    {
        it.scheduler.advance(1s);
        CHECK(view->status == 502);
        const std::string line = failureLine(out);
        CAPTURE(line);
        CHECK(line.find(cancelled + R"(,"quiet_ms":750)") != std::string::npos);
    }
    // Guards against a slow server that cannot be told from a silent one.
    SECTION("at a server that went on with another request")
    {
        const auto other = it.backendCalls[0];
        other->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        for (int n = 0; n < 10; ++n) {
            it.scheduler.advance(100ms);
            other->data("id: " + std::to_string(n) + "\ndata: x\n\n");
        }
        CHECK(view->status == 502);
        const std::string line = failureLine(out);
        CAPTURE(line);
        CHECK(line.find(cancelled + R"(,"quiet_ms":50)") != std::string::npos);
    }
}

// Guards against a request that ran twice of which nobody can tell why it was sent again: the
// rejection may be that of another request, or of an earlier sending of this one.
TEST_CASE("The request log says by which response an attempt was rejected")
{
    Fixture it;
    it.protocol.identifiesRequests = true;
    const std::ostringstream &out = collectLog(it, 48h);
    it.configure();
    it.sendRequest("/book/x");
    it.backendCalls[0]->handlers.onSending(7);
    it.scheduler.advance(30ms);
    it.backendCalls[0]->head(503, {{"not-run", "1"}, {"echo", "r1"}});
    it.backendCalls[0]->complete();
    REQUIRE(it.backendCalls.size() == 2);
    it.backendCalls[1]->head(503, {{"not-run", "1"}});
    it.backendCalls[1]->complete();
    const std::string line = failureLine(out);
    CAPTURE(line);
    const auto address = [&it](std::size_t i) {
        return R"("address":")" + toString(it.backendCalls[i]->call.endpoint) + '"';
    };
    REQUIRE(line.find(address(1)) != std::string::npos);
    CHECK(line.find(address(0)) < line.find(address(1)));
    CHECK(line.find(R"("earlier_calls":7,"status":503,"head_ms":30,"identified":true)")
          != std::string::npos);
    CHECK(line.find(R"("status":503,"head_ms":0,"identified":false)") != std::string::npos);
}

// Refused clients retry while other requests can still be on time.
TEST_CASE("Gateway queues retries of clients behind requests that can be on time")
{
    Fixture it;
    it.configure();
    it.sendRequest("/stream/x", "k", 2s);
    it.sendRequest("/stream/x", "k", 1s);
    REQUIRE(it.backendCalls.size() == 2);
    const auto priority = [&it](std::size_t i) {
        return std::stoi(std::string(it.backendCalls[i]->call.headers.value("priority")));
    };
    CHECK(priority(1) > priority(0));

    // A shorter timeout of the route must not make all of its clients look like retrying ones.
    SECTION("but not after a change of the timeout of the route")
    {
        auto shorter = Fixture::configuration(2);
        for (Route &route : shorter.routes)
            route.timeout = 1s;
        it.gateway.setConfiguration(std::make_shared<const RouteTable>(shorter));
        it.sendRequest("/stream/x", "k", 2s);
        CHECK(priority(2) == priority(0));
    }
    // One request with a long timeout must not lower the priority of all others.
    SECTION("nor for other customers, or after a single request with a long timeout")
    {
        it.sendRequest("/stream/x", "l", 1s);
        CHECK(priority(2) == priority(0));
        it.sendRequest("/stream/x", "k", 1h);
        it.sendRequest("/stream/x", "k", 2s);
        CHECK(priority(4) == priority(0));
    }
    // Guards against first attempts that lose their place because their clients wait less long than
    // others do: a client that was refused has waited for at least its Retry-After.
    SECTION("nor first attempts whose timeouts differ by less than the shortest Retry-After")
    {
        for (const Duration timeout : {1995ms, 1900ms, 1800ms, 1720ms}) {
            it.sendRequest("/stream/x", "l", 2s);
            it.sendRequest("/stream/x", "l", timeout);
            CHECK(priority(it.backendCalls.size() - 1) == priority(0));
        }
    }
    SECTION("nor when all clients have switched to a shorter timeout")
    {
        for (int i = 0; i < 1000; ++i) {
            it.sendRequest("/stream/x", "k", 1s);
            it.backendCalls.back()->respond(200, "done");
        }
        it.sendRequest("/stream/x", "k", 1s);
        CHECK(priority(it.backendCalls.size() - 1) == priority(0));
    }
}

// Guards against refused clients that return as soon as they were told and take the slots of
// requests that can still be on time.
TEST_CASE("Gateway recognises clients that return after their Retry-After")
{
    Fixture it;
    it.configure();
    std::vector<Duration> waits;
    for (int i = 0; waits.size() < 20 && i < 200; ++i) {
        const auto client = it.sendRequest("/stream/x", "k", 2s);
        if (client->status == 503)
            waits.push_back(std::chrono::milliseconds(std::lround(
                    1000 * std::stod(std::string(client->headers.value("Retry-After"))))));
    }
    REQUIRE(waits.size() == 20);
    for (const auto &call : std::vector(it.backendCalls))
        call->respond(200, "done");
    for (const Duration wait : waits) {
        it.sendRequest("/stream/x", "k", 2s);
        const auto first = it.backendCalls.back();
        it.sendRequest("/stream/x", "k", 2s - wait);
        const auto returned = it.backendCalls.back();
        CAPTURE(wait / 1ms);
        CHECK(std::stoi(std::string(returned->call.headers.value("priority")))
              > std::stoi(std::string(first->call.headers.value("priority"))));
        first->respond(200, "done");
        returned->respond(200, "done");
    }
}

// Guards against clients that return after a refusal and fill the queues, so that under lasting
// overload first attempts are refused as often as they are.
TEST_CASE("Gateway queues no retry of a client that is too late already")
{
    constexpr int Slots = 18;
    Fixture it;
    it.configure();
    SECTION("it gets a free slot only")
    {
        for (int i = 0; i < Slots; ++i)
            it.sendRequest("/stream/x", "k", 2s);
        REQUIRE(it.backendCalls.size() == Slots);
        CHECK(it.sendRequest("/stream/x", "k", 1500ms)->status == 503);
        // A first attempt is queued in the same place.
        CHECK(it.sendRequest("/stream/x", "k", 2s)->status == 0);
        CHECK(it.backendCalls.size() == Slots + 1);

        for (const auto &call : std::vector(it.backendCalls))
            call->respond(200, "done");
        CHECK(it.sendRequest("/stream/x", "k", 1500ms)->status == 0);
        CHECK(it.backendCalls.size() == Slots + 2);
    }
    SECTION("it is queued if it can still be in time")
    {
        auto relaxed = Fixture::configuration(2);
        relaxed.routes.back().objective = 1500ms;
        it.gateway.setConfiguration(std::make_shared<const RouteTable>(relaxed));
        for (int i = 0; i < Slots; ++i)
            it.sendRequest("/stream/x", "k", 2s);
        CHECK(it.sendRequest("/stream/x", "k", 1500ms)->status == 0);
        CHECK(it.backendCalls.size() == Slots + 1);
    }
}

// A route with a long objective fills the queues, so that one with a short objective is always
// late.
TEST_CASE("Gateway limits the queues of all routes of a service equally")
{
    Fixture it;
    auto mixed = Fixture::configuration(1);
    mixed.routes.front().objective = 1900ms;
    it.configure();
    mixed.version = 2;
    it.gateway.setConfiguration(std::make_shared<const RouteTable>(mixed));
    for (int i = 0; i < 40; ++i) {
        it.sendRequest("/safe/x");
        it.sendRequest("/book/x");
    }
    const std::size_t filled = it.backendCalls.size();
    for (int i = 0; i < 40; ++i)
        it.sendRequest("/safe/x");
    CHECK(it.backendCalls.size() == filled);
}

TEST_CASE("Gateway sends nothing to a backend server that states that it leaves")
{
    Fixture it;
    it.configure();
    const auto view = it.sendRequest("/stream/x");
    const auto first = it.backendCalls[0];
    const std::string leaving = first->backend();
    // The requests stay in progress, so that they are spread over all servers that may be used.
    const auto usedBy = [&](int requests) {
        std::set<std::string> used;
        for (int i = 0; i < requests; ++i) {
            it.sendRequest("/book/x");
            used.insert(it.backendCalls.back()->backend());
        }
        return used;
    };
    // Makes another server leave after it has become the one with the least load.
    const auto leaveAfterLoad = [&] {
        REQUIRE(usedBy(9).size() == 3);
        const auto isOther = [&](const auto &call) { return call->backend() != leaving; };
        const std::string other = (*std::ranges::find_if(it.backendCalls, isOther))->backend();
        for (const auto &call : std::vector(it.backendCalls)) {
            if (call->backend() != other)
                continue;
            call->head(200, {{"seal", "s"}, {"leaving", "1"}});
            call->complete();
        }
        return other;
    };

    // Guards against a statement that is only read from some kinds of responses.
    SECTION("in the head of a stream, which goes on")
    {
        first->head(200, {{"seal", "s"}, {"events", "1"}, {"leaving", "1"}});
        CHECK_FALSE(usedBy(9).contains(leaving));
        CHECK_FALSE(first->cancelled);
        first->data("id: 1\ndata: a\n\n");
        first->complete();
        CHECK(view->body == "id: 1\ndata: a\n\n");
        CHECK(view->finished);
    }
    SECTION("in an error response")
    {
        first->head(500, {{"seal", "s"}, {"leaving", "1"}});
        CHECK_FALSE(usedBy(9).contains(leaving));
    }
    SECTION("in a response that is not used")
    {
        first->head(200, {{"leaving", "1"}});
        CHECK_FALSE(usedBy(9).contains(leaving));
    }
    SECTION("in an interim response, or a late one to an earlier call")
    {
        REQUIRE(first->handlers.onOtherHeader);
        first->handlers.onOtherHeader(103, {{"leaving", "1"}});
        CHECK_FALSE(usedBy(9).contains(leaving));
    }
    SECTION("in a response after the client has left")
    {
        view->closed();
        first->head(200, {{"seal", "s"}, {"leaving", "1"}});
        CHECK_FALSE(usedBy(9).contains(leaving));
    }
    // Guards against a retry at a server that has stated meanwhile that it leaves.
    SECTION("also no request that is retried")
    {
        const std::string other = leaveAfterLoad();
        first->head(503, {{"not-run", "1"}, {"leaving", "1"}});
        first->complete();
        CHECK(it.backendCalls.back()->backend() != leaving);
        CHECK(it.backendCalls.back()->backend() != other);
    }
    // Guards against a stream that is resumed at a server that has stated meanwhile that it leaves.
    SECTION("also no stream that is resumed")
    {
        first->head(200, {{"seal", "s"}, {"events", "1"}});
        first->data("id: 1\ndata: a\n\n");
        const std::string other = leaveAfterLoad();
        first->fail(ResultCode::PlatformReplyLost);
        REQUIRE(it.backendCalls.back()->call.headers.find("last"));
        CHECK(it.backendCalls.back()->backend() != other);
    }
    SECTION("and refuses at once, with a Retry-After, if all of them leave")
    {
        first->head(503, {{"not-run", "1"}, {"leaving", "1"}});
        first->complete();
        for (int i = 1; i <= 2; ++i) {
            it.backendCalls[i]->head(503, {{"not-run", "1"}, {"leaving", "1"}});
            it.backendCalls[i]->complete();
        }
        CHECK(view->status == 503);
        const auto next = it.sendRequest("/book/x");
        CHECK(it.backendCalls.size() == 3);
        CHECK(next->status == 503);
        CHECK(next->headers.find("Retry-After"));
        CHECK(next->body.find("3 leaving") != std::string::npos);
    }
}

// Guards against requests that reach a server after it has stated that it wants none, because their
// connection was still being opened at that moment.
TEST_CASE("Gateway moves unsent requests when their backend server wants no new ones")
{
    Fixture it;
    it.configure();
    it.sendRequest("/book/x");
    const auto stating = it.backendCalls[0];
    const std::string server = stating->backend();
    // Requests that stay in progress, until the second one is at the same server.
    const auto fill = [&](const std::string &target, bool sent) {
        for (int i = 0; i < 20; ++i) {
            auto view = it.sendRequest(target);
            it.backendCalls.back()->sent = sent;
            if (it.backendCalls.back()->backend() == server)
                return std::pair(std::move(view), it.backendCalls.back());
        }
        FAIL("no request at the server");
        return std::pair(std::shared_ptr<ClientView>(), stating);
    };
    const bool isPause = GENERATE(false, true);
    const HttpHeaders statement = isPause ? HttpHeaders{{"not-run", "1"}, {"pause", "900"}}
                                          : HttpHeaders{{"not-run", "1"}, {"leaving", "1"}};
    CAPTURE(isPause);

    SECTION("also one that must not be repeated, without a charge to the retry budget")
    {
        const auto [view, unsent] = fill("/book/x", false);
        while (it.gateway.retryBudget().tryAcquire("desk", it.scheduler.now())) {
        }
        const std::size_t before = it.backendCalls.size();
        stating->head(503, statement);
        CHECK(unsent->cancelled);
        REQUIRE(it.backendCalls.size() == before + 1);
        const auto moved = it.backendCalls.back();
        CHECK(moved->backend() != server);
        // The cancelled call ends later, and must not end the request.
        unsent->fail(ResultCode::CallCancelled);
        moved->respond(200, "done");
        CHECK(view->body == "done");
    }
    SECTION("but none of which bytes may have left")
    {
        const auto [view, sent] = fill("/book/x", true);
        const std::size_t before = it.backendCalls.size();
        stating->head(503, statement);
        CHECK_FALSE(sent->cancelled);
        CHECK(it.backendCalls.size() == before);
        sent->respond(200, "done");
        CHECK(view->body == "done");
    }
    SECTION("and none at another process at the same address")
    {
        BackendRecord successor{
                BackendId("b4"), "desk", {"10.0.0.4", 80}, ZoneId("z"), 6, false, 2, {},
                std::nullopt};
        successor.id = BackendId(server);
        it.gateway.backends().update(successor, it.scheduler.now());
        const auto [view, unsent] = fill("/book/x", false);
        stating->head(503, statement);
        CHECK_FALSE(unsent->cancelled);
    }
    // Guards against clients that are told that a request may have run, or that come back at once.
    SECTION("if there is no other server, it is refused as not run")
    {
        it.gateway.backends().remove(BackendId("b1"));
        it.gateway.backends().remove(BackendId("b2"));
        it.gateway.backends().remove(BackendId("b3"));
        it.gateway.backends().update({BackendId(server),
                                      "desk",
                                      stating->call.endpoint,
                                      ZoneId("z"),
                                      6,
                                      false,
                                      1,
                                      {},
                                      std::nullopt},
                                     it.scheduler.now());
        const auto [view, unsent] = fill("/book/x", false);
        stating->head(503, statement);
        CHECK(unsent->cancelled);
        CHECK(view->status == 503);
        CHECK(view->headers.find("Retry-After"));
    }
    // Guards against a request that is given up because many servers leave one after the other.
    SECTION("however often")
    {
        constexpr int Servers = 9;
        for (int i = 4; i <= Servers; ++i)
            it.gateway.backends().update({BackendId("b" + std::to_string(i)),
                                          "desk",
                                          {"10.0.0." + std::to_string(i), 80},
                                          ZoneId("z"),
                                          6,
                                          false,
                                          1,
                                          {},
                                          std::nullopt},
                                         it.scheduler.now());
        const auto view = it.sendRequest("/book/x");
        for (int i = 1; i < Servers - 1; ++i) {
            const auto unsent = it.backendCalls.back();
            unsent->sent = false;
            unsent->handlers.onOtherHeader(503, statement);
            REQUIRE(unsent->cancelled);
            REQUIRE(it.backendCalls.back() != unsent);
        }
        it.backendCalls.back()->respond(200, "done");
        CHECK(view->body == "done");
    }
}

// Guards against requests that reach a server before its retry time has passed because the 503 that
// states it was never read: its request had been given up.
TEST_CASE("Gateway sends few requests to a server whose last answers it has not read")
{
    constexpr std::size_t MaxUnanswered = 2;
    constexpr int Burst = 10;
    Fixture it;
    it.configure();
    it.gateway.backends().remove(BackendId("b3"));
    const auto send = [&it](const std::string &target) {
        const std::size_t before = it.backendCalls.size();
        auto view = it.sendRequest(target);
        if (it.backendCalls.size() > before)
            it.backendCalls.back()->handlers.onSending(0);
        return view;
    };
    // Once the backoff after a failure is over.
    const auto sendBurst = [&](const std::string &target) {
        it.gateway.backends().remove(BackendId("b2"));
        it.scheduler.advance(2s);
        it.gateway.onConfigurationConfirmed(it.scheduler.now());
        const std::size_t before = it.backendCalls.size();
        for (int i = 0; i < Burst; ++i)
            send(target);
        return it.backendCalls.size() - before;
    };

    SECTION("because clients have left")
    {
        it.gateway.backends().remove(BackendId("b2"));
        for (int i = 0; i < 3; ++i)
            send("/book/x")->closed();
        CHECK(sendBurst("/book/x") <= MaxUnanswered);

        // Guards against a server that stays out of use.
        SECTION("until it answers")
        {
            it.backendCalls.back()->respond(200, "done");
            CHECK(sendBurst("/book/x") >= 5);
        }
        SECTION("or another process takes its place")
        {
            it.gateway.backends().update({BackendId("b1"),
                                          "desk",
                                          {"10.0.0.1", 80},
                                          ZoneId("z"),
                                          6,
                                          false,
                                          2,
                                          {},
                                          std::nullopt},
                                         it.scheduler.now());
            CHECK(sendBurst("/book/x") >= 5);
        }
    }
    // A server that wants no new requests goes on with those that it has.
    SECTION("because a client has left, while a stream of it goes on")
    {
        it.gateway.backends().remove(BackendId("b2"));
        send("/stream/x");
        const auto stream = it.backendCalls.back();
        stream->head(200, {{"seal", "s"}, {"events", "1"}});
        stream->data("id: 1\ndata: x\n\n");
        it.scheduler.advance(10ms);
        send("/book/x")->closed();
        stream->data("id: 2\ndata: x\n\n");
        CHECK(sendBurst("/book/x") <= MaxUnanswered);
    }
    SECTION("because it was silent and the requests went to another server")
    {
        for (int i = 0; i < 4; ++i)
            send("/safe/x");
        it.scheduler.advance(600ms);
        REQUIRE(it.backendCalls.size() > 4);
        CHECK(sendBurst("/safe/x") <= MaxUnanswered);
    }
    SECTION("because their connections broke")
    {
        it.gateway.backends().remove(BackendId("b2"));
        send("/book/x");
        it.backendCalls[0]->fail(ResultCode::PlatformReplyLost);
        CHECK(sendBurst("/book/x") <= MaxUnanswered);
    }
    // Guards against a loss of capacity where clients leave early.
    SECTION("but as many as usual if it has answered a later one")
    {
        it.gateway.backends().remove(BackendId("b2"));
        const auto left = send("/book/x");
        it.scheduler.advance(10ms);
        send("/book/x");
        it.backendCalls[1]->respond(200, "done");
        left->closed();
        CHECK(sendBurst("/book/x") >= 5);
    }
    SECTION("or if it went on with a stream after the time that a rejection takes")
    {
        it.gateway.backends().remove(BackendId("b2"));
        send("/stream/x");
        const auto stream = it.backendCalls.back();
        stream->head(200, {{"seal", "s"}, {"events", "1"}});
        const auto left = send("/book/x");
        it.scheduler.advance(150ms);
        stream->data("id: 1\ndata: x\n\n");
        left->closed();
        CHECK(sendBurst("/book/x") >= 5);
    }
    SECTION("or if nothing was sent")
    {
        it.gateway.backends().remove(BackendId("b2"));
        it.sendRequest("/book/x")->closed();
        CHECK(sendBurst("/book/x") >= 5);
    }
}

TEST_CASE("Gateway keeps to the retry time of backend servers")
{
    Fixture it;
    it.configure();
    const auto rejectWith = [](const std::shared_ptr<BackendCall> &call, const std::string &pause) {
        call->head(503, {{"not-run", "1"}, {"pause", pause}});
        call->complete();
    };

    // Guards against the backoff after a rejection, which is shorter, deciding alone.
    SECTION("one that rejected gets nothing before it is over")
    {
        it.sendRequest("/book/x");
        const std::string paused = it.backendCalls[0]->backend();
        rejectWith(it.backendCalls[0], "3000");
        for (int i = 0; i < 29; ++i) {
            it.sendRequest("/book/x");
            CHECK(it.backendCalls.back()->backend() != paused);
            it.backendCalls.back()->respond(200, "done");
            it.scheduler.advance(100ms);
            it.gateway.onConfigurationConfirmed(it.scheduler.now());
        }
    }
    // Guards against a retry time of zero that takes a server out of use.
    SECTION("a retry time of zero leaves only the backoff")
    {
        it.gateway.backends().remove(BackendId("b2"));
        it.gateway.backends().remove(BackendId("b3"));
        it.sendRequest("/book/x");
        rejectWith(it.backendCalls[0], "0");
        it.sendRequest("/book/x");
        CHECK(it.backendCalls.size() == 2);
    }
    // Guards against attempts at paused servers, and against clients that return before the first
    // pause is over although they have the time to wait for it.
    SECTION("if all want nothing, requests are refused at once, with the time until the first does")
    {
        it.sendRequest("/book/x", "k", 60s);
        for (std::size_t i = 0; i < 3; ++i)
            rejectWith(it.backendCalls[i], std::to_string(4000 + 4000 * i));
        REQUIRE(it.backendCalls.size() == 3);
        auto patient = Fixture::configuration(2);
        for (Route &route : patient.routes)
            route.timeout = 60s;
        it.gateway.setConfiguration(std::make_shared<const RouteTable>(patient));
        const auto view = it.sendRequest("/book/x", "k", 60s);
        CHECK(it.backendCalls.size() == 3);
        CHECK(view->status == 503);
        const double retryAfter = std::stod(std::string(view->headers.value("Retry-After")));
        CHECK(retryAfter >= 4);
        CHECK(retryAfter <= 10);
        CHECK(view->body.find("3 paused") != std::string::npos);
    }
}
