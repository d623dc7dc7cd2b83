#pragma once

#include <godwit/base/random.h>
#include <godwit/gateway/admission.h>
#include <godwit/gateway/backendpool.h>
#include <godwit/gateway/callerprotocol.h>
#include <godwit/gateway/crashsuspects.h>
#include <godwit/gateway/demandtracker.h>
#include <godwit/gateway/gatewaymetrics.h>
#include <godwit/gateway/gatewayoptions.h>
#include <godwit/gateway/objectivetracker.h>
#include <godwit/gateway/routetable.h>
#include <godwit/gateway/shutdowntimes.h>
#include <godwit/gateway/windowedretrybudget.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/httpcall.h>
#include <godwit/ports/httpreply.h>
#include <godwit/ports/httpstreamhandlers.h>
#include <godwit/ports/scheduler.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace godwit {

class ForwardedRequest;

/// Forwards the requests of clients to backend servers: authentication, routing, admission by
/// predicted start, load balancing, retries, resumption of streams and error responses. Must be
/// used from one thread. Sockets and clock are injected.
class Gateway
{
public:
    using Send = std::function<std::shared_ptr<CallHandle>(HttpCall, HttpStreamHandlers)>;

    /// Dependencies; the references must outlive the gateway.
    struct Environment
    {
        Scheduler &scheduler;
        const CallerProtocol &protocol;
        GatewayMetrics &metrics;
        Send send; ///< HttpClient::stream(), or a fake in tests.
        /// A backend server crashed; the other entry processes should know. May be empty.
        std::function<void(const CrashReport &)> onCrash = {};
        /// Content that was suspended is harmless; the others should know. May be empty.
        std::function<void(const HarmlessContent &)> onHarmless = {};
    };

    Gateway(const GatewayOptions &options, Environment environment, Random random);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Applies a configuration unless it is older than the current one. Requests in progress keep
    /// the one with which they started.
    void setConfiguration(std::shared_ptr<const RouteTable> table);

    /// The current configuration includes everything that the store had accepted at \a requestedAt.
    void onConfigurationConfirmed(TimePoint requestedAt);

    /// Takes over the report of a crash that another entry process has seen, and cancels requests
    /// that must not run because of it. Returns suspects that are known here to be harmless.
    std::vector<HarmlessContent> mergeCrashReport(const CrashReport &report);
    /// Another entry process knows \a harmless.
    void recordHarmless(const HarmlessContent &harmless)
    {
        m_crashSuspects.recordHarmless(harmless);
    }

    /// From \a deadline on, engines that serve an older version of \a model get no new requests.
    /// Requests that have not started there shortly after it are cancelled, including those that
    /// are in progress now.
    void requireVersion(const ModelId &model, std::uint64_t version, TimePoint deadline);

    /// The operator evacuates \a zone or ends its evacuation. Requests in progress there go on.
    void setEvacuated(const ZoneId &zone, bool evacuated);

    void handle(HttpRequest request, std::shared_ptr<HttpReply> reply);

    /// The process shuts down: limits the deadlines of the requests in progress and of later ones,
    /// so that all are answered before it ends, and refuses late requests that may not be complete
    /// by then.
    void beginShutdown(const ShutdownTimes &times);

    /// Whether requests can be served: a configuration is known, recently enough for requests with
    /// keys, and for each of its models an eligible backend server. Remains true once reached: a
    /// lack of backend servers is no reason to send clients to another entry process.
    bool isReady();

    std::size_t inProgress() const { return m_requests.size(); }

    BackendPool &backends() { return m_backends; }
    WindowedRetryBudget &retryBudget() { return m_retryBudget; }

private:
    friend class ForwardedRequest;

