#include "gatewayfixture.h"

#include <godwit/gateway/backendpool.h>
#include <godwit/gateway/warmuplimiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <vector>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

namespace {

const BackendId Server("b1");
const std::string Desk = "desk";
constexpr double Rate = 26;
constexpr WarmupBounds Bounds{1.5, 5, 40};
constexpr std::size_t Bound = 44; ///< Rate and Bounds in a second.
constexpr TimePoint Start{std::chrono::hours(1)};

ServiceDescription limitedService(double rate = Rate, Duration coldPeriod = 3s)
{
    ServiceDescription it;
    it.name = Desk;
    it.coldPeriod = coldPeriod;
    it.warmupPerSecond = rate;
    return it;
}

/// A limiter whose share is \a share, past the delay after the start of its process.
WarmupLimiter limiterWithShare(std::size_t share)
{
    WarmupLimiter limiter({1, 0, 1}, Start - 10s);
    limiter.setServices({limitedService(static_cast<double>(share))}, Start - 10s);
    return limiter;
}

/// Largest number of \a times in any second.
std::size_t mostInSecond(std::vector<TimePoint> times)
{
    std::ranges::sort(times);
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > 1s)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// A simulated entry process with its own clock, which sends to one cold backend server.
class SimulatedProcess
{
public:
    SimulatedProcess(const WarmupBounds &bounds, Duration clockOffset, TimePoint now)
        : m_bounds(bounds)
        , m_clockOffset(clockOffset)
    {
        restart(now);
    }

    /// Loses all state. The server is learned to be cold again.
    void restart(TimePoint now)
    {
        m_limiter = WarmupLimiter(m_bounds, local(now));
        m_limiter.setServices({limitedService()}, local(now));
        m_limiter.recordCold(Server, 1h, local(now));
        // Sockets that wait for a connection end with their process.
        std::erase_if(m_sent, [now](TimePoint it) { return it > now; });
    }

    /// Nothing runs until \a until; what waits for its connection is sent then.
    void suspend(TimePoint now, TimePoint until)
    {
        m_suspendedUntil = until;
        for (TimePoint &it : m_sent) {
            if (it > now)
                it = std::max(it, until);
        }
    }

    void tick(TimePoint now)
    {
        if (now >= m_suspendedUntil)
            m_limiter.advance(local(now));
    }

    /// Sends a request if the limit allows, which waits for \a connectionWait.
    void trySend(TimePoint now, Duration connectionWait)
    {
        if (now < m_suspendedUntil)
            return;
        m_limiter.advance(local(now));
        if (m_limiter.limitedUntil(Server, Desk, local(now)))
            return;
        m_limiter.recordAttempt(Server, Desk, local(now));
        m_sent.push_back(now + connectionWait);
    }

    const std::vector<TimePoint> &sent() const { return m_sent; }

private:
    TimePoint local(TimePoint now) const { return now + m_clockOffset; }

    WarmupBounds m_bounds;
    Duration m_clockOffset;
    WarmupLimiter m_limiter;
    TimePoint m_suspendedUntil;
    std::vector<TimePoint> m_sent;
};

/// Forty entry processes whose clocks differ, and random demand at one cold backend server.
struct FleetSimulation
{
    Random random;
    std::vector<SimulatedProcess> processes;
    TimePoint now = Start;
    double demand = 0.2; ///< Requests of a process in a millisecond.

    FleetSimulation(std::uint64_t seed, const WarmupBounds &bounds)
        : random(seed)
    {
        for (std::size_t i = 0; i < bounds.entryProcesses; ++i)
            processes.emplace_back(bounds, upTo(1000s), now);
    }

    Duration upTo(Duration most) { return fromSeconds(random.uniform() * toSeconds(most)); }

    SimulatedProcess &any()
    {
        return processes[static_cast<std::size_t>(random.uniform()
                                                  * static_cast<double>(processes.size()))];
    }

    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += 1ms) {
            for (SimulatedProcess &it : processes) {
                if (now.time_since_epoch() % (WarmupLimiter::MaxStep / 2) == 0us)
                    it.tick(now);
                if (random.uniform() < demand)
                    it.trySend(now, upTo(WarmupLimiter::MaxConnectionWait));
            }
        }
    }

    std::vector<TimePoint> sent() const
    {
        std::vector<TimePoint> times;
        for (const SimulatedProcess &it : processes)
            times.insert(times.end(), it.sent().begin(), it.sent().end());
        return times;
    }
};

} // namespace

