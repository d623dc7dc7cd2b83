#include "leavingreply.h"

#include <godwit/standin/fleetenginestandin.h>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

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

/// The id comes last, so that a copy may break off with the other headers but without it.
HttpResponse notExecuted(int status, const HttpRequest &request)
{
    return {status,
            {{"X-Not-Executed", "1"},
             {"Content-Type", "text/plain"},
             {"X-Attempt-Id", attemptIdOf(request)}},
            {}};
}

std::uint32_t layerField(const json::object &order, std::string_view name, std::uint32_t otherwise)
{
    const json::value *it = order.if_contains(name);
    return it ? it->to_number<std::uint32_t>() : otherwise;
}

} // namespace

std::string FleetStagedPiece::content() const
{
    std::string read = bytes;
    if (corruptSince && !read.empty())
        read[read.size() / 2] = static_cast<char>(~read[read.size() / 2]);
    return read;
}

void corruptPieces(FleetStagedPieces &staged, const std::vector<std::uint32_t> &pieces)
{
    for (const std::uint32_t piece : pieces) {
        const auto it = staged.find(piece);
        if (it != staged.end() && !it->second.corruptSince)
            it->second.corruptSince = MonotonicClock::now();
    }
}

FleetEngineStandin::FleetEngineStandin(boost::asio::io_context &io, Options options,
                                       FleetLedger &ledger, std::function<void()> onChanged)
    : m_io(io)
    , m_options(std::move(options))
    , m_ledger(ledger)
    , m_onChanged(std::move(onChanged))
    , m_version(m_options.version)
{
    for (std::uint32_t layer = 0; m_version > 0 && layer < FleetLayerCount; ++layer)
        m_layers[layer];
}

FleetEngineStandin::~FleetEngineStandin() = default;

