#pragma once

#include <godwit/ports/cacheevent.h>
#include <godwit/ports/engineload.h>
#include <godwit/ports/engineorder.h>
#include <godwit/ports/enginestate.h>
#include <godwit/standin/engineconfig.h>
#include <godwit/standin/engineledger.h>
#include <godwit/standin/prefixcache.h>
#include <godwit/standin/standin.h>

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace godwit::standin {

/// Returns the token at \a position of the response to \a prompt by the weights \a pin. The result
/// is deterministic, so that a stream can be resumed on another engine with the same weights.
std::string engineToken(const ModelPin &pin, std::string_view prompt, std::uint64_t position);

/// Simulates a model engine with continuous batching (EngineConfig::slots, a token rate per
/// request), a prefix cache whose events may be delayed, load reports that may lag, and orders. The
/// HTTP API is described in httpengine.h.
///
/// A completion body may have a member `standin` with these options: `tokens_per_second` replaces
/// EngineConfig::tokensPerSecond for this request; if `stamp` is true, each event has a member
/// `sent_us`, the time of sending in microseconds of the monotonic clock.
///
/// A crash drops all requests and closes all connections and the listening port. The engine
/// restarts after EngineConfig::restartDelay.
class EngineStandin : public Standin
{
public:
    EngineStandin(boost::asio::io_context &io, EngineConfig config);
    ~EngineStandin() override;

    EngineState state() const;
    const EngineLedger &engineLedger() const { return m_ledger; }
    boost::json::value ledger() const override;
    void crash();

protected:
    void handle(HttpRequest request, const ReplyPointer &reply) override;
    std::string requestKind(const HttpRequest &request) const override;
    void onFaultChanged(const Fault &fault) override;

private:
    struct Run;
    struct WeightLoad;
    using RunPointer = std::shared_ptr<Run>;

    /// Refuses a request that does not run. States its id, as engines do in their responses.
    static void refuseCompletion(const HttpRequest &request, const ReplyPointer &reply, int status,
                                 std::string_view code, std::string_view message);
    void handleCompletion(const HttpRequest &request, const ReplyPointer &reply);
    /// Reads the options in the member `standin` of a completion body.
    void readRequestOptions(const boost::json::object &body, Run &run) const;
    RunPointer createRun(const HttpRequest &request, const ReplyPointer &reply);
    std::optional<ModelPin> servedPin(const HttpRequest &request, const std::string &model) const;
    void enqueue(const RunPointer &run);
    void startQueuedRuns();
    void startRun(const RunPointer &run);
    void scheduleTick();
    void tick();
    void generateTokens(Run &run, TimePoint now);
    void emitToken(Run &run);
    void finish(Run &run);
    void removeRun(const RunPointer &run);
    void setOutcomes(RunOutcome running, RunOutcome queued);
    EngineRun &ledgerEntry(const Run &run);

    void handleOrder(const HttpRequest &request, const ReplyPointer &reply);
    /// Returns the error code with which \a order is refused; empty if it is accepted.
    std::string refusalCode(const EngineOrder &order) const;
    boost::json::object applyOrder(const EngineOrder &order);
    void handleWeightLoad(const HttpRequest &request, const ReplyPointer &reply);
    void putWeights(const HttpRequest &request, const ReplyPointer &reply);
    void finishWeightLoad(const ReplyPointer &reply);
    void activate(const ModelPin &pin);
    void sendRefusal(const ReplyPointer &reply, std::string_view code);
    bool isRunning(const ModelPin &pin) const;
    std::vector<ModelPin> replacedBy(const ModelPin &pin) const;

    void handleAdminRequest(const HttpRequest &request, const ReplyPointer &reply);
    void handleCacheRequest(const HttpRequest &request, const ReplyPointer &reply);
    void sendCacheEvents(const HttpRequest &request, const ReplyPointer &reply);
    void exportBlock(const HttpRequest &request, const ReplyPointer &reply);
    void importBlocks(const HttpRequest &request, const ReplyPointer &reply);
    void publishCacheEvents();

    void sendLoadReport(const ReplyPointer &reply);
    EngineLoad currentLoad() const;
    void sampleLoad();
    Duration loadReportLag() const;

    EngineConfig m_config;
    std::set<ModelPin> m_loaded;
    std::string m_role = "mixed";
    std::uint64_t m_boots = 1;
    FencingNumber m_fencing;
    std::string m_author;
    std::unique_ptr<WeightLoad> m_weightLoad;
    std::uint64_t m_weightLoadCount = 0;

    std::list<RunPointer> m_queue;
    std::vector<RunPointer> m_running;
    bool m_tickScheduled = false;
    EngineLedger m_ledger;

    struct TimedEvent
    {
        TimePoint visible;
        CacheEvent event;
    };
    PrefixCache m_cache;
    std::deque<TimedEvent> m_cacheEvents;
    std::uint64_t m_lastSequence = 0;

    struct LoadSample
    {
        TimePoint time;
        EngineLoad load;
    };
    std::deque<LoadSample> m_loadSamples;
};

} // namespace godwit::standin
