#include "engineagent.h"

#include <godwit/observe/log.h>

#include <array>

namespace godwit {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxCacheEvents = 4096;

constexpr std::array<std::pair<std::string_view, BackendRole>, 3> RoleNames{
        {{"mixed", BackendRole::Mixed},
         {"prefill", BackendRole::Prefill},
         {"decode", BackendRole::Decode}}};

BackendRole roleOf(std::string_view name)
{
    for (const auto &[text, role] : RoleNames) {
        if (text == name)
            return role;
    }
    return BackendRole::Mixed;
}

std::string nameOf(BackendRole role)
{
    for (const auto &[text, candidate] : RoleNames) {
        if (candidate == role)
            return std::string(text);
    }
    return "mixed";
}

ObservedEngine observed(const EngineState &state)
{
    ObservedEngine engine;
    for (const auto &pin : state.loaded)
        engine.loads.insert(loadedModelOf(pin));
    engine.role = roleOf(state.role);
    engine.runningRequests = static_cast<std::uint32_t>(state.running);
    return engine;
}

} // namespace

ModelPin pinOf(const LoadedModel &item)
{
    return {item.model, item.adapter, item.version};
}

LoadedModel loadedModelOf(const ModelPin &pin)
{
    return {pin.model, pin.adapter, pin.version};
}

EngineAgent::EngineAgent(const BackendSettings &settings, ControlIo &io, std::string author,
                         Random random, Listener listener)
    : m_settings(settings)
    , m_io(io)
    , m_author(std::move(author))
    , m_listener(std::move(listener))
    , m_engine(std::make_shared<HttpEngine>(
              io.http(), ServiceOptions{{settings.endpoint.address, settings.endpoint.port},
                                        std::chrono::seconds(1),
                                        std::chrono::seconds(5)}))
    , m_reconciler({}, random)
{}

void EngineAgent::setDesired(TimePoint now, DesiredEngine desired)
{
    if (desired == m_desired)
        return;
    m_desired = desired;
    m_failedLoads.clear();
    m_problem.clear();
    // A load that is not part of the new desired state is cancelled.
    if (m_loading && !desired.loads.contains(*m_loading))
        failLoad(*m_loading, {ResultCode::Ok, "the load is no longer part of the desired state"});
    m_reconciler.onDesired(now, std::move(desired));
}

void EngineAgent::tick(TimePoint now, const AuthorLease &lease)
{
    if (now >= m_nextPoll && !m_pollPending)
        poll(now);
    if (now < m_reconciler.nextTimer())
        return;
    m_fencing = lease.fencing();
    for (const auto &action : m_reconciler.onTimer(now, lease))
        std::visit([this](const auto &it) { execute(it); }, action);
}

void EngineAgent::poll(TimePoint now)
{
    m_pollPending = true;
    m_nextPoll = now + PollInterval;
    auto onState =
            m_io.controlCallback<Outcome<EngineState>>([this](const Outcome<EngineState> &it) {
                m_pollPending = false;
                stateRead(it, false);
            });
    auto onLoad = m_io.controlCallback<Outcome<EngineLoad>>([this](const Outcome<EngineLoad> &it) {
        if (succeeded(it))
            m_load = std::get<0>(it);
        else
            m_load.reset();
    });
    auto onEvents =
            m_io.controlCallback<Outcome<CacheEvents>>([this](const Outcome<CacheEvents> &it) {
                if (!succeeded(it))
                    return;
                const auto &events = std::get<0>(it);
                m_nextCacheEvent = events.next;
                m_cacheBoots = events.boots;
                m_cacheEvents.insert(m_cacheEvents.end(), events.events.begin(),
                                     events.events.end());
                // Dropping the oldest events leaves a gap in the sequence numbers, which readers
                // detect.
                if (m_cacheEvents.size() > MaxCacheEvents)
                    m_cacheEvents.erase(m_cacheEvents.begin(),
                                        m_cacheEvents.end() - MaxCacheEvents);
            });
    m_io.post([engine = m_engine, onState, onLoad, onEvents, from = m_nextCacheEvent] {
        engine->readState(onState);
        engine->readLoad(onLoad);
        engine->readCacheEvents(from, onEvents);
    });
}

void EngineAgent::stateRead(const Outcome<EngineState> &outcome, bool forReconciler)
{
    const TimePoint now = MonotonicClock::now();
    const bool wasUp = isUp();
    if (!succeeded(outcome)) {
        m_state.reset();
        if (forReconciler)
            m_reconciler.onReadFailed(now);
    } else {
        const auto &state = std::get<0>(outcome);
        const bool restarted = m_state && m_state->boots != state.boots;
        m_state = state;
        if (restarted || forReconciler)
            m_reconciler.onState(now, observed(state));
        if (restarted && m_loading)
            failLoad(*m_loading, {ResultCode::NotFound, "the engine was restarted"});
    }
    if (wasUp != isUp())
        logStateChange(isUp() ? "engine_up" : "engine_down", {{"backend", m_settings.id.value()}});
    m_listener.onStateChanged();
}

