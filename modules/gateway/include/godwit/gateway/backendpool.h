#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/gateway/availabilitytracker.h>
#include <godwit/gateway/backendload.h>
#include <godwit/gateway/backendrecord.h>
#include <godwit/gateway/gatewayconfiguration.h>
#include <godwit/gateway/loadschedule.h>
#include <godwit/gateway/queueposition.h>
#include <godwit/gateway/route.h>
#include <godwit/gateway/serverspeed.h>
#include <godwit/gateway/usualeventgap.h>
#include <godwit/gateway/warmuplimiter.h>
#include <godwit/gateway/zoneplacement.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace godwit {

/// Outcome of an attempt at a backend server.
enum class AttemptOutcome {
    Complete,
    Failed,   ///< The backend server returned an error response.
    Rejected, ///< It reported that it did not execute the request, usually because it is full.
    /// Another process now listens at the address, or the engine has other weights; not executed.
    OtherProcess,
    Unreachable, ///< The connection could not be established; not executed.
    Broken,      ///< The connection was lost, or the response was malformed.
    Silent,      ///< Timed out without data.
    Abandoned,   ///< Cancelled; says nothing about the backend server.
    Withdrawn,   ///< Cancelled before any byte was sent; not executed.
};

/// Properties of a request that determine which backend server can take it.
struct BackendQuery
{
    std::string service;
    ModelId model;                        ///< Empty for a service without models.
    std::optional<std::uint64_t> version; ///< Required weights version; a stream must not mix two.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected number; 0 if unknown.
    std::set<BackendId> excluded;   ///< Backend servers that were tried before.
    AllowedRegions regions;         ///< In which the request may run.
    /// Limit on the expected wait for a slot. Prefill of the prompt of this request does not count,
    /// so that requests with long prompts are not refused.
    Duration maxQueueDelay = Duration::max();
    /// Requests that are on time overtake the late ones in the queue of a backend server.
    RequestUrgency urgency = RequestUrgency::OnTime;
    std::uint32_t priority = DefaultPriority; ///< More urgent requests overtake it in the queue.

    QueuePosition position() const { return {urgency, priority}; }
};

/// A backend server that could take a request but for what it has stated itself, or because it is
/// cold.
struct PassedOverBackend
{
    BackendId id;
    Unavailability why;

    friend bool operator==(const PassedOverBackend &, const PassedOverBackend &) = default;
};

/// The backend server selected for a request.
struct BackendChoice
{
    BackendId id;
    HttpEndpoint endpoint;
    Duration predictedStartDelay{0}; ///< Until the response starts.
    bool hasFreeSlot = true;         ///< The request does not queue behind others.
    /// Of the requested model, by the record of the backend server; none for a service without
    /// models. The request must not start there after the versionExpiry() of this version.
    std::optional<std::uint64_t> weightsVersion;
    std::uint64_t startTimeMs = 0; ///< Unix time at which its process started, by its record.
    std::vector<PassedOverBackend> passedOver = {};

    BackendInstance instance() const { return {id, startTimeMs}; }

    friend bool operator==(const BackendChoice &, const BackendChoice &) = default;
};

/// Why no backend server was selected.
struct NoBackend
{
    enum class Reason {
        NoneKnown,  ///< No backend server of the service is eligible for the request.
        AllFull,    ///< All eligible ones would start the request too late.
        AllLeaving, ///< Those that were not tried before have all stated that they leave.
        AllPaused,  ///< They leave or are paused, and at least one is paused.
        /// They leave, are paused, or are cold and have got as many requests as they may.
        AllCold,
        /// All others are in zones that are being evacuated or outside the allowed regions.
        NotPlaceable,
    };
    Reason reason = Reason::NoneKnown;
    /// Predicted time until one has a free slot, its pause is over, or it may get a request
    /// although it is cold; 0 if unknown.
    Duration shortestWait{0};
    std::vector<PassedOverBackend> passedOver = {};

    bool isWaitKnown() const
    {
        return reason == Reason::AllFull || reason == Reason::AllPaused
               || reason == Reason::AllCold;
    }

    friend bool operator==(const NoBackend &, const NoBackend &) = default;
};

/// A backend server is held to fewer requests than it has slots, or no longer.
struct HoldChange
{
    BackendId id;
    bool isHeld = false;
    double comfortableSlots = 0;

