#include "slotservice.h"

#include <chrono>

namespace godwit {

namespace {

Instant currentInstant()
{
    const auto wall = std::chrono::system_clock::now();
    return {MonotonicClock::now(), std::chrono::time_point_cast<Duration>(wall)};
}

bool hasBackend(const DaemonSettings &settings, const DeploymentId &deployment)
{
    return std::ranges::any_of(settings.backends, [&](const BackendSettings &backend) {
        return backend.kind == BackendKind::Plain && backend.deployment == deployment;
    });
}

std::vector<HostId> hostsOf(const Deployment &deployment, const HostId &self)
{
    std::vector<HostId> hosts(deployment.allowedHosts.begin(), deployment.allowedHosts.end());
    // Without a host list, this host knows only itself, and the first host that writes the document
    // owns all slots.
    if (hosts.empty())
        hosts.push_back(self);
    return hosts;
}

} // namespace

SlotService::SlotService(const DaemonSettings &settings, Incarnation incarnation,
                         AttemptTable &attempts, Environment environment)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_attempts(attempts)
    , m_environment(std::move(environment))
{}

void SlotService::setConfiguration(const Configuration &configuration)
{
    for (const auto &[id, deployment] : configuration.deployments) {
        if (deployment.options.idempotent || !hasBackend(m_settings, id))
            continue;
        // The host list is set by a separate command that follows.
        if (!deployment.anyHost && deployment.allowedHosts.empty())
            continue;
        const auto hosts = hostsOf(deployment, m_settings.host);
        const auto it = m_slotHosts.find(id);
        if (it != m_slotHosts.end()) {
            it->second->setHosts(hosts);
            continue;
        }
        SlotSettings slots;
        slots.commitInterval =
                commitInterval(hosts.size(), m_settings.requests.journalWritesPerSecond);
        m_slotHosts.emplace(id,
                            std::make_unique<SlotHost>(id, m_settings.host, m_incarnation, hosts,
                                                       slots, m_attempts, MonotonicClock::now()));
    }
}

void SlotService::run(const DeploymentId &deployment, const SlotRequest &request,
                      const AttemptTerms &terms)
{
    execute(deployment, m_slotHosts.at(deployment)->run(request, terms, currentInstant()));
}

void SlotService::finished(const DeploymentId &deployment, const IdempotencyKey &key,
                           RunState state, const std::string &response)
{
    execute(deployment,
            m_slotHosts.at(deployment)->handleCompletion(key, state, response, currentInstant()));
}

RunState SlotService::withdraw(const DeploymentId &deployment, const IdempotencyKey &key,
                               const AttemptKey &attempt, const AttemptTerms &terms)
{
    return m_slotHosts.at(deployment)->withdraw(key, attempt, terms, currentInstant());
}

PromiseReply SlotService::handlePromiseRequest(const DeploymentId &deployment,
                                               const PromiseRequest &request)
{
    const auto it = m_slotHosts.find(deployment);
    if (it == m_slotHosts.end())
        return {request.id, m_settings.host, false};
    return it->second->handlePromiseRequest(request, MonotonicClock::now());
}

void SlotService::tick()
{
    for (const auto &[id, host] : m_slotHosts)
        execute(id, host->tick(currentInstant()));
}

std::map<DeploymentId, SlotDocument> SlotService::documents() const
{
    std::map<DeploymentId, SlotDocument> documents;
    for (const auto &[id, host] : m_slotHosts) {
        if (host->document())
            documents.emplace(id, *host->document());
    }
    return documents;
}

void SlotService::execute(const DeploymentId &deployment, const SlotActions &actions)
{
    for (const auto &call : actions.storage) {
        m_environment.storage(call, [this, deployment](const SlotStorageReply &reply) {
            execute(deployment,
                    m_slotHosts.at(deployment)->handleStorageReply(reply, currentInstant()));
        });
    }
    for (const auto &call : actions.promiseRequests) {
        m_environment.ask(
                call.to, deployment, call.request, [this, deployment](const PromiseReply &reply) {
                    execute(deployment, m_slotHosts.at(deployment)
                                                ->handlePromiseReply(reply, currentInstant()));
                });
    }
    for (const auto &reply : actions.replies)
        m_environment.reply(reply);
    for (const auto &dispatch : actions.dispatches) {
        SlotActions more;
        if (m_slotHosts.at(deployment)->confirmDispatch(dispatch, currentInstant(), more))
            m_environment.dispatch(dispatch.attempt);
        execute(deployment, more);
    }
}

std::string encodeResponse(const HttpResponse &response)
{
    return std::to_string(response.status) + '\n'
           + std::string(response.headers.value("Content-Type")) + '\n' + response.body;
}

HttpResponse decodeResponse(const std::string &text)
{
    const auto first = text.find('\n');
    const auto second = text.find('\n', first + 1);
    HttpResponse response;
    response.status = std::atoi(text.c_str());
    const std::string contentType = text.substr(first + 1, second - first - 1);
    if (!contentType.empty())
        response.headers.add("Content-Type", contentType);
    response.body = text.substr(second + 1);
    return response;
}

} // namespace godwit