// Guards against crashes of cold backend servers: nobody adds up what the entry processes send.
TEST_CASE("WarmupLimiter keeps the bound over all entry processes")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        // The first is that of the deployment with the bound, the second has larger shares.
        const bool isLarge = seed == 3;
        FleetSimulation it(seed, isLarge ? WarmupBounds{8, 0, 40} : Bounds);
        const std::size_t bound = isLarge ? 208 : Bound;
        DYNAMIC_SECTION("for random demand, seed " << seed)
        {
            for (const double demand : {0.2, 0.001, 1.0, 0.01}) {
                it.demand = demand;
                it.run(4s);
            }
            CHECK(mostInSecond(it.sent()) <= bound);
            CHECK(it.sent().size() > 40);
        }
        DYNAMIC_SECTION("when processes restart, seed " << seed)
        {
            for (int i = 0; i < 150; ++i) {
                it.any().restart(it.now);
                it.run(it.upTo(100ms));
            }
            CHECK(mostInSecond(it.sent()) <= bound);
            CHECK(it.sent().size() > 40);
        }
        DYNAMIC_SECTION("when processes are suspended, seed " << seed)
        {
            it.run(2s);
            // They resume together, which is the worst case.
            const TimePoint resumed = it.now + 6s;
            for (SimulatedProcess &process : it.processes) {
                it.run(it.upTo(100ms));
                process.suspend(it.now, resumed);
            }
            it.run(resumed - it.now + 3s);
            CHECK(mostInSecond(it.sent()) <= bound);
            CHECK(std::ranges::max(it.sent()) > resumed);
        }
    }
}

