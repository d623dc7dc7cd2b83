#include "explain.h"

#include "listing.h"

#include <algorithm>

namespace godwit {

namespace {

/// Collects reasons in the order in which they have to be resolved.
class Reasons
{
public:
    void add(const std::string &object, std::string reason, std::string detail)
    {
        m_table.rows.push_back({object, std::move(reason), std::move(detail)});
    }
    bool empty() const { return m_table.rows.empty(); }

    ReplyTable table() && { return std::move(m_table); }

private:
    ReplyTable m_table{{"object", "reason", "detail"}, {}};
};

bool isReferenced(const Configuration &configuration, const HostId &host)
{
    if (configuration.drained.contains(host))
        return true;
    for (const auto &[id, order] : configuration.orders) {
        if (wantedVersion(order, host))
            return true;
    }
    return std::ranges::any_of(configuration.deployments, [&](const auto &entry) {
        return entry.second.allowedHosts.contains(host) || entry.second.deniedHosts.contains(host);
    });
}

void addMemberReasons(Reasons &reasons, const FleetIndex &index, const HostId &host)
{
    const std::string object = "host " + host.value();
    const MemberView *view = index.member(host);
    if (!view) {
        reasons.add(object, "not_member", "no process on this host is in the membership view");
        return;
    }
    if (view->member.role == ProcessRole::Entry)
        reasons.add(object, "entry_role", "runs an entry process, which serves no models");
    if (view->member.status == MemberStatus::Dead)
        reasons.add(object, "dead", "its process does not answer probes");
    if (view->member.status == MemberStatus::Suspect)
        reasons.add(object, "suspect", "its process has missed probes");
    if (view->member.status == MemberStatus::Leaving)
        reasons.add(object, "leaving", "its process is shutting down");
    if (view->applied && *view->applied < index.configuration().revision)
        reasons.add(object, "old_configuration",
                    "uses configuration revision " + std::to_string(view->applied->value)
                            + ", newest is "
                            + std::to_string(index.configuration().revision.value));
}

void addDrainReason(Reasons &reasons, const FleetIndex &index, const HostId &host)
{
    if (index.configuration().drained.contains(host))
        reasons.add("host " + host.value(), "drained", "an operator has drained it");
}

/// Adds the reason that \a deployment may not use \a object, "host NAME" or "backend NAME".
void addDenial(Reasons &reasons, const DeploymentId &deployment, bool denied,
               const std::string &object)
{
    reasons.add("deployment " + deployment.value(), denied ? "denied" : "not_allowed",
                denied ? "denies " + object : "allows listed hosts only, not " + object);
}

void addHostDenials(Reasons &reasons, const FleetIndex &index, const HostId &host)
{
    for (const auto &[id, deployment] : index.configuration().deployments) {
        if (deployment.options.kind == DeploymentKind::Model && !isAllowed(deployment, host))
            addDenial(reasons, id, deployment.deniedHosts.contains(host), "host " + host.value());
    }
}

/// Returns whether deployment \a id may use \a backend; if not, adds the reason.
bool checkAllowed(Reasons &reasons, const FleetIndex &index, const DeploymentId &id,
                  const BackendView &backend)
{
    const auto it = index.configuration().deployments.find(id);
    if (it == index.configuration().deployments.end()
        || isAllowed(it->second, backend.host, backend.backend))
        return true;
    const bool hostDenied = it->second.deniedHosts.contains(backend.host);
    addDenial(reasons, id, hostDenied || it->second.deniedBackends.contains(backend.backend),
              hostDenied ? "host " + backend.host.value() : "backend " + backend.backend.value());
    return false;
}

std::string loadText(const LoadedModel &load)
{
    std::string text = load.model.value() + " version " + load.version.value();
    if (!load.adapter.empty())
        text += " adapter " + load.adapter.value();
    return text;
}

std::string progressText(const LoadView &load)
{
    const Cell percent = percentCell(load);
    const auto *value = std::get_if<std::int64_t>(&percent);
    const std::string text = "transfer of " + loadText(load.load);
    return value ? text + " at " + std::to_string(*value) + " %" : text + " has started";
}

void addLoadReason(Reasons &reasons, const std::string &object, const LoadView &load)
{
    if (load.error.code != 0 && load.state != LoadState::Serving)
        reasons.add(object, "order_refused", toString(load.error));
    switch (load.state) {
    case LoadState::Transferring:
        reasons.add(object, "transferring", progressText(load));
        break;
    case LoadState::Loading:
        reasons.add(object, "loading", "the engine loads " + loadText(load.load));
        break;
    case LoadState::Unloading:
        reasons.add(object, "unloading", "the engine unloads " + loadText(load.load));
        break;
    case LoadState::Failed:
        reasons.add(object, "failed",
                    "the load of " + loadText(load.load) + " failed and will be retried");
        break;
    case LoadState::Serving:
        break;
    }
}

void addOrderStateReason(Reasons &reasons, const OperationId &id, const LoadOrder &order)
{
    if (order.state == OrderState::Stopped)
        reasons.add("order " + id.value(), "stopped",
                    "stopped after " + std::to_string(order.errors) + " failed loads; the limit is "
                            + std::to_string(order.errorLimit));
}

/// Explains an engine that neither has nor is loading \a version for \a order.
void addMissingLoad(Reasons &reasons, const BackendView &engine, const OperationId &id,
                    const LoadOrder &order, const VersionId &version)
{
    const std::string object = "backend " + engine.backend.value();
    const std::string wanted =
            "order " + id.value() + " wants " + loadText({order.model, order.adapter, version});
    if (engine.lastError.code != 0)
        reasons.add(object, "order_refused", toString(engine.lastError));
    for (const LoadView &load : engine.loads) {
        if (load.load.model == order.model && load.load.adapter == order.adapter) {
            reasons.add(object, "wrong_version", "has " + loadText(load.load) + "; " + wanted);
            return;
        }
    }
    reasons.add(object, "not_loaded", wanted);
}

/// Adds the reasons why \a engine does not serve \a version for \a order.
void addEngineReasons(Reasons &reasons, const BackendView &engine, const OperationId &id,
                      const LoadOrder &order, const VersionId &version)
{
    const std::string object = "backend " + engine.backend.value();
    if (engine.state == BackendState::Down)
        reasons.add(object, "down", "the backend server does not answer its host process");
    else if (const LoadView *load = findLoad(engine, order, version))
        addLoadReason(reasons, object, *load);
    else
        addMissingLoad(reasons, engine, id, order, version);
}

/// Adds the reasons why \a host does not serve \a version for \a order.
void addOrderReasons(Reasons &reasons, const FleetIndex &index, const HostId &host,
                     const OperationId &id, const LoadOrder &order, const VersionId &version)
{
    addOrderStateReason(reasons, id, order);
    bool hasEngine = false;
    for (const BackendView *backend : index.backends(host)) {
        if (!backend->service.empty())
            continue;
        hasEngine = true;
        if (checkAllowed(reasons, index, order.deployment, *backend))
            addEngineReasons(reasons, *backend, id, order, version);
    }
    if (!hasEngine)
        reasons.add("host " + host.value(), "no_backend",
                    "no engine of this host has been reported; order " + id.value() + " wants "
                            + loadText({order.model, order.adapter, version}));
}

bool runsService(const FleetIndex &index, const HostId &host)
{
    return std::ranges::any_of(index.backends(host), [](const BackendView *backend) {
        return !backend->service.empty() && backend->state == BackendState::Up;
    });
}

/// Explains a host that no load order includes.
void addPlacementReasons(Reasons &reasons, const FleetIndex &index, const HostId &host)
{
    if (runsService(index, host))
        return;
    reasons.add("host " + host.value(), "not_chosen", "no load order includes this host");
    addHostDenials(reasons, index, host);
}

void addServingIfEmpty(Reasons &reasons, const std::string &object, const std::string &detail)
{
    if (reasons.empty())
        reasons.add(object, "serving", detail);
}

std::string explanationOf(int code)
{
    for (const ResultCodeInfo &info : resultCodes()) {
        if (static_cast<int>(info.code) == code)
            return std::string(info.explanation);
    }
    return "This version does not recognise the code.";
}

} // namespace

Result<ReplyTable> explain(const ExplainHost &query, const FleetIndex &index)
{
    const HostId &host = query.host;
    if (!index.member(host) && index.backends(host).empty()
        && !isReferenced(index.configuration(), host))
        return fail(ResultCode::QueryObjectUnknown, "host " + host.value());
    Reasons reasons;
    addMemberReasons(reasons, index, host);
    addDrainReason(reasons, index, host);
    bool chosen = false;
    for (const auto &[id, order] : index.configuration().orders) {
        if (const auto version = wantedVersion(order, host)) {
            chosen = true;
            addOrderReasons(reasons, index, host, id, order, *version);
        }
    }
    if (!chosen)
        addPlacementReasons(reasons, index, host);
    addServingIfEmpty(reasons, "host " + host.value(),
                      "serves everything that load orders assign to it");
    return std::move(reasons).table();
}

Result<ReplyTable> explain(const ExplainReplica &query, const FleetIndex &index)
{
    const BackendView *backend = index.backend(query.backend);
    if (!backend)
        return fail(ResultCode::QueryObjectUnknown, "backend server " + query.backend.value());
    const std::string object = "backend " + backend->backend.value();
    Reasons reasons;
    addMemberReasons(reasons, index, backend->host);
    addDrainReason(reasons, index, backend->host);
    bool chosen = false;
    for (const auto &[id, order] : index.configuration().orders) {
        const auto version = wantedVersion(order, backend->host);
        if (!version || !backend->service.empty())
            continue;
        chosen = true;
        addOrderStateReason(reasons, id, order);
        if (checkAllowed(reasons, index, order.deployment, *backend))
            addEngineReasons(reasons, *backend, id, order, *version);
    }
    if (!chosen && backend->state == BackendState::Down)
        reasons.add(object, "down", "the backend server does not answer its host process");
    if (!chosen && backend->service.empty())
        reasons.add(object, "no_order", "no load order includes host " + backend->host.value());
    addServingIfEmpty(reasons, object,
                      backend->service.empty() ? "serves everything that load orders assign to it"
                                               : "serves deployment " + backend->service.value());
    return std::move(reasons).table();
}

Result<ReplyTable> explain(const ExplainRequest &query, const FleetIndex &index)
{
    const auto &records = index.view().refusedRequests;
    const auto it = std::ranges::find(records, query.request, &RefusedRequest::request);
    if (it == records.end())
        return fail(ResultCode::RefusalNotOnRecord,
                    "request " + query.request.value()
                            + "; send the query to the entry process that refused it, which keeps "
                              "only its most recent refusals");
    const std::string object = "request " + it->request.value();
    Reasons reasons;
    reasons.add(object, it->reason.name,
                std::to_string(it->reason.code) + ": " + it->reason.message);
    reasons.add("code " + std::to_string(it->reason.code), "meaning",
                explanationOf(it->reason.code));
    reasons.add(object, "run_state", it->runState);
    reasons.add(object, "context",
                "customer " + it->customer.value() + ", deployment " + it->deployment.value()
                        + ", model " + it->model.value() + ", entry " + it->entry.value() + ", at "
                        + utcTime(it->when));
    return std::move(reasons).table();
}

} // namespace godwit