    friend bool operator==(const HoldChange &, const HoldChange &) = default;
};

/// Backend servers known to an entry process, with the load and health that its own requests
/// observe, and load balancing among them. Has no sockets and no clock.
///
/// The load of a backend server is the sum of the requests of this process, which is exact, and an
/// estimate of the requests of other processes, derived from the load reported in responses. The
/// weight of a report decays with its age.
class BackendPool
{
public:
    BackendPool(ZoneId zone, Random random, ZonePlacement placement = {},
                WarmupLimiter warmup = {});

    /// Whether predicted waits count only the requests that are admitted before, by priority.
    /// Otherwise requests on time overtake late ones only. Off by default.
    void setRanksCallers(bool isOn) { m_ranksCallers = isOn; }

    /// Whether the learned speed of the backend servers determines the predicted times and how many
    /// requests they get. Otherwise long event gaps are penalized only. Off by default.
    void setLearnsSpeed(bool isOn) { m_learnsSpeed = isOn; }

    /// Adds a backend server or replaces its record. Health statistics are reset if the process
    /// behind the record has changed.
    void update(const BackendRecord &record, TimePoint now);
    void remove(const BackendId &id);

    void setServices(const std::vector<ServiceDescription> &services);

    /// Sets the longest event gaps that callers accept. A service of several routes has the
    /// shortest of theirs.
    void setEventGapLimits(const std::vector<Route> &routes);

    /// Engines that serve an older version of \a model get no new requests from \a deadline on.
    /// Gateway::requireVersion() applies it to requests in progress as well.
    void requireVersion(const ModelId &model, std::uint64_t version, TimePoint deadline);

    /// Time at which the version \a served becomes outdated; none if no newer version is announced.
    std::optional<TimePoint> versionExpiry(const ModelId &model, std::uint64_t served) const;

    /// Starts the staggered loading of \a version of \a model by the engines.
    void announceVersion(const ModelId &model, std::uint64_t version, const VersionWindow &window);

    /// Evacuations, and the regions of the zones.
    ZonePlacement &placement() { return m_placement; }

    /// Limits on the requests to cold backend servers.
    WarmupLimiter &warmup() { return m_warmup; }

    /// The evacuation of \a zone ends. Its backend servers may be cold although none has reported
    /// it, so that they count as cold for the cold period of their service.
    void onZoneReturned(const ZoneId &zone, TimePoint now);

    /// Whether each model of the services has an eligible backend server, in any zone.
    bool servesAllModels(TimePoint now) const;

    std::variant<BackendChoice, NoBackend> choose(const BackendQuery &query, TimePoint now);

    /// What backend servers state about themselves. It outlasts their records: neither a record
    /// that says otherwise nor its removal and return make one eligible again.
    AvailabilityTracker &availability() { return m_availability; }

    /// Whether the record of \a instance is known and states that it serves \a version of \a model.
    bool isCurrent(const BackendInstance &instance, const ModelId &model,
                   std::optional<std::uint64_t> version) const;

    /// An attempt was sent to \a id.
    void onAttemptStarted(const BackendId &id, QueuePosition position, TimePoint now);
    /// The first event of its response arrived.
    void onResponseStarted(const BackendId &id, QueuePosition position);
    /// The response to a request that found a free slot started \a delay later than predicted.
    void recordStartDelay(const BackendId &id, Duration delay, TimePoint now);
    /// An attempt has had no answer for unusually long and goes on. Counts as a failure until
    /// onSilenceEnded().
    void onSilence(const BackendId &id, TimePoint now);
    /// The backend server has gone on with an attempt after onSilence(). A backoff after rejections
    /// goes on.
    void onSilenceEnded(const BackendId &id, TimePoint now);
    /// The attempt ended. \a held is the time since its response started, or since it was sent if
    /// no response has started.
    void onAttemptFinished(const BackendId &id, AttemptOutcome outcome, Duration held,
                           TimePoint now);
    /// The attempt ended before an event of its response arrived; called in addition to
    /// onAttemptFinished().
    void onFinishedBeforeResponse(const BackendId &id, QueuePosition position);
    /// A response reported \a load, which includes the request that it answers.
    void recordLoad(const BackendId &id, const BackendLoad &load, TimePoint now);

