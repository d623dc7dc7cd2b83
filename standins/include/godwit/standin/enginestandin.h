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

/// Token number \a position of the response to \a prompt by the weights \a pin. Engines with the
/// same weights give the same response, so that a stream may be resumed elsewhere.
std::string engineToken(const ModelPin &pin, std::string_view prompt, std::uint64_t position);

/// Model engine: continuous batching with a number of slots and a token rate, a prefix cache with
/// late events, lagging load reports, and orders. See httpengine.h for its API.
///
/// A completion body may have a member `standin` with `tokens_per_second`, which replaces the rate
/// of EngineConfig for this request, and `stamp`: if it is true, each event has a member `sent_us`,
/// the microseconds of the machine's monotonic clock at which it was written.
///
/// A crash drops all requests, closes all connections and the port, and brings the engine back
/// after EngineConfig::restartDelay.
class EngineStandin : public Standin
{
public:
    EngineStandin(boost::asio::io_context &io, EngineConfig config);
    ~EngineStandin() override;

    EngineState state() const;
    const EngineLedger &records() const { return m_ledger; }
    boost::json::value ledger() const override;
    void crash();

protected:
    void handle(HttpRequest request, const ReplyPointer &reply) override;
    std::string kindOf(const HttpRequest &request) const override;
    void onFaultChanged(const Fault &fault) override;

private:
    struct Run;
    struct Load;
    using RunPointer = std::shared_ptr<Run>;

    void complete(const HttpRequest &request, const ReplyPointer &reply);
    /// Reads the member `standin` of a body, with which an experiment sets the pace of one request.
    void readProfile(const boost::json::object &body, Run &run) const;
    RunPointer makeRun(const HttpRequest &request, const ReplyPointer &reply);
    std::optional<ModelPin> servedPin(const HttpRequest &request, const std::string &model) const;
    void enqueue(const RunPointer &run);
    void admit();
    void begin(const RunPointer &run);
    void scheduleTick();
    void tick();
    void generate(Run &run, TimePoint now);
    void emitToken(Run &run);
    void finish(Run &run);
    void leave(const RunPointer &run);
    void markAll(RunOutcome running, RunOutcome queued);
    EngineRun &record(const Run &run);

    void receiveOrder(const HttpRequest &request, const ReplyPointer &reply);
    /// Code of the refusal, or empty.
    std::string refusal(const EngineOrder &order) const;
    boost::json::object obey(const EngineOrder &order);
    void receiveLoad(const HttpRequest &request, const ReplyPointer &reply);
    void putWeights(const HttpRequest &request, const ReplyPointer &reply);
    void finishLoad(const ReplyPointer &reply);
    void activate(const ModelPin &pin);
    void sendRefusal(const ReplyPointer &reply, std::string_view code);
    bool isRunning(const ModelPin &pin) const;
    std::vector<ModelPin> replacedBy(const ModelPin &pin) const;

    void receiveAdmin(const HttpRequest &request, const ReplyPointer &reply);
    void receiveCache(const HttpRequest &request, const ReplyPointer &reply);
    void sendCacheEvents(const HttpRequest &request, const ReplyPointer &reply);
    void exportBlock(const HttpRequest &request, const ReplyPointer &reply);
    void importBlocks(const HttpRequest &request, const ReplyPointer &reply);
    void publishCacheEvents();

    void sendLoad(const ReplyPointer &reply);
    EngineLoad loadNow() const;
    void sampleLoad();
    Duration lag() const;

    EngineConfig m_config;
    std::set<ModelPin> m_loaded;
    std::string m_role = "mixed";
    std::uint64_t m_boots = 1;
    FencingNumber m_fencing;
    std::string m_author;
    std::unique_ptr<Load> m_load;
    std::uint64_t m_loadCount = 0;

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
    std::deque<LoadSample> m_samples;
};

} // namespace godwit::standin
