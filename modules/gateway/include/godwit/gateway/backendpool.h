#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/gateway/backendload.h>
#include <godwit/gateway/backendrecord.h>
#include <godwit/gateway/gatewayconfiguration.h>
#include <godwit/gateway/loadschedule.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace godwit {

/// How an attempt at a backend server ended.
enum class AttemptOutcome {
    Complete,
    Failed,       ///< It answered with a failure of its own.
    Rejected,     ///< It states that it did not run the request, usually because it is full.
    OtherProcess, ///< Another process has the address; not run.
    Unreachable,  ///< No connection; not run.
    Broken,       ///< The connection or the response broke.
    Silent,       ///< Nothing arrived in time.
    Abandoned,    ///< The client has left; says nothing about the backend server.
};

/// Whether the response can begin within the objective of its route.
enum class RequestUrgency {
    OnTime,
    Late, ///< Waits until no request that can be in time does.
};

/// What the pool needs to know about a request.
struct BackendQuery
{
    std::string service;
    ModelId model;                        ///< Empty for a service without models.
    std::optional<std::uint64_t> version; ///< Of the weights; a stream must not mix two.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected; 0 if not known.
    std::set<BackendId> excluded;   ///< That were tried before.
    /// A backend server is used only if the request is expected to wait no longer for a slot. The
    /// time in which its own prompt is read does not count, so that long prompts are not left out.
    Duration maxQueueDelay = Duration::max();
    /// Whether it overtakes the requests in the queues of the backend servers that are late anyway.
    RequestUrgency urgency = RequestUrgency::OnTime;
};

/// A backend server to which a request goes.
struct BackendChoice
{
    BackendId id;
    HttpEndpoint endpoint;
    Duration predictedStartDelay{0}; ///< Until the response begins.
    bool hasFreeSlot = true;         ///< It need not wait for other requests.
    /// The weights of the backend server are out of date from then on, and it must not begin.
    std::optional<TimePoint> startDeadline;

    friend bool operator==(const BackendChoice &, const BackendChoice &) = default;
};

/// Why no backend server was chosen.
struct NoBackend
{
    enum class Reason {
        NoneKnown, ///< The service has no backend server that serves the model.
        AllFull,   ///< All would begin after the limit.
    };
    Reason reason = Reason::NoneKnown;
    Duration shortestWait{0}; ///< Predicted time after which one has room; 0 if not known.

    friend bool operator==(const NoBackend &, const NoBackend &) = default;
};

/// The backend servers that an entry process knows, with load and health as its own requests show
/// them, and the choice among them. No sockets and no clock.
///
/// The load of a backend server is the number of requests in progress from this process, which is
/// exact, and that of the other processes, taken from the load that responses state. The latter
/// is trusted less as it ages.
class BackendPool
{
public:
    BackendPool(ZoneId zone, Random random);

    /// Adds a backend server or replaces its record. Its health starts anew with a new process.
    void update(const BackendRecord &record, TimePoint now);
    void remove(const BackendId &id);

    void setServices(const std::vector<ServiceDescription> &services);

    /// Engines with older versions of \a model get nothing new from \a deadline on.
    void requireVersion(const ModelId &model, std::uint64_t version, TimePoint deadline);

    /// The engines take turns in loading \a version of \a model.
    void announceVersion(const ModelId &model, std::uint64_t version, const VersionWindow &window);

    /// Whether each model of the services has a backend server.
    bool servesAllModels(TimePoint now) const;

    std::variant<BackendChoice, NoBackend> choose(const BackendQuery &query, TimePoint now);

    /// An attempt was sent to \a id.
    void onAttemptStarted(const BackendId &id, RequestUrgency urgency);
    /// Its response began.
    void onResponseStarted(const BackendId &id, RequestUrgency urgency);
    /// The response of a request that found a free slot began \a delay later than predicted.
    void recordStartDelay(const BackendId &id, Duration delay, TimePoint now);
    /// It ended. \a held is the time since its response began, or else since it was sent.
    void onAttemptFinished(const BackendId &id, AttemptOutcome outcome, Duration held,
                           TimePoint now);
    /// It ended before its response began.
    void onFinishedBeforeResponse(const BackendId &id, RequestUrgency urgency);
    /// A response stated the load, counting the request that it answers.
    void recordLoad(const BackendId &id, const BackendLoad &load, TimePoint now);

