#include "leavingreply.h"

#include <godwit/standin/fleetenginestandin.h>

#include <boost/json.hpp>

#include <charconv>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr std::size_t Slots = 8;
constexpr Duration ServiceTime = std::chrono::milliseconds(15);
constexpr Duration EventInterval = std::chrono::milliseconds(30);
constexpr Duration LoadDuration = std::chrono::milliseconds(150);
constexpr Duration LoadPollInterval = std::chrono::milliseconds(10);

std::uint64_t number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string firstPathSegment(std::string_view path)
{
    path.remove_prefix(1);
    return std::string(path.substr(0, path.find('/')));
}

/// Returns \a claimed if \a staged contains exactly the pieces of that version, and 0 otherwise.
std::uint64_t versionOf(const std::map<std::uint32_t, std::string> &staged, std::uint64_t claimed)
{
    if (staged.size() != FleetPieceCount)
        return 0;
    for (const auto &[piece, bytes] : staged) {
        if (bytes != pieceBytes(claimed, piece))
            return 0;
    }
    return claimed;
}

HttpResponse notExecuted(int status, const HttpRequest &request)
{
    return {status, {{"X-Attempt-Id", attemptIdOf(request)}, {"X-Not-Executed", "1"}}, {}};
}

} // namespace

FleetEngineStandin::FleetEngineStandin(boost::asio::io_context &io, Options options,
                                       FleetLedger &ledger, std::function<void()> onChanged)
    : m_io(io)
    , m_options(std::move(options))
    , m_ledger(ledger)
    , m_onChanged(std::move(onChanged))
{}

FleetEngineStandin::~FleetEngineStandin() = default;

Result<void> FleetEngineStandin::start()
{
    HttpServerOptions options;
    options.listen = m_options.listen;
    BOOST_LEAF_ASSIGN(m_server,
                      HttpServer::listen(m_io, options,
                                         [this](const HttpRequest &request, const Reply &reply) {
                                             if (m_isLeaving)
                                                 handle(request,
                                                        std::make_shared<LeavingReply>(reply));
                                             else
                                                 handle(request, reply);
                                         }));
    return {};
}

std::string FleetEngineStandin::recordJson(bool draining) const
{
    json::object record{{"service", m_options.service},
                        {"address", toString(m_options.address)},
                        {"zone", m_options.zone},
                        {"slots", Slots},
                        {"state", draining ? "draining" : "ready"},
                        {"born", m_options.startTimeMs}};
    if (m_options.version > 0)
        record["models"] =
                json::array{json::object{{"name", FleetModel}, {"version", m_options.version}}};
    return json::serialize(record);
}

void FleetEngineStandin::handle(const HttpRequest &request, const Reply &reply)
{
    const std::string_view path = request.path();
    if (path == "/godwitrun/report")
        sendReport(*reply);
    else if (path.starts_with("/godwitrun/stage-put/"))
        storePiece(request, *reply);
    else if (path.starts_with("/godwitrun/stage-get/"))
        sendStagedPieces(request, *reply);
    else if (path == "/godwitrun/order")
        handleOrder(request, *reply);
    else
        serve(request, reply);
}

void FleetEngineStandin::sendReport(HttpReply &reply) const
{
    json::object body{{"born", m_options.startTimeMs},
                      {"busy", m_loadTimer != nullptr},
                      {"seq", m_orders},
                      {"running", m_runs.size()},
                      {"queued", 0},
                      {"models", json::array{}}};
    if (m_options.version > 0)
        body["models"].as_array().push_back(
                json::object{{"name", FleetModel}, {"version", m_options.version}});
    reply.send(HttpResponse::json(200, json::serialize(body)));
}

void FleetEngineStandin::storePiece(const HttpRequest &request, HttpReply &reply)
{
    m_options.stagedPieces[static_cast<std::uint32_t>(number(request.query("num").value_or("")))] =
            request.body;
    reply.send({200, {}, {}});
}

void FleetEngineStandin::sendStagedPieces(const HttpRequest &request, HttpReply &reply) const
{
    const auto wanted = request.query("num");
    if (!wanted) {
        json::array held;
        for (const auto &[piece, bytes] : m_options.stagedPieces)
            held.push_back(piece);
        reply.send(HttpResponse::json(200, json::serialize(json::object{{"held", held}})));
        return;
    }
    const auto it = m_options.stagedPieces.find(static_cast<std::uint32_t>(number(*wanted)));
    reply.send(it == m_options.stagedPieces.end() ? HttpResponse{404, {}, {}}
                                                  : HttpResponse{200, {}, it->second});
}