Result<void> FleetEngineStandin::start()
{
    HttpServerOptions options;
    options.listen = m_options.listen;
    BOOST_LEAF_ASSIGN(m_server,
                      HttpServer::listen(m_io, options,
                                         [this](const HttpRequest &request, const Reply &reply) {
                                             receive(request, reply);
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
    if (!m_layers.empty()) {
        record["models"] = json::array{json::object{{"name", FleetModel}, {"version", m_version}}};
        record["layers"] = layersJson();
    }
    return json::serialize(record);
}

json::object FleetEngineStandin::layersJson() const
{
    return {{"from", m_layers.begin()->first},
            {"to", m_layers.rbegin()->first + 1},
            {"version", m_version}};
}

std::uint64_t FleetEngineStandin::servedVersion() const
{
    return holdsAllLayers() && !m_loadTimer ? m_version : 0;
}

void FleetEngineStandin::fallSilent(Duration length)
{
    const auto end = std::chrono::steady_clock::now() + length;
    if (m_silence && m_silence->expiry() >= end)
        return;
    m_silence = std::make_unique<boost::asio::steady_timer>(m_io, end);
    m_silence->async_wait([this, own = m_silence.get(),
                           alive = std::weak_ptr(m_alive)](const boost::system::error_code &ec) {
        // A timer may have expired just before it was replaced.
        if (!ec && !alive.expired() && m_silence.get() == own)
            endSilence();
    });
}

void FleetEngineStandin::endSilence()
{
    m_silence.reset();
    for (const auto &step : std::exchange(m_deferredSteps, {}))
        runWhenResponsive(step);
}

void FleetEngineStandin::runWhenResponsive(std::function<void()> step)
{
    if (m_silence)
        m_deferredSteps.push_back(std::move(step));
    else
        step();
}

void FleetEngineStandin::receive(const HttpRequest &request, const Reply &reply)
{
    if (request.path() == "/godwitrun/order" && m_options.orderFault) {
        const OrderFault fault = *std::exchange(m_options.orderFault, std::nullopt);
        corrupt(fault.corruptPieces);
        fallSilent(fault.silence);
    }
    runWhenResponsive([this, request, reply, arrivedAt = MonotonicClock::now()] {
        handle(request, m_isLeaving ? std::make_shared<LeavingReply>(reply) : reply, arrivedAt);
    });
}

void FleetEngineStandin::handle(const HttpRequest &request, const Reply &reply, TimePoint arrivedAt)
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
        serve(request, reply, arrivedAt);
}

void FleetEngineStandin::sendReport(HttpReply &reply) const
{
    json::object body{{"born", m_options.startTimeMs},
                      {"busy", m_loadTimer != nullptr},
                      {"seq", m_orders},
                      {"running", m_runs.size()},
                      {"queued", 0},
                      {"models", json::array{}}};
    if (!m_layers.empty()) {
        body["models"] = json::array{json::object{{"name", FleetModel}, {"version", m_version}}};
        body["layers"] = layersJson();
    }
    reply.send(HttpResponse::json(200, json::serialize(body)));
}

void FleetEngineStandin::storePiece(const HttpRequest &request, HttpReply &reply)
{
    m_options.stagedPieces[static_cast<std::uint32_t>(number(request.query("num").value_or("")))] =
            {request.body, std::nullopt};
    reply.send({200, {}, {}});
}

void FleetEngineStandin::sendStagedPieces(const HttpRequest &request, HttpReply &reply) const
{
    const auto wanted = request.query("num");
    if (!wanted) {
        json::array held;
        for (const auto &[piece, staged] : m_options.stagedPieces)
            held.push_back(piece);
        reply.send(HttpResponse::json(200, json::serialize(json::object{{"held", held}})));
        return;
    }
    const auto it = m_options.stagedPieces.find(static_cast<std::uint32_t>(number(*wanted)));
    reply.send(it == m_options.stagedPieces.end() ? HttpResponse{404, {}, {}}
                                                  : HttpResponse{200, {}, it->second.content()});
}

void FleetEngineStandin::handleOrder(const HttpRequest &request, HttpReply &reply)
{
    const json::object body = json::parse(request.body).as_object();
    const auto version = body.at("version").to_number<std::uint64_t>();
    const std::uint32_t from = layerField(body, "from", 0);
    const std::uint32_t to = layerField(body, "to", FleetLayerCount);
    if (from >= to || to > FleetLayerCount) {
        reply.send({400, {}, {}});
        return;
    }
    if (m_loadTimer || body.at("expected").to_number<std::uint64_t>() != m_orders) {
        reply.send({409, {}, {}});
        return;
    }
    const bool isHeld =
            version == m_version && m_layers.size() == to - from && m_layers.begin()->first == from;
    if (isHeld) {
        reply.send({200, {}, {}});
        return;
    }
    ++m_orders;
    ++m_ledger.orders;
    m_nextLayers = takeLayers(from, to, version);
    m_nextVersion = version;
    m_loadTimer = std::make_unique<boost::asio::steady_timer>(m_io);
    const bool extends =
            version == m_version && std::ranges::all_of(m_layers, [this](const auto &it) {
                return m_nextLayers.contains(it.first);
            });
    if (extends)
        scheduleLoadStep(m_loadDuration, &FleetEngineStandin::finishLoad);
    else
        waitForRuns();
    reply.send({202, {}, {}});
}

std::vector<FleetWrongPiece> FleetEngineStandin::findWrongPieces(std::uint32_t layer,
                                                                 std::uint64_t version) const
{
    using Fault = FleetWrongPiece::Fault;
    const std::uint32_t first = layer * FleetPieceCount / FleetLayerCount;
    const std::uint32_t end =
            ((layer + 1) * FleetPieceCount + FleetLayerCount - 1) / FleetLayerCount;
    const TimePoint now = MonotonicClock::now();
    std::vector<FleetWrongPiece> wrong;
    for (std::uint32_t piece = first; piece < end; ++piece) {
        const auto it = m_options.stagedPieces.find(piece);
        if (it == m_options.stagedPieces.end())
            wrong.push_back({layer, piece, Fault::Missing, now, {}});
        else if (it->second.bytes != pieceBytes(version, piece))
            wrong.push_back({layer, piece, Fault::OtherVersion, now, {}});
        else if (it->second.corruptSince)
            wrong.push_back({layer, piece, Fault::Corrupt, now, *it->second.corruptSince});
    }
    return wrong;
}

FleetEngineStandin::Layers FleetEngineStandin::takeLayers(std::uint32_t from, std::uint32_t to,
                                                          std::uint64_t version)
{
    Layers next;
    bool isValid = true;
    m_loadDuration = Duration::zero();
    for (std::uint32_t layer = from; layer < to; ++layer) {
        const auto held = m_layers.find(layer);
        if (version == m_version && held != m_layers.end()) {
            next[layer] = held->second;
            continue;
        }
        next[layer] = findWrongPieces(layer, version);
        m_loadDuration += LoadDuration / FleetLayerCount;
        isValid = isValid && std::ranges::all_of(next[layer], [](const FleetWrongPiece &it) {
                      return it.fault == FleetWrongPiece::Fault::Corrupt;
                  });
    }
    if (!isValid)
        m_ledger.invalidLoads.push_back(m_options.id + " was ordered to load version "
                                        + std::to_string(version) + " without all of its pieces");
    return next;
}

void FleetEngineStandin::scheduleLoadStep(Duration delay, void (FleetEngineStandin::*step)())
{
    m_loadTimer->expires_after(delay);
    m_loadTimer->async_wait(
            [this, step, alive = std::weak_ptr(m_alive)](const boost::system::error_code &ec) {
                if (!ec && !alive.expired())
                    runWhenResponsive([this, step] { (this->*step)(); });
            });
}

void FleetEngineStandin::waitForRuns()
{
    if (m_runs.empty())
        load();
    else
        scheduleLoadStep(LoadPollInterval, &FleetEngineStandin::waitForRuns);
}

void FleetEngineStandin::load()
{
    // Layers of another version give up their memory before the new ones are loaded.
    if (m_version != m_nextVersion)
        m_layers.clear();
    scheduleLoadStep(m_loadDuration, &FleetEngineStandin::finishLoad);
}

void FleetEngineStandin::finishLoad()
{
    m_layers = std::move(m_nextLayers);
    m_version = m_nextVersion;
    m_loadTimer.reset();
    m_onChanged();
}

std::optional<std::string> FleetEngineStandin::retryAfter() const
{
    const Duration left = m_pauseEnd - MonotonicClock::now();
    return left > Duration::zero() ? std::to_string(toSeconds(left)) : m_retryAfter;
}

bool FleetEngineStandin::rejectIfUnavailable(const HttpRequest &request, HttpReply &reply,
                                             TimePoint arrivedAt)
{
    const std::string_view expected = request.headers.value("X-Expect-Instance");
    const std::string_view version = request.headers.value("X-Expect-Version");
    if ((!expected.empty() && expected != m_options.id)
        || (!version.empty() && number(version) != m_version)) {
        reply.send(notExecuted(421, request));
        return true;
    }
    const std::optional<std::string> wait = retryAfter();
    m_ledger.arrivals.push_back({attemptIdOf(request), m_options.id, arrivedAt, wait.value_or(""),
                                 MonotonicClock::now()});
    if (wait) {
        HttpResponse response = notExecuted(503, request);
        response.headers.add("Retry-After", *wait);
        reply.send(std::move(response));
        return true;
    }
    if (m_options.service == ModelService && !holdsAllLayers()) {
        reply.send(notExecuted(421, request));
        return true;
    }
    const bool isRejected = m_rejectInterval > 0 && m_receivedRequests % m_rejectInterval == 0;
    if (m_loadTimer || m_runs.size() >= Slots || isRejected) {
        reply.send(notExecuted(503, request));
        return true;
    }
    return false;
}

void FleetEngineStandin::serve(const HttpRequest &request, const Reply &reply, TimePoint arrivedAt)
{
    ++m_receivedRequests;
    if (rejectIfUnavailable(request, *reply, arrivedAt))
        return;
    const auto run =
            m_runs.insert(m_runs.end(), Run{reply, attemptIdOf(request), 0, m_ledger.runs.size(),
                                            nullptr, std::make_shared<bool>(true)});
    run->nextEvent = number(request.headers.value("Last-Event-Id")) + 1;
    m_ledger.runs.push_back({run->attempt,
                             m_options.id,
                             std::string(request.headers.value("X-Tenant")),
                             firstPathSegment(request.path()),
                             run->nextEvent,
                             m_version,
                             request.headers.find("Authorization") != nullptr,
                             MonotonicClock::now(),
                             {}});
    for (const auto &[layer, wrong] : m_layers) {
        auto &pieces = m_ledger.runs.back().wrongPieces;
        pieces.insert(pieces.end(), wrong.begin(), wrong.end());
    }
    if (m_options.service == ModelService) {
        reply->start(200, {{"Content-Type", "text/event-stream"},
                           {"X-Attempt-Id", run->attempt},
                           {"X-Server-Seal", run->attempt + ".stream"},
                           {"X-Weight-Versions", std::to_string(m_version)}});
        schedule(run, EventInterval, &FleetEngineStandin::sendNextEvent);
    } else {
        schedule(run, ServiceTime, &FleetEngineStandin::sendReply);
    }
    if (m_silenceAtNextRun)
        fallSilent(*std::exchange(m_silenceAtNextRun, std::nullopt));
    // Set last, because the callback runs immediately if the connection is already closed. A silent
    // engine notices the close after it has gone on with the run.
    reply->onClosed([this, run, alive = std::weak_ptr(run->alive)] {
        if (alive.expired())
            return;
        runWhenResponsive([this, run, alive] {
            if (!alive.expired())
                removeRun(run);
        });
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
        if (ec || alive.expired())
            return;
        runWhenResponsive([this, run, step, alive] {
            if (!alive.expired())
                (this->*step)(run);
        });
    });
}

void FleetEngineStandin::sendNextEvent(std::list<Run>::iterator run)
{
    auto &begunAt = m_ledger.runs[run->record].begunAt;
    begunAt = begunAt.value_or(MonotonicClock::now());
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