TEST_CASE("WarmupLimiter limits the requests of one process to a cold backend server")
{
    WarmupLimiter it = limiterWithShare(2);
    const auto isLimited = [&](TimePoint now) {
        it.advance(now);
        return it.limitedUntil(Server, Desk, now).has_value();
    };
    const auto send = [&](TimePoint now, int n) {
        for (int i = 0; i < n; ++i)
            it.recordAttempt(Server, Desk, now);
    };
    /// Lets the time pass from \a from to \a to as the timer of the gateway does.
    const auto pass = [&](TimePoint from, TimePoint to) {
        for (TimePoint now = from; now < to; now += WarmupLimiter::MaxStep / 2)
            it.advance(now);
        it.advance(to);
    };
    it.advance(Start);

    SECTION("to its share in a window")
    {
        it.recordCold(Server, 10s, Start);
        send(Start, 1);
        CHECK_FALSE(isLimited(Start));
        send(Start, 1);
        CHECK(it.limitedUntil(Server, Desk, Start) == Start + WarmupLimiter::Window);
        pass(Start, Start + WarmupLimiter::Window - 1us);
        CHECK(isLimited(Start + WarmupLimiter::Window - 1us));
        CHECK_FALSE(isLimited(Start + WarmupLimiter::Window));
    }
    SECTION("until it is warm, also if the window is not over then")
    {
        it.recordCold(Server, 300ms, Start);
        send(Start, 2);
        CHECK(it.limitedUntil(Server, Desk, Start) == Start + 300ms);
        CHECK_FALSE(isLimited(Start + 300ms));
        CHECK_FALSE(it.limitedUntil(BackendId("b2"), Desk, Start));
    }
    SECTION("counting what was sent before it became cold again without notice")
    {
        send(Start, 20);
        CHECK_FALSE(isLimited(Start));
        it.recordCold(Server, 10s, Start);
        CHECK(it.limitedUntil(Server, Desk, Start) == Start + WarmupLimiter::Window);
    }
    SECTION("and a later statement does not shorten the cold period")
    {
        it.recordCold(Server, 10s, Start);
        it.recordCold(Server, 1s, Start + 1s);
        it.recordCold(Server, 0s, Start + 1s);
        CHECK(it.coldUntil(Server) == Start + 10s);
        it.recordCold(Server, 10s, Start + 1s);
        CHECK(it.coldUntil(Server) == Start + 11s);
    }
    SECTION("and the time of suspension does not count")
    {
        it.recordCold(Server, 60s, Start);
        send(Start, 2);
        CHECK(isLimited(Start + 30s));
        pass(Start + 30s, Start + 30s + WarmupLimiter::Window);
        CHECK_FALSE(isLimited(Start + 30s + WarmupLimiter::Window));
    }
    SECTION("of which it sends none if its share is 0")
    {
        WarmupLimiter none({1.5, 5, 45}, Start - 10s);
        none.setServices({limitedService()}, Start - 10s);
        none.recordCold(Server, 2s, Start);
        CHECK(none.limitedUntil(Server, Desk, Start) == Start + 2s);
        CHECK_FALSE(none.limitedUntil(Server, Desk, Start + 2s));
    }
    SECTION("of which it sends none in its first second")
    {
        WarmupLimiter fresh({1, 0, 1}, Start);
        fresh.setServices({limitedService()}, Start + 200ms);
        fresh.recordCold(Server, 9s, Start + 300ms);
        CHECK(fresh.limitedUntil(Server, Desk, Start + 999ms) == Start + 1s);
        CHECK_FALSE(fresh.limitedUntil(Server, Desk, Start + 1s));
    }
    SECTION("of which it sends none at first if the limit is new or higher than before")
    {
        it.recordCold(Server, 60s, Start);
        it.setServices({limitedService(2)}, Start);
        CHECK_FALSE(isLimited(Start));
        it.setServices({limitedService(3)}, Start);
        CHECK(it.limitedUntil(Server, Desk, Start) == Start + WarmupLimiter::Window);
        pass(Start, Start + WarmupLimiter::Window);
        it.setServices({}, Start + 10s);
        CHECK_FALSE(isLimited(Start + 10s));
        it.setServices({limitedService(2)}, Start + 20s);
        CHECK(it.limitedUntil(Server, Desk, Start + 20s) == Start + 20s + WarmupLimiter::Window);
    }
    SECTION("and reports changes once")
    {
        CHECK_FALSE(it.hasCold());
        it.recordCold(Server, 1s, Start);
        CHECK(it.hasCold());
        CHECK(it.takeChanges(Start) == std::vector<WarmupChange>{{Server, true, 1s}});
        CHECK(it.takeChanges(Start + 500ms).empty());
        CHECK(it.coldCount(Start + 500ms) == 1);
        CHECK(it.takeChanges(Start + 1s) == std::vector<WarmupChange>{{Server, false, 0s}});
        CHECK(it.coldCount(Start + 1s) == 0);
        CHECK_FALSE(it.hasCold());
    }
}

namespace {

/// Three backend servers b1 to b3 of a service with a limit, in zone z, which this process may send
/// one request in a window while they are cold.
struct WarmupFixture : Fixture
{
    WarmupFixture()
        : Fixture(warmupOptions())
    {}

    static GatewayOptions warmupOptions()
    {
        GatewayOptions it = options();
        it.zone = ZoneId("z");
        it.warmup = {1, 0, 1};
        return it;
    }

    /// Configures the limit \a rate and lets the first second of the process pass.
    void configureLimit(double rate)
    {
        GatewayConfiguration limited = configuration(1);
        limited.services = {limitedService(rate, 3s)};
        gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(limited)));
        gateway.onConfigurationConfirmed(scheduler.now());
        for (int i = 1; i <= 3; ++i)
            gateway.backends().update(server(i), scheduler.now());
        scheduler.advance(1s);
        gateway.onConfigurationConfirmed(scheduler.now());
    }

    static BackendRecord server(int number, Duration coldFor = 0s, std::uint64_t startTimeMs = 1)
    {
        BackendRecord it;
        it.id = BackendId("b" + std::to_string(number));
        it.service = Desk;
        it.endpoint = {"10.0.0." + std::to_string(number), 80};
        it.zone = ZoneId("z");
        it.slots = 6;
        it.startTimeMs = startTimeMs;
        it.coldFor = coldFor;
        return it;
    }

    void makeCold(std::initializer_list<int> numbers, Duration coldFor)
    {
        for (const int it : numbers)
            gateway.backends().update(server(it, coldFor, 2), scheduler.now());
    }

    std::shared_ptr<ClientView> send(const std::string &target = "/safe/x")
    {
        auto view = std::make_shared<ClientView>();
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.headers = {{"id", "r" + std::to_string(++m_requests)},
                           {"Host", "h"},
                           {"key", "k"},
                           {"patience", "2000"}};
        gateway.handle(std::move(request), view);
        return view;
    }

    std::ptrdiff_t callsOf(const std::string &backend) const
    {
        return std::ranges::count_if(backendCalls,
                                     [&](const auto &it) { return it->backend() == backend; });
    }