    /// Time since the configuration was last confirmed to be the newest.
    Duration configurationAge() const;
    /// Whether the configuration shows that a key has not been revoked for too long.
    bool isRecentEnoughForKeys() const;
    /// Time from the arrival of \a request to its deadline.
    Duration timeout(const ClientRequest &request, const Route &route) const;
    /// Whether \a request arrives late in the shutdown and may not be complete before its end.
    bool isTooLate(const ClientRequest &request, const Route &route) const;
    /// Whether the key of \a request gives access to \a route. Sets \a customer to its owner if the
    /// route requires a key.
    std::optional<Error> checkAccess(const ClientRequest &request, const Route &route,
                                     const CustomerAccess *&customer) const;
    /// Sends an error response to a request for which no attempt was made.
    void refuse(HttpReply &reply, const RequestId &id, int status, const Error &error,
                Duration retryAfter);
    /// Logs and counts the backend servers that are held to fewer requests, and those that are not
    /// any more.
    void recordHoldChanges();
    Duration withJitter(Duration duration);
    /// Makes room for \a bytes more of the response body of \a request by ending the attempts with
    /// longer bodies, the longest first: a backend server that sends bytes without end must not end
    /// the requests of other clients. Returns false if the body would be the longest itself.
    bool reserveBuffer(const ForwardedRequest &request, std::size_t bytes);
    /// \a instance, with weights of \a weightsVersion, crashed while a request with \a content was
    /// in \a phase.
    void recordCrash(const BackendInstance &instance, const RequestContent &content,
                     CrashPhase phase, std::uint64_t weightsVersion);
    void logSuspensions();
    /// A backend server with weights of \a weightsVersion has begun to answer a request with
    /// \a content.
    void recordStart(const RequestContent &content, std::uint64_t weightsVersion);
    /// The same for one that has answered it from its beginning to its end.
    void recordCompletion(const RequestContent &content, std::uint64_t weightsVersion);
    /// Logs \a cleared and tells the other processes.
    void reportCleared(const std::vector<HarmlessContent> &cleared);
    /// Cancels the attempts that have not started and whose content is suspended.
    void cancelSuspended();
    /// Logs which backend servers have become cold or warm, and lets the time of their limits pass
    /// until none is cold.
    void followColdBackends();
    /// Sends the requests of which \a instance has not been sent a byte to other backend servers.
    void moveUnsent(const BackendInstance &instance);
    /// Estimates the time that a client spent on earlier attempts at the same request from how far
    /// \a clientTimeout has shrunk below the usual one. Less than the shortest Retry-After counts
    /// as zero, because clients differ by that much in how long they wait.
    Duration estimateEarlierWait(const std::string &route, const CustomerId &customer,
                                 Duration clientTimeout);
    /// A request for \a service with \a demand has arrived; returns how it is to be treated.
    DemandTreatment recordDemand(const std::string &service, const Demand &demand);
    /// The first attempt of that request got \a found.
    void recordAdmission(const std::string &service, const Demand &demand,
                         const DemandTreatment &treatment,
                         const std::variant<BackendChoice, NoBackend> &found,
                         RequestUrgency urgency);

    /// A request in time for \a service that found no free slot started after \a actual.
    void recordWait(const std::string &service, std::uint32_t priority, Duration predicted,
                    Duration actual);

    GatewayOptions m_options;
    Environment m_environment;
    Random m_random;
    BackendPool m_backends;
    WindowedRetryBudget m_retryBudget;
    CrashSuspects m_crashSuspects;
    /// Longest client timeout by route and customer, slowly decaying. Kept by customer because
    /// customers may use different timeouts.
    std::map<std::pair<std::string, CustomerId>, Duration> m_longestClientTimeouts;
    std::map<std::string, ObjectiveTracker> m_objectiveTrackers; ///< By service.
    std::map<std::string, DemandTracker> m_demandTrackers;       ///< By service.
    std::shared_ptr<const RouteTable> m_routeTable;
    std::optional<TimePoint> m_configurationConfirmedAt;
    std::optional<ShutdownTimes> m_shutdown; ///< Set once the process shuts down.
    std::size_t m_bufferedBytes = 0;         ///< Of response bodies that are not complete.
    bool m_wasReady = false;
    std::unique_ptr<Timer> m_warmupTimer; ///< Runs while backend servers are cold.
    std::set<std::shared_ptr<ForwardedRequest>> m_requests;
};

} // namespace godwit