    /// A stream of \a id paused for \a pause between two deliveries of events.
    void recordEventGap(const BackendId &id, Duration gap, TimePoint now);

    std::size_t size() const { return m_backends.size(); }

    /// Requests of this process in progress at \a id.
    std::uint32_t inProgress(const BackendId &id) const;

private:
    struct Backend
    {
        BackendRecord record;
        std::uint32_t localRequests = 0;      ///< Requests of this process in progress.
        std::uint32_t queuedRequests = 0;     ///< Those of them whose response has not begun.
        std::uint32_t queuedLateRequests = 0; ///< Those of the waiting ones that are late.
        double remoteRequests = 0;            ///< Requests of other processes at loadAt.
        std::optional<TimePoint> loadReportedAt;
        std::uint32_t reportedSlots = 0;
        int consecutiveFailures = 0;     ///< Consecutive ones.
        int consecutiveRejections = 0;   ///< Consecutive ones.
        double eventGapSeconds = 0;      ///< Mean pause within streams; 0 if not known.
        TimePoint eventGapAt;            ///< When it was last measured.
        double startLatenessSeconds = 0; ///< By which responses began later than predicted.
        TimePoint startLatenessAt;       ///< When that was last measured.
        double failureRate = 0;          ///< Of recent attempts, weighted by age.
        TimePoint backoffUntil;          ///< After failures and rejections.
        bool replaced = false;           ///< Another process has its address.
    };
    struct Service
    {
        std::optional<EngineProfile> engine;
        double holdSeconds = 0;  ///< Mean time for which a request holds its slot.
        double outputTokens = 0; ///< Mean of the requests that state them.
        /// Mean time to the first event, beyond the prediction, of requests that found a free slot:
        /// the pass of the engine that reads the prompt, and the tokens of one event.
        double startDelaySeconds = 0;
    };
    struct VersionRule
    {
        std::uint64_t version = 0;
        TimePoint requiredFrom;
    };

    bool isEligible(const Backend &backend, const BackendQuery &query, const Service *service,
                    TimePoint now) const;
    std::uint64_t requiredVersion(const ModelId &model, TimePoint now) const;
    /// When \a served will be out of date; nothing if no newer version is named.
    std::optional<TimePoint> versionExpiry(const ModelId &model, std::uint64_t served) const;
    std::optional<TimePoint> versionExpiry(const BackendRecord &record, const ModelId &model) const;
    /// Price, in seconds, of a backend server whose streams pause longer than those of the others.
    double eventGapPenalty(const Backend &backend, double medianGap, TimePoint now) const;
    /// Time by which a response of \a backend is expected to begin late, in seconds.
    static double expectedStartLateness(const Backend &backend, TimePoint now);
    void updateSchedules();
    /// Price, in seconds, of an engine that loads a newer version before a request that takes
    /// \a duration comes to its end.
    double reloadPenalty(const BackendRecord &record, const ModelId &model, double duration,
                         TimePoint now) const;
    /// Time for which a request is expected to hold its slot, in seconds.
    static double expectedHold(const Service *service, const BackendQuery &query);
    std::optional<BackendChoice> findCheapest(const std::vector<const Backend *> &candidates,
                                              const BackendQuery &query, TimePoint now,
                                              double &shortestWait);
    double estimateRequests(const Backend &backend, double meanRemote, TimePoint now) const;
    /// Time until \a backend with \a load requests has a slot for one of \a urgency.
    static double waitSeconds(const Backend &backend, RequestUrgency urgency, double load,
                              double slots, double hold);
    static void removeFromQueue(Backend &backend, RequestUrgency urgency);
    /// How far the load that \a backend stated last still holds, from 0 to 1.
    static double loadReportWeight(const Backend &backend, TimePoint now);
    static double meanRemoteRequests(const std::vector<const Backend *> &backends, TimePoint now);
    double medianEventGap(const std::vector<const Backend *> &backends) const;
    Backend *find(const BackendId &id);
    std::uint32_t slotCount(const Backend &backend, const Service *service) const;
    const Service *findService(const std::string &name) const;

    ZoneId m_zone;
    Random m_random;
    std::map<BackendId, Backend> m_backends;
    std::map<std::string, Service> m_services;
    std::map<ModelId, std::vector<VersionRule>> m_versionRules;
    std::map<ModelId, LoadSchedule> m_schedules;
    bool m_enginesChanged = false; ///< The schedules do not know it yet.
};

} // namespace godwit