    /// \a gap passed between two deliveries of events in a stream from \a id.
    void recordEventGap(const BackendId &id, Duration gap, TimePoint now);

    /// The response to an attempt that was sent to \a id at \a sentAt has begun.
    void onAnswered(const BackendId &id, TimePoint sentAt);

    /// An attempt that was sent to \a id at \a sentAt has ended without a response. The backend
    /// server may have answered it, for example with a retry time that nobody has read, unless it
    /// was heard so much later that its rejection would have arrived. It gets one request at a time
    /// until the response to a later one has begun.
    void onUnanswered(const BackendId &id, TimePoint sentAt);

    /// Something of a response of \a id has arrived.
    void onActivity(const BackendId &id, TimePoint now);

    /// When something of a response of \a id arrived last; TimePoint() if nothing has.
    TimePoint lastActivity(const BackendId &id) const;

    /// Factor by which work at \a id takes longer than usual at this moment; 1 if it is unknown.
    double speedFactor(const BackendId &id, TimePoint now) const;

    /// Changes since the last call.
    std::vector<HoldChange> takeHoldChanges() { return std::exchange(m_holdChanges, {}); }

    /// Usual time between two deliveries of events in the streams of \a id; 0 if unknown.
    Duration eventGap(const BackendId &id) const;

    std::size_t size() const { return m_backends.size(); }

    /// Usual delay of the first event of a request for \a service beyond the prediction.
    Duration startDelay(const std::string &service) const;

    /// Number of requests of this process in progress at \a id.
    std::uint32_t inProgress(const BackendId &id) const;

private:
    struct Backend
    {
        BackendRecord record;
        std::uint32_t localRequests = 0; ///< Requests of this process in progress.
        QueuedRequests queued;           ///< Those of them whose response has not started.
        double remoteRequests = 0;       ///< Requests of other processes at loadReportedAt.
        std::optional<TimePoint> loadReportedAt;
        std::uint32_t reportedSlots = 0;
        int consecutiveFailures = 0;
        int consecutiveRejections = 0;
        /// Moving average of the event gaps of its streams; 0 if unknown.
        double eventGapSeconds = 0;
        TimePoint eventGapAt; ///< Of the last sample.
        ServerSpeed speed;
        TimePoint activeAt;         ///< Arrival of the last part of a response.
        double failureRate = 0;     ///< Moving average over the attempts.
        TimePoint backoffUntil;     ///< After failures and rejections.
        TimePoint answeredSentAt;   ///< Of the last sent attempt whose response has begun.
        TimePoint unansweredSentAt; ///< Of the last sent attempt that ended without a response.
        bool replaced = false; ///< Another process listens at its address, or it has other weights.

        bool isHalfOpen() const { return unansweredSentAt > answeredSentAt; }
    };
    struct Service
    {
        std::optional<EngineProfile> engine;
        double holdSeconds = 0;  ///< Moving average of the time that a request occupies a slot.
        double outputTokens = 0; ///< Moving average over the requests that state them.
        /// Moving average of the delay of the first event, beyond the prediction, of requests that
        /// found a free slot. It covers the prefill pass of the engine and the tokens of one event.
        double startDelaySeconds = 0;
        QueuedRequests queued; ///< Requests of this process whose response has not started.
        PriorityMix queuedMix; ///< Of the requests above.
        AttemptMix attempts;   ///< Of this process.
        /// By the first model that a backend server serves: models differ in their usual gaps.
        std::map<ModelId, UsualEventGap> usualEventGaps;
        Duration maxEventGap{0};       ///< That callers accept; 0 if they accept any.
        double meanRemoteRequests = 0; ///< At the last choice of a backend server.
    };
    struct VersionRule
    {
        std::uint64_t version = 0;
        TimePoint requiredFrom;
    };