private:
    int m_requests = 0;
};

} // namespace

// Guards against cold backend servers that get more than they tolerate, and against requests that
// are lost because of them although other servers are warm.
TEST_CASE("Gateway limits the requests to cold backend servers")
{
    WarmupFixture it;

    SECTION("and sends the others to warm ones")
    {
        it.configureLimit(1);
        it.makeCold({1}, 3s);
        for (int i = 0; i < 12; ++i)
            CHECK(it.send()->status == 0);
        CHECK(it.callsOf("b1") <= 1);
        CHECK(it.callsOf("b2") + it.callsOf("b3") >= 11);
    }
    SECTION("and refuses requests at once if all are cold, until the first may be used again")
    {
        it.configureLimit(1);
        it.makeCold({1, 2, 3}, 10s);
        for (int i = 0; i < 3; ++i)
            CHECK(it.send()->status == 0);
        const auto view = it.send();
        CHECK(view->status == 503);
        CHECK(view->headers.find("Retry-After"));
        CHECK(it.backendCalls.size() == 3);
        it.scheduler.advance(WarmupLimiter::Window);
        it.gateway.onConfigurationConfirmed(it.scheduler.now());
        CHECK(it.send()->status == 0);
    }
    SECTION("also a retry obeys the limit")
    {
        it.configureLimit(1);
        it.makeCold({1, 2, 3}, 10s);
        const auto first = it.send();
        it.send();
        it.backendCalls[0]->reject(503);
        REQUIRE(it.backendCalls.size() == 3);
        it.backendCalls[1]->reject(503);
        it.backendCalls[2]->reject(503);
        CHECK(it.backendCalls.size() == 3);
        CHECK(first->status == 503);
        for (const char *id : {"b1", "b2", "b3"})
            CHECK(it.callsOf(id) == 1);
    }
    SECTION("also one that says so only in a response")
    {
        it.configureLimit(1);
        it.makeCold({2, 3}, 10s);
        while (it.callsOf("b1") == 0)
            REQUIRE(it.send()->status == 0);
        it.backendCalls.back()->head(200, {{"seal", "s"}, {"cold", "5000"}});
        const auto before = it.callsOf("b1");
        for (int i = 0; i < 10; ++i)
            it.send();
        CHECK(it.callsOf("b1") == before);
    }
    SECTION("also one that has started again, or whose record was away")
    {
        it.configureLimit(1);
        it.makeCold({1, 2, 3}, 10s);
        for (int i = 0; i < 3; ++i)
            it.send();
        it.gateway.backends().update(WarmupFixture::server(1, 10s, 3), it.scheduler.now());
        it.gateway.backends().remove(BackendId("b2"));
        it.gateway.backends().update(WarmupFixture::server(2, 0s, 2), it.scheduler.now());
        CHECK(it.send()->status == 503);
    }
    SECTION("nothing is sent if the share of this process is 0")
    {
        it.configureLimit(0.5);
        it.makeCold({1, 2}, 2s);
        for (int i = 0; i < 4; ++i)
            CHECK(it.send()->status == 0);
        CHECK(it.callsOf("b3") == 4);
        it.makeCold({3}, 2s);
        CHECK(it.send()->status == 503);
        CHECK(it.callsOf("b1") + it.callsOf("b2") == 0);
        it.scheduler.advance(2s);
        it.gateway.onConfigurationConfirmed(it.scheduler.now());
        CHECK(it.send()->status == 0);
    }
    SECTION("and does not count the time in which the process was suspended")
    {
        it.configureLimit(1);
        it.makeCold({1, 2, 3}, 60s);
        for (int i = 0; i < 3; ++i)
            it.send();
        it.scheduler.suspend(30s);
        it.gateway.onConfigurationConfirmed(it.scheduler.now());
        CHECK(it.send()->status == 503);
        it.scheduler.advance(WarmupLimiter::Window);
        CHECK(it.send()->status == 0);
    }
    SECTION("those of a zone that returns from its evacuation count as cold")
    {
        it.configureLimit(1);
        it.gateway.setEvacuated(ZoneId("z"), true);
        CHECK(it.send()->status == 503);
        it.gateway.setEvacuated(ZoneId("z"), false);
        for (int i = 0; i < 3; ++i)
            CHECK(it.send()->status == 0);
        CHECK(it.send()->status == 503);
        // Registered later, in the zone that is cold.
        it.scheduler.advance(1s);
        it.gateway.onConfigurationConfirmed(it.scheduler.now());
        it.gateway.backends().update(WarmupFixture::server(4), it.scheduler.now());
        CHECK(it.send()->status == 0);
        CHECK(it.send()->status == 503);
        CHECK(it.callsOf("b4") == 1);
        it.scheduler.advance(2s);
        it.gateway.onConfigurationConfirmed(it.scheduler.now());
        for (int i = 0; i < 8; ++i)
            CHECK(it.send()->status == 0);
    }
    SECTION("but not those of a service without a limit, and no timer runs there")
    {
        it.configureLimit(0);
        const auto timers = it.scheduler.timers();
        it.makeCold({1, 2, 3}, 10s);
        it.gateway.setEvacuated(ZoneId("z"), true);
        it.gateway.setEvacuated(ZoneId("z"), false);
        std::vector<std::shared_ptr<ClientView>> views;
        for (int i = 0; i < 12; ++i) {
            views.push_back(it.send());
            CHECK(views.back()->status == 0);
        }
        for (const auto &call : it.backendCalls)
            call->respond(200, "done");
        CHECK(it.scheduler.timers() == timers);
    }
    SECTION("and a timer runs only until all are warm")
    {
        it.configureLimit(1);
        const auto timers = it.scheduler.timers();
        it.makeCold({1}, 3s);
        const auto view = it.send();
        it.backendCalls[0]->respond(200, "done");
        CHECK(it.scheduler.timers() == timers + 1);
        const auto shows = [&](const std::string &line) {
            return it.registry.text().find('\n' + line + '\n') != std::string::npos;
        };
        CHECK(shows("godwit_cold_backends 1"));
        it.scheduler.advance(4s);
        CHECK(it.scheduler.timers() == timers);
        CHECK(shows("godwit_cold_backends 0"));
    }
    SECTION("and counts the attempts that they did not get")
    {
        it.configureLimit(0.5);
        it.makeCold({1}, 3s);
        it.send();
        it.send();
        CHECK(it.registry.text().find("\ngodwit_cold_passed_over_total 2\n") != std::string::npos);
    }
}