void EngineAgent::execute(const ReadEngine &)
{
    auto done = m_io.controlCallback<Outcome<EngineState>>(
            [this](const Outcome<EngineState> &outcome) { stateRead(outcome, true); });
    m_io.post([engine = m_engine, done] { engine->readState(done); });
}

void EngineAgent::execute(const SendEngineOrder &action)
{
    logStateChange("engine_order_sent", {{"backend", m_settings.id.value()},
                                         {"kind", static_cast<int>(action.order.kind)},
                                         {"item", toJson(action.order.item)},
                                         {"fencing", action.order.fencing.value}});
    m_fencing = action.order.fencing;
    if (action.order.kind == ModelOrderKind::Load) {
        m_loading = action.order.item;
        m_loadId.clear();
        m_listener.onLoadRequested(action.order.item);
        return;
    }
    auto done =
            m_io.controlCallback<Outcome<std::string>>([this](const Outcome<std::string> &outcome) {
                const auto *error = std::get_if<Error>(&outcome);
                orderDone(!error, error ? toString(*error) : std::string());
            });
    m_io.post([engine = m_engine, order = makeOrder(action.order), done] {
        engine->order(order, done);
    });
}

EngineOrder EngineAgent::makeOrder(const ModelOrder &order) const
{
    EngineOrder result;
    result.kind = order.kind == ModelOrderKind::Unload ? EngineOrderKind::Unload
                                                       : EngineOrderKind::SetRole;
    result.author = m_author;
    result.fencing = order.fencing;
    result.pin = pinOf(order.item);
    result.role = nameOf(order.role);
    return result;
}

void EngineAgent::beginLoad(const LoadedModel &item, const Digest &content, std::uint64_t bytes,
                            const VersionId &baseVersion)
{
    if (m_loading != item)
        return;
    EngineOrder order;
    order.kind = EngineOrderKind::Load;
    order.author = m_author;
    order.fencing = m_fencing;
    order.pin = pinOf(item);
    order.baseVersion = baseVersion;
    order.digest = content;
    order.bytes = bytes;
    auto done = m_io.controlCallback<Outcome<std::string>>(
            [this, item](const Outcome<std::string> &outcome) {
                if (m_loading != item)
                    return;
                if (const auto *error = std::get_if<Error>(&outcome)) {
                    failLoad(item, *error);
                    return;
                }
                m_loadId = std::get<0>(outcome);
                m_listener.onLoadStarted(item);
            });
    m_io.post([engine = m_engine, order, done] { engine->order(order, done); });
}

void EngineAgent::supplyWeights(const LoadedModel &item, std::uint64_t offset,
                                std::shared_ptr<const std::string> bytes,
                                std::function<void(bool)> done)
{
    if (m_loading != item || m_loadId.empty()) {
        done(false);
        return;
    }
    auto onDone = m_io.controlCallback<Outcome<std::uint64_t>>(
            [done = std::move(done)](const Outcome<std::uint64_t> &outcome) {
                done(succeeded(outcome));
            });
    m_io.post([engine = m_engine, load = m_loadId, offset, bytes = std::move(bytes), onDone] {
        engine->putWeights(load, offset, *bytes, onDone);
    });
}

void EngineAgent::finishLoad(const LoadedModel &item)
{
    if (m_loading != item)
        return;
    auto done = m_io.controlCallback<Outcome<EngineState>>(
            [this, item](const Outcome<EngineState> &outcome) {
                if (m_loading != item)
                    return;
                if (const auto *error = std::get_if<Error>(&outcome)) {
                    failLoad(item, *error);
                    return;
                }
                m_loading.reset();
                m_state = std::get<0>(outcome);
                m_listener.onLoadEnded(item, true);
                orderDone(true, {});
                m_listener.onStateChanged();
            });
    m_io.post([engine = m_engine, load = m_loadId, done] { engine->finishLoad(load, done); });
}

void EngineAgent::failLoad(const LoadedModel &item, const Error &error)
{
    if (m_loading != item)
        return;
    m_loading.reset();
    if (!m_loadId.empty())
        m_io.post([engine = m_engine, load = std::exchange(m_loadId, {})] {
            engine->abandonLoad(load, [](Outcome<Done>) {});
        });
    if (error.code != ResultCode::Ok)
        m_failedLoads.insert(item);
    m_listener.onLoadEnded(item, false);
    orderDone(false, toString(error));
}

void EngineAgent::orderDone(bool success, const std::string &problem)
{
    if (!success)
        logStateChange("engine_order_failed",
                       {{"backend", m_settings.id.value()}, {"problem", problem}},
                       LogLevel::Warning);
    m_problem = problem;
    m_reconciler.onOrderDone(MonotonicClock::now(), success);
}

std::vector<CacheEvent> EngineAgent::takeCacheEvents()
{
    return std::exchange(m_cacheEvents, {});
}

} // namespace godwit
