#include <godwit/gateway/gateway.h>

#include "decisionlog.h"
#include "forwardedrequest.h"
#include "refusal.h"

#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

namespace {

/// Retry-After while no configuration is known, or an old one does not suffice.
constexpr Duration UnconfiguredRetryAfter = std::chrono::milliseconds(500);
/// Requests after which the longest patience of a route is forgotten but for 37%. Clients whose
/// patience changes must not be taken for ones that return.
constexpr int PatienceMemory = 300;

} // namespace

Gateway::Gateway(const GatewayOptions &options, Environment environment, Random random)
    : m_options(options)
    , m_environment(std::move(environment))
    , m_random(random)
    , m_backends(options.zone, Random(random()))
    , m_retries(options.retries)
{}

Gateway::~Gateway() = default;

void Gateway::setConfiguration(std::shared_ptr<const RouteTable> table)
{
    if (m_table && table->version() <= m_table->version())
        return;
    logStateChange("configuration_in_force",
                   {{"version", table->version()},
                    {"previous", m_table ? m_table->version() : 0},
                    {"routes", table->configuration().routes.size()},
                    {"customers", table->configuration().customers.size()}});
    m_backends.setServices(table->configuration().services);
    m_table = std::move(table);
}

void Gateway::configurationConfirmed(TimePoint asked)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(asked), asked);
}

bool Gateway::isReady()
{
    if (!m_wasReady && m_table && m_confirmedAt)
        m_wasReady = m_backends.serveAllModels(m_environment.scheduler.now());
    return m_wasReady;
}

Duration Gateway::configurationAge() const
{
    return m_confirmedAt ? m_environment.scheduler.now() - *m_confirmedAt : Duration::max();
}

Duration Gateway::spread(Duration span)
{
    // Clients that were refused together must not return together.
    return std::chrono::duration_cast<Duration>(span * (1 + m_random.uniform()));
}

Duration Gateway::spentBefore(const std::string &route, const CustomerId &customer,
                              Duration patience)
{
    Duration &longest = m_longestPatience[{route, customer}];
    longest = std::max(patience, longest - longest / PatienceMemory);
    // A client that returns has most of its time left; another one is less patient by nature.
    const Duration spent = longest - patience;
    return spent <= longest / 2 ? spent : Duration::zero();
}

std::optional<Error> Gateway::refuseByAccess(const ForwardRequest &request, const Route &route,
                                             CustomerId &customer,
                                             std::optional<std::uint32_t> &priority) const
{
    if (route.anonymous || !m_table->needsKeys())
        return std::nullopt;
    const CustomerAccess *access = m_table->customerOf(request.key);
    if (!access)
        return Error{ResultCode::CustomerDenied, "the key is not known"};
    if (m_options.longestKeyAge > Duration::zero() && configurationAge() > m_options.longestKeyAge)
        return Error{ResultCode::ConfigurationStale, "the key may have been taken away"};
    customer = access->customer;
    if (access->priority)
        priority = access->priority;
    return std::nullopt;
}

void Gateway::handle(HttpRequest http, std::shared_ptr<HttpReply> reply)
{
    m_environment.metrics.requestArrived();
    auto read = capture([&] { return m_environment.protocol.readRequest(std::move(http)); });
    if (const auto *error = std::get_if<Error>(&read)) {
        refuse(*reply, {}, 400, *error, Duration::zero());
        return;
    }
    ForwardRequest request = std::move(std::get<0>(read));
    if (!m_table) {
        refuse(*reply, request.id, 503,
               {ResultCode::ConfigurationUnavailable, "no configuration is known yet"},
               spread(UnconfiguredRetryAfter));
        return;
    }
    const bool mayDeny = configurationAge() <= m_options.longestDenialAge;
    const Route *route = m_table->find(request.host, request.path());
    if (!route || route->targets.empty()) {
        refuse(*reply, request.id, mayDeny ? 404 : 503,
               {ResultCode::DeploymentUnknown, "no route for " + request.host + request.target},
               spread(UnconfiguredRetryAfter));
        return;
    }
    ForwardedRequest::Terms terms;
    terms.table = m_table;
    terms.route = route;
    terms.priority = route->priority;
    terms.service = route->targets[selectTarget(*route, m_random.uniform())].service;
    if (const auto error = refuseByAccess(request, *route, terms.customer, terms.priority)) {
        const bool denied = error->code == ResultCode::CustomerDenied && mayDeny;
        refuse(*reply, request.id, denied ? 401 : 503, *error, spread(UnconfiguredRetryAfter));
        return;
    }
    m_retries.request(terms.service, m_environment.scheduler.now());
    m_objectives[terms.service].requested(route->objective);
    const auto forwarded = std::make_shared<ForwardedRequest>(*this, std::move(terms),
                                                              std::move(request), std::move(reply));
    m_requests.insert(forwarded);
    forwarded->start();
}

void Gateway::refuse(HttpReply &reply, const RequestId &id, int status, const Error &error,
                     Duration retryAfter)
{
    reply.send(refusal(status, error, retryAfter));
    m_environment.metrics.refused(error.code);
    logRequest(RequestLog::Failure,
               {{"request", id.value()},
                {"configuration", m_table ? m_table->version() : 0},
                {"configuration_age_ms",
                 m_confirmedAt ? toMilliseconds(configurationAge()) : std::int64_t{-1}},
                {"status", status},
                {"code", static_cast<int>(error.code)},
                {"detail", error.detail},
                {"retry_after_ms", toMilliseconds(retryAfter)}},
               m_environment.scheduler.now());
}

} // namespace godwit
