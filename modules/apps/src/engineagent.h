#pragma once

#include "controlio.h"

#include <godwit/control/orderreconciler.h>
#include <godwit/ports/httpengine.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace godwit {

/// Controls one engine of this host: carries out the orders of its OrderReconciler and supplies the
/// weights of a load. Used only on the control thread; the calls to the engine run on the io
/// thread.
class EngineAgent
{
public:
    struct Listener
    {
        /// The engine must receive the weights of \a item; beginLoad() follows.
        std::function<void(const LoadedModel &item)> onLoadRequested;
        /// The engine accepts weights of the load from now on.
        std::function<void(const LoadedModel &item)> onLoadStarted;
        std::function<void(const LoadedModel &item, bool success)> onLoadEnded;
        std::function<void()> onStateChanged;
    };

    EngineAgent(const BackendSettings &settings, ControlIo &io, std::string author, Random random,
                Listener listener);

    void setDesired(TimePoint now, DesiredEngine desired);
    void tick(TimePoint now, const AuthorLease &lease);
    bool needsLease() const { return m_reconciler.needsLease(); }

    /// Starts the load that was requested by onLoadRequested().
    void beginLoad(const LoadedModel &item, const Digest &content, std::uint64_t bytes,
                   const VersionId &baseVersion);

    /// Sends weights at \a offset to the engine; \a done is called on the control thread.
    void supplyWeights(const LoadedModel &item, std::uint64_t offset,
                       std::shared_ptr<const std::string> bytes, std::function<void(bool)> done);

    void finishLoad(const LoadedModel &item);

    /// Ends the load with an error, for example because its transfer has failed.
    void failLoad(const LoadedModel &item, const Error &error);

    const BackendSettings &settings() const { return m_settings; }
    bool isUp() const { return m_state.has_value(); }
    const std::optional<EngineState> &state() const { return m_state; }
    const std::optional<EngineLoad> &load() const { return m_load; }
    const DesiredEngine &desired() const { return m_desired; }
    const std::string &problem() const { return m_problem; }
    bool needsIdleEngine() const { return m_reconciler.needsIdleEngine(); }
    bool isLoading(const LoadedModel &item) const { return m_loading == item; }

    /// Cache events since the last call.
    std::vector<CacheEvent> takeCacheEvents();

    /// Loads that failed since the desired state changed.
    const std::set<LoadedModel> &failedLoads() const { return m_failedLoads; }

private:
    void execute(const ReadEngine &action);
    void execute(const SendEngineOrder &action);
    void poll(TimePoint now);
    void stateRead(const Outcome<EngineState> &outcome, bool forReconciler);
    void orderDone(bool success, const std::string &problem);
    EngineOrder makeOrder(const ModelOrder &order) const;

    BackendSettings m_settings;
    ControlIo &m_io;
    std::string m_author;
    Listener m_listener;
    std::shared_ptr<HttpEngine> m_engine; ///< Used on the io thread.
    OrderReconciler m_reconciler;
    DesiredEngine m_desired;
    std::optional<EngineState> m_state;
    std::optional<EngineLoad> m_load;
    std::vector<CacheEvent> m_cacheEvents;
    std::uint64_t m_nextCacheEvent = 1;
    std::uint64_t m_cacheBoots = 0;
    std::optional<LoadedModel> m_loading;
    FencingNumber m_fencing; ///< Of the order in flight.
    std::string m_loadId;
    std::string m_problem;
    std::set<LoadedModel> m_failedLoads;
    TimePoint m_nextPoll;
    bool m_pollPending = false;
};

/// Conversions between the two forms of a model version.
ModelPin pinOf(const LoadedModel &item);
LoadedModel loadedModelOf(const ModelPin &pin);

} // namespace godwit