    /// Whether \a backend could serve \a query, regardless of the ones that were tried before and
    /// of what it has stated about itself.
    bool isEligible(const Backend &backend, const BackendQuery &query, const Service *service,
                    TimePoint now) const;
    std::uint64_t requiredVersion(const ModelId &model, TimePoint now) const;
    static std::optional<std::uint64_t> servedVersion(const BackendRecord &record,
                                                      const ModelId &model);
    static double currentFactor(const Backend &backend, TimePoint now);
    /// Median of the mean event gaps, in seconds; 0 if there are none.
    static double medianEventGap(const std::vector<const Backend *> &backends);
    /// Penalty, in seconds, for a backend server whose event gaps exceed the median.
    static double eventGapPenalty(const Backend &backend, double medianGap, TimePoint now);
    /// Penalty, in seconds, for a backend server that works \a factor times as long as usual.
    static double slownessPenalty(double factor);
    /// Penalty, in seconds, for a request at \a backend with \a load requests beyond its
    /// comfortable slots.
    static double discomfortPenalty(const Backend &backend, double load, double slots,
                                    TimePoint now);
    /// Ends the holds of the backend servers that have recovered.
    void updateHolds(TimePoint now);
    /// Forgets the speed of \a backend.
    void resetSpeed(Backend &backend);
    void updateSpeed(Backend &backend, Duration gap, TimePoint now);
    void updateSchedules();
    /// Penalty, in seconds, for an engine that is due to load a newer version before a request of
    /// \a duration completes.
    double reloadPenalty(const BackendRecord &record, const ModelId &model, double duration,
                         TimePoint now) const;
    /// Time, in seconds, for which a request is expected to occupy its slot.
    static double expectedHold(const Service *service, const BackendQuery &query);
    std::optional<BackendChoice> findCheapest(const std::vector<const Backend *> &candidates,
                                              const BackendQuery &query, TimePoint now,
                                              double &shortestWait);
    double estimateRequests(const Backend &backend, double meanRemote, TimePoint now) const;
    /// Adds the backend servers that get no request of \a query now because they are cold to
    /// \a passedOver, and removes them from \a candidates.
    void passOverCold(const BackendQuery &query, TimePoint now,
                      std::vector<const Backend *> &candidates,
                      std::vector<PassedOverBackend> &passedOver);
    /// Removes backend servers that have just warmed up from \a candidates, but for a random share
    /// of the requests, which is that of one server among the others. All entry processes see such
    /// a server as idle at the same time, and would send it all their requests until its load
    /// reports arrive.
    void leaveOutWarmedUp(const Service *service, TimePoint now,
                          std::vector<const Backend *> &candidates);
    /// Counts \a record as cold because its zone has returned from an evacuation.
    void recordZoneReturn(const BackendRecord &record, TimePoint now);
    /// Time until \a backend with \a load requests has a free slot for a request at \a position.
    double waitSeconds(const Backend &backend, const Service *service, QueuePosition position,
                       double load, double slots, double hold) const;
    /// The same if priorities do not count.
    static double unrankedWaitSeconds(const Backend &backend, RequestUrgency urgency, double load,
                                      double slots, double hold);
    /// How many of \a waiting requests at \a backend are admitted before one at \a position.
    static double countAhead(const Backend &backend, const Service *service, QueuePosition position,
                             double waiting);
    void removeFromQueue(const BackendId &id, QueuePosition position);
    void recordOutputTokens(const BackendQuery &query);
    static void recordFailure(Backend &backend, TimePoint now);
    /// Weight, from 0 to 1, of the last load report of \a backend; decays with its age.
    static double loadReportWeight(const Backend &backend, TimePoint now);
    static double meanRemoteRequests(const std::vector<const Backend *> &backends, TimePoint now);
    Backend *find(const BackendId &id);
    std::uint32_t slotCount(const Backend &backend, const Service *service) const;
    const Service *findService(const std::string &name) const;

    ZoneId m_zone;
    Random m_random;
    std::map<BackendId, Backend> m_backends;
    std::map<std::string, Service> m_services;
    std::map<ModelId, std::vector<VersionRule>> m_versionRules;
    std::map<ModelId, LoadSchedule> m_schedules;
    AvailabilityTracker m_availability;
    ZonePlacement m_placement;
    WarmupLimiter m_warmup;
    std::map<ZoneId, TimePoint> m_zoneReturns; ///< Ends of the evacuations.
    std::vector<HoldChange> m_holdChanges;
    bool m_learnsSpeed = false;
    bool m_ranksCallers = false;
    bool m_enginesChanged = false; ///< The schedules have to be updated.
};

} // namespace godwit