void FleetEngineStandin::handleOrder(const HttpRequest &request, HttpReply &reply)
{
    const json::value body = json::parse(request.body);
    const auto version = body.at("version").to_number<std::uint64_t>();
    if (m_loadTimer || body.at("expected").to_number<std::uint64_t>() != m_orders) {
        reply.send({409, {}, {}});
        return;
    }
    ++m_orders;
    ++m_ledger.orders;
    if (versionOf(m_options.stagedPieces, version) == 0)
        m_ledger.invalidLoads.push_back(m_options.id + " was ordered to load version "
                                        + std::to_string(version) + " without all of its pieces");
    m_options.version = version;
    m_loadTimer = std::make_unique<boost::asio::steady_timer>(m_io);
    waitForLoad();
    reply.send({202, {}, {}});
}

void FleetEngineStandin::waitForLoad()
{
    const bool isIdle = m_runs.empty();
    m_loadTimer->expires_after(isIdle ? LoadDuration : LoadPollInterval);
    m_loadTimer->async_wait(
            [this, isIdle, alive = std::weak_ptr(m_alive)](const boost::system::error_code &ec) {
                if (ec || alive.expired())
                    return;
                if (!isIdle) {
                    waitForLoad();
                    return;
                }
                const auto ended = std::move(m_loadTimer);
                m_onChanged();
            });
}

bool FleetEngineStandin::rejectIfUnavailable(const HttpRequest &request, HttpReply &reply)
{
    const std::string_view expected = request.headers.value("X-Expect-Instance");
    const std::string_view version = request.headers.value("X-Expect-Version");
    if ((!expected.empty() && expected != m_options.id)
        || (!version.empty() && number(version) != m_options.version)) {
        reply.send(notExecuted(421, request));
        return true;
    }
    m_ledger.arrivals.push_back(
            {attemptIdOf(request), m_options.id, MonotonicClock::now(), m_retryAfter.value_or("")});
    if (m_retryAfter) {
        HttpResponse response = notExecuted(503, request);
        response.headers.add("Retry-After", *m_retryAfter);
        reply.send(std::move(response));
        return true;
    }
    const bool hasNoModel = m_options.service == ModelService && m_options.version == 0;
    if (m_loadTimer || hasNoModel || m_runs.size() >= Slots) {
        reply.send(notExecuted(503, request));
        return true;
    }
    return false;
}

void FleetEngineStandin::serve(const HttpRequest &request, const Reply &reply)
{
    ++m_receivedRequests;
    if (rejectIfUnavailable(request, *reply))
        return;
    const auto run = m_runs.insert(m_runs.end(), Run{reply, attemptIdOf(request), 0, nullptr,
                                                     std::make_shared<bool>(true)});
    run->nextEvent = number(request.headers.value("Last-Event-Id")) + 1;
    m_ledger.runs.push_back(
            {run->attempt, m_options.id, std::string(request.headers.value("X-Tenant")),
             firstPathSegment(request.path()), run->nextEvent, m_options.version,
             request.headers.find("Authorization") != nullptr, MonotonicClock::now()});
    if (m_options.service == ModelService) {
        reply->start(200, {{"Content-Type", "text/event-stream"},
                           {"X-Attempt-Id", run->attempt},
                           {"X-Server-Seal", run->attempt + ".stream"},
                           {"X-Weight-Versions", std::to_string(m_options.version)}});
        schedule(run, EventInterval, &FleetEngineStandin::sendNextEvent);
    } else {
        schedule(run, ServiceTime, &FleetEngineStandin::sendReply);
    }
    // Set last, because the callback runs immediately if the connection is already closed.
    reply->onClosed([this, run, alive = std::weak_ptr(run->alive)] {
        if (!alive.expired())
            removeRun(run);
    });
}

void FleetEngineStandin::schedule(std::list<Run>::iterator run, Duration delay,
                                  void (FleetEngineStandin::*step)(std::list<Run>::iterator))
{
    run->timer = std::make_unique<boost::asio::steady_timer>(m_io, delay);
    // Destroying a timer does not cancel a handler that is already queued; the handler checks
    // whether the run still exists.
    run->timer->async_wait([this, run, step, alive = std::weak_ptr(run->alive)](
                                   const boost::system::error_code &ec) {
        if (!ec && !alive.expired())
            (this->*step)(run);
    });
}

void FleetEngineStandin::sendNextEvent(std::list<Run>::iterator run)
{
    run->reply->write(streamEvent(run->attempt, run->nextEvent));
    if (++run->nextEvent <= FleetStreamEventCount) {
        schedule(run, EventInterval, &FleetEngineStandin::sendNextEvent);
        return;
    }
    run->reply->finish();
    removeRun(run);
}

void FleetEngineStandin::sendReply(std::list<Run>::iterator run)
{
    std::string body = "answer to " + run->attempt + " by " + m_options.id;
    const std::string seal = run->attempt + '.' + std::to_string(body.size());
    run->reply->send(
            {200, {{"X-Attempt-Id", run->attempt}, {"X-Server-Seal", seal}}, std::move(body)});
    removeRun(run);
}

void FleetEngineStandin::removeRun(std::list<Run>::iterator run)
{
    const auto reply = run->reply;
    m_runs.erase(run);
}

} // namespace godwit::standin