namespace {

/// Entry processes that send requests to four backend servers, which report their load late. The
/// last server is cold at first.
class HerdSimulation
{
public:
    static constexpr std::size_t Processes = 30;
    static constexpr std::size_t Servers = 4;
    static constexpr std::uint32_t Slots = 64;
    static constexpr Duration Hold = 500ms;
    static constexpr Duration ReportDelay = 100ms;

    explicit HerdSimulation(double requestsPerSecond)
        : m_requestsPerMillisecond(requestsPerSecond / 1000)
    {
        for (std::size_t i = 0; i < Processes; ++i) {
            m_pools.emplace_back(ZoneId("z"), Random(i), ZonePlacement(),
                                 WarmupLimiter({1.5, 5, Processes}, m_now - 10s));
            m_pools.back().warmup().setServices({limitedService()}, m_now - 10s);
        }
    }

    /// The last server is cold for \a coldFor, the others for \a othersColdFor.
    void registerServers(Duration coldFor, Duration othersColdFor = 0s)
    {
        for (int i = 1; i <= static_cast<int>(Servers); ++i) {
            BackendRecord record = WarmupFixture::server(i, i == Servers ? coldFor : othersColdFor);
            record.slots = Slots;
            for (BackendPool &it : m_pools)
                it.update(record, m_now);
        }
    }

