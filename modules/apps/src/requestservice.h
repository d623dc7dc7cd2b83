#pragma once

#include "backenddirectory.h"
#include "callerrequest.h"
#include "enginegroup.h"
#include "engineselector.h"
#include "refusallog.h"
#include "runmessages.h"
#include "tokenframe.h"

#include <godwit/apps/peerpool.h>
#include <godwit/observe/metricsregistry.h>
#include <godwit/observe/tracer.h>
#include <godwit/ports/httpreply.h>
#include <godwit/requests/concurrencylimiter.h>
#include <godwit/requests/poisondetector.h>
#include <godwit/requests/requesttracker.h>
#include <godwit/requests/retrybudget.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace godwit {

/// Handles the requests of one traffic thread of an entry process: admission, selection of a
/// backend server, attempts and the response to the caller. Used only on that thread.
class RequestService
{
public:
    /// Sends new poison records to the other entry processes.
    using PoisonPublisher = std::function<void(std::vector<PoisonRecord>)>;

    /// Reports that no engine with a current report is eligible for requests of the group, so that
    /// more hosts must be subscribed to.
    using EnginesNeeded = std::function<void(const EngineGroup &)>;

    RequestService(const DaemonSettings &settings, PeerPool &peers, BackendDirectory &directory,
                   RefusalLog &refusals, MetricsRegistry &metrics, Tracer &tracer, Random random,
                   PoisonPublisher publishPoison, EnginesNeeded enginesNeeded);
    ~RequestService();

    void handle(HttpRequest request, std::shared_ptr<HttpReply> reply);

    /// Checks deadlines and waiting requests. Called about every 50 ms.
    void tick(TimePoint now);

    /// Must be called when a report or the configuration has changed which servers are eligible.
    void directoryChanged(TimePoint now);

    /// Applies a report that the directory has accepted.
    void onReport(const HostReport &report, TimePoint now);

    void mergePoison(const std::vector<PoisonRecord> &records, TimePoint now);

    /// Refuses new requests as not run; requests in progress continue.
    void stopAccepting() { m_accepting = false; }
    std::size_t inProgress() const { return m_requests.size(); }
    std::vector<std::string> inProgressNames() const;

private:
    struct Request;
    struct Attempt;
    using RequestPtr = std::shared_ptr<Request>;
    using AttemptPtr = std::shared_ptr<Attempt>;

    RequestId newRequestId();
    void admit(CallerRequest call, std::shared_ptr<HttpReply> reply);
    void enqueue(const RequestPtr &request);
    void refuseQueued(const std::vector<AdmissionQueue::Refusal> &refusals);
    void dispatchQueued(const DeploymentId &deployment, TimePoint now);
    bool hasCapacity(const DeploymentId &deployment) const;
    std::optional<BackendDirectory::Target> choose(Request &request, TimePoint now);
    std::optional<BackendDirectory::Target> chooseService(const Request &request, TimePoint now);
    std::optional<BackendDirectory::Target> chooseEngine(Request &request, TimePoint now);
    void prepareRouting(Request &request, TimePoint now);
    void requestEnginesForQueued(TimePoint now);
    void notifyEnginesNeeded(const EngineGroup &group, TimePoint now);
    /// Part of an error message: the number of engines that may not run \a request, by reason.
    std::string ineligibleReasons(Request &request, TimePoint now);
    void reportNotSent(const Request &request, const BackendDirectory::Target &target,
                       TimePoint now);
    void startAttempt(const RequestPtr &request);
    void sendAttempt(const RequestPtr &request, const AttemptPtr &attempt, std::uint64_t resumeAt);
    void waitForCapacity(const RequestPtr &request);
    StreamEvents attemptEvents(const RequestPtr &request, const AttemptPtr &attempt);
    void attemptData(const RequestPtr &request, const AttemptPtr &attempt, std::string_view bytes);
    void attemptEnd(const RequestPtr &request, const AttemptPtr &attempt,
                    const WireFields &trailers);
    void attemptBroken(const RequestPtr &request, const AttemptPtr &attempt, const Error &error);
    void sendWithdraw(const RequestPtr &request, const AttemptPtr &attempt);
    void releasePermit(const AttemptPtr &attempt, ConcurrencyLimiter::ReleaseReason end);
    void updatePoisonDetector(const RequestPtr &request, const AttemptPtr &attempt,
                              const RunOutcome &outcome);
    void apply(const RequestPtr &request, const RequestTracker::Actions &actions,
               const TokenFrame *frame);
    void retryOrGiveUp(const RequestPtr &request);
    void deliver(const RequestPtr &request, const TokenFrame &frame);
    void sendResponse(const RequestPtr &request, const RequestTracker::FinalResponse &final);
    void sendErrorResponse(const RequestPtr &request, const RequestTracker::FinalResponse &final);
    void close(const RequestPtr &request);
    void refuse(HttpReply &reply, const RequestId &id, const Error &error, RunState state,
                Duration retryAfter);

    const DaemonSettings &m_settings;
    PeerPool &m_peers;
    BackendDirectory &m_directory;
    RefusalLog &m_refusals;
    Tracer &m_tracer;
    Random m_random;
    EngineSelector m_selector;
    PoisonPublisher m_publishPoison;
    EnginesNeeded m_enginesNeeded;
    std::map<EngineGroup, TimePoint> m_nextEnginesNeeded;
    Counter &m_received;
    Counter &m_answered;
    Counter &m_notRun;
    Counter &m_unknown;
    Counter &m_retries;
    Counter &m_tokens;
    Summary &m_firstToken;
    std::map<DeploymentId, AdmissionQueue> m_queues;
    std::map<RequestId, RequestPtr> m_requests;
    std::deque<RequestPtr> m_waiting; ///< Admitted, but no backend server has capacity.
    ConcurrencyLimiter m_limiter;
    RetryBudget m_retryBudget;
    PoisonDetector m_poisonDetector;
    bool m_accepting = true;
};

} // namespace godwit
