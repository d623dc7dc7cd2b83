#pragma once

#include <godwit/base/random.h>
#include <godwit/gateway/backendpool.h>
#include <godwit/gateway/callerprotocol.h>
#include <godwit/gateway/gatewaymetrics.h>
#include <godwit/gateway/gatewayoptions.h>
#include <godwit/gateway/objectivetracker.h>
#include <godwit/gateway/routetable.h>
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

/// Forwards the requests of clients to backend servers: admission by key, route and predicted
/// start, choice of the backend server, attempts, resumption of streams and refusals. Used by one
/// thread. Sockets and time come from outside.
class Gateway
{
public:
    using Send = std::function<std::shared_ptr<CallHandle>(HttpCall, HttpStreamHandlers)>;

    /// What the gateway uses; the references outlive it.
    struct Environment
    {
        Scheduler &scheduler;
        const CallerProtocol &protocol;
        GatewayMetrics &metrics;
        Send send; ///< HttpClient::stream() or a stand-in.
    };

    Gateway(const GatewayOptions &options, Environment environment, Random random);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Puts a configuration in force unless it is older than the present one. Requests in progress
    /// go on with theirs.
    void setConfiguration(std::shared_ptr<const RouteTable> table);

    /// Everything that the store had accepted at \a asked is known here.
    void onConfigurationConfirmed(TimePoint requestedAt);

    void handle(HttpRequest request, std::shared_ptr<HttpReply> reply);

    /// Whether requests can be served: a configuration is known, and backend servers for each model
    /// of it. Once that was so, a lack of backend servers is no reason to send clients elsewhere.
    bool isReady();

    std::size_t inProgress() const { return m_requests.size(); }

    BackendPool &backends() { return m_backends; }
    WindowedRetryBudget &retryBudget() { return m_retryBudget; }

private:
    friend class ForwardedRequest;

    /// How long ago the configuration was known to be the newest.
    Duration configurationAge() const;
    std::optional<Error> checkAccess(const ClientRequest &request, const Route &route,
                                     CustomerId &customer,
                                     std::optional<std::uint32_t> &priority) const;
    /// Refuses a request before any attempt.
    void refuse(HttpReply &reply, const RequestId &id, int status, const Error &error,
                Duration retryAfter);
    Duration withJitter(Duration duration);
    /// What the client of a request with \a patience has probably spent on earlier attempts.
    Duration estimateEarlierWait(const std::string &route, const CustomerId &customer,
                                 Duration clientTimeout);

    GatewayOptions m_options;
    Environment m_environment;
    Random m_random;
    BackendPool m_backends;
    WindowedRetryBudget m_retryBudget;
    /// Of the clients of a customer on a route, slowly forgotten. Customers may differ.
    std::map<std::pair<std::string, CustomerId>, Duration> m_longestClientTimeouts;
    std::map<std::string, ObjectiveTracker> m_objectives; ///< By service.
    std::shared_ptr<const RouteTable> m_table;
    std::optional<TimePoint> m_confirmedAt;
    bool m_wasReady = false;
    std::set<std::shared_ptr<ForwardedRequest>> m_requests;
};

} // namespace godwit