    /// Returns the most requests in progress at each server meanwhile.
    std::array<std::size_t, Servers> run(Duration span)
    {
        std::array<std::size_t, Servers> most{};
        for (const TimePoint end = m_now + span; m_now < end; m_now += 1ms) {
            finishRequests();
            double due = m_requestsPerMillisecond;
            for (; due >= 1 || m_random.uniform() < due; due -= 1)
                sendRequest();
            for (std::size_t i = 0; i < Servers; ++i)
                most[i] = std::max(most[i], m_running[i]);
        }
        return most;
    }

    const std::array<std::size_t, Servers> &running() const { return m_running; }

private:
    struct Request
    {
        std::size_t process;
        BackendId id;
        std::size_t server;
        TimePoint startedAt;
        bool reported = false;
    };

    void sendRequest()
    {
        const auto process = static_cast<std::size_t>(m_random.uniform() * Processes);
        BackendPool &pool = m_pools[process];
        BackendQuery query;
        query.service = Desk;
        query.maxQueueDelay = 30ms;
        const auto found = pool.choose(query, m_now);
        const auto *choice = std::get_if<BackendChoice>(&found);
        if (!choice) {
            return;
        }
        pool.onAttemptStarted(choice->id, RequestUrgency::OnTime, m_now);
        const auto server = static_cast<std::size_t>(choice->id.value()[1] - '1');
        ++m_running[server];
        m_requests.push_back({process, choice->id, server, m_now});
    }

    void finishRequests()
    {
        for (Request &it : m_requests) {
            BackendPool &pool = m_pools[it.process];
            if (!it.reported && m_now >= it.startedAt + ReportDelay) {
                it.reported = true;
                const auto running = static_cast<std::uint32_t>(m_running[it.server]);
                pool.recordLoad(
                        it.id,
                        {std::min(running, Slots), running - std::min(running, Slots), Slots},
                        m_now);
                pool.onResponseStarted(it.id, RequestUrgency::OnTime);
            }
            if (m_now >= it.startedAt + Hold) {
                pool.onAttemptFinished(it.id, AttemptOutcome::Complete, Hold, m_now);
                --m_running[it.server];
            }
        }
        std::erase_if(m_requests,
                      [this](const Request &it) { return m_now >= it.startedAt + Hold; });
    }

    TimePoint m_now = Start;
    Random m_random{11};
    double m_requestsPerMillisecond;
    std::vector<BackendPool> m_pools;
    std::vector<Request> m_requests;
    std::array<std::size_t, Servers> m_running{};
};

} // namespace

// Guards against a herd: a server that has just warmed up reports the load of a cold one, so that
// all entry processes see it as idle at the same time. In this simulation they sent it 79 and 97
// requests within half a second, and then hardly any for a second because of the queue.
TEST_CASE("BackendPool gives a server that has just warmed up no more than the others have")
{
    // Of the capacity of all servers, which is 512 requests in a second.
    for (const double requestsPerSecond : {340.0, 600.0}) {
        DYNAMIC_SECTION(requestsPerSecond << " requests in a second")
        {
            HerdSimulation it(requestsPerSecond);
            it.registerServers(3s);
            it.run(3s);
            const std::size_t whileCold = it.running()[3];
            CHECK(whileCold <= 22);
            const auto most = it.run(1s);
            CHECK(most[3] <= std::max({most[0], most[1], most[2]}));
            CHECK(it.running()[3] >= 2 * whileCold);
            CHECK(it.running()[3] >= 25);
            // It stays in use.
            for (int i = 0; i < 20; ++i) {
                const auto later = it.run(200ms);
                CHECK(later[3] >= 15);
                CHECK(later[3] <= HerdSimulation::Slots * 3 / 2);
            }
        }
    }
    SECTION("and all of them share the requests if all have warmed up together")
    {
        HerdSimulation it(340);
        it.registerServers(3s, 3s);
        it.run(3s);
        it.run(1s);
        for (const std::size_t running : it.running())
            CHECK(running >= 15);
    }
}
