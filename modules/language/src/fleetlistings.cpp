#include "listing.h"

#include <algorithm>
#include <limits>

namespace godwit {

namespace {

std::string roleOf(const FleetIndex &index, const BackendId &backend)
{
    const auto it = index.configuration().roles.find(backend);
    return nameOf(it == index.configuration().roles.end() ? BackendRole::Mixed : it->second);
}

bool isInProgress(const LoadView &load)
{
    return load.state == LoadState::Transferring || load.state == LoadState::Loading;
}

/// Filter values of `show backends` that come from the loads of \a backend.
std::map<QueryField, std::vector<std::string>> loadFields(const FleetIndex &index,
                                                          const BackendView &backend)
{
    std::map<QueryField, std::vector<std::string>> fields;
    auto &deployments = fields[QueryField::Deployment];
    auto &models = fields[QueryField::Model];
    auto &adapters = fields[QueryField::Adapter];
    auto &versions = fields[QueryField::Version];
    auto &orders = fields[QueryField::Order];
    deployments.push_back(backend.service.value());
    for (const LoadView &load : backend.loads) {
        deployments.push_back(index.deploymentOf(load).value());
        models.push_back(load.load.model.value());
        adapters.push_back(load.load.adapter.value());
        versions.push_back(load.load.version.value());
        orders.push_back(index.orderOf(backend.host, load).value());
    }
    for (auto *values : {&models, &adapters, &versions, &orders}) {
        if (values->empty())
            values->emplace_back(); // `model = ""` matches engines without a load
    }
    return fields;
}

} // namespace

Cell numberCell(std::uint64_t value)
{
    constexpr std::uint64_t highest = std::numeric_limits<std::int64_t>::max();
    return static_cast<std::int64_t>(std::min(value, highest));
}

Cell percentCell(const LoadView &load)
{
    if (load.bytesTotal == 0)
        return {};
    const double share =
            static_cast<double>(load.bytesReady) / static_cast<double>(load.bytesTotal);
    return static_cast<std::int64_t>(std::min(share, 1.0) * 100);
}

Cell errorCell(const ReportedError &error)
{
    return error.code == 0 ? Cell() : Cell(toString(error));
}

Listing listReplicas(const FleetIndex &index)
{
    Listing listing{{"backend", "host", "zone", "region", "deployment", "model", "adapter",
                     "version", "state", "percent", "order", "role", "running", "error"},
                    {}};
    for (const BackendView &backend : index.view().backends) {
        for (const LoadView &load : backend.loads)
            listing.rows.push_back(
                    {{idCell(backend.backend), idCell(backend.host),
                      idCell(index.zone(backend.host)), idCell(index.region(backend.host)),
                      idCell(index.deploymentOf(load)), idCell(load.load.model),
                      idCell(load.load.adapter), idCell(load.load.version), nameOf(load.state),
                      percentCell(load), idCell(index.orderOf(backend.host, load)),
                      roleOf(index, backend.backend), numberCell(backend.runningRequests),
                      errorCell(load.error)}});
    }
    return listing;
}

Listing listBackends(const FleetIndex &index)
{
    Listing listing{{"backend", "host", "zone", "region", "service", "state", "role", "loads",
                     "running", "waiting", "error"},
                    {}};
    for (const BackendView &backend : index.view().backends) {
        listing.rows.push_back(
                {{idCell(backend.backend), idCell(backend.host), idCell(index.zone(backend.host)),
                  idCell(index.region(backend.host)), idCell(backend.service),
                  nameOf(backend.state), roleOf(index, backend.backend),
                  numberCell(backend.loads.size()), numberCell(backend.runningRequests),
                  numberCell(backend.queuedRequests), errorCell(backend.lastError)},
                 loadFields(index, backend)});
    }
    return listing;
}

Listing listHosts(const FleetIndex &index)
{
    Listing listing{{"host", "zone", "region", "role", "state", "drained", "applied", "backends",
                     "loads", "running"},
                    {}};
    for (const MemberView &view : index.view().members) {
        const Member &member = view.member;
        const auto &backends = index.backends(member.host);
        std::uint64_t running = 0;
        std::uint64_t loads = 0;
        for (const BackendView *backend : backends) {
            running += backend->runningRequests;
            loads += backend->loads.size();
        }
        const bool drained = index.configuration().drained.contains(member.host);
        std::vector<std::string> states{nameOf(member.status)};
        if (drained)
            states.emplace_back("drained");
        listing.rows.push_back(
                {{idCell(member.host), idCell(member.zone), idCell(view.region),
                  nameOf(member.role), nameOf(member.status), drained,
                  view.applied ? numberCell(view.applied->value) : Cell(),
                  numberCell(backends.size()), numberCell(loads), numberCell(running)},
                 {{QueryField::State, std::move(states)}}});
    }
    return listing;
}

Listing listTransfers(const FleetIndex &index)
{
    Listing listing{{"backend", "host", "zone", "region", "order", "deployment", "model", "adapter",
                     "version", "state", "percent", "bytes_ready", "bytes_total"},
                    {}};
    for (const BackendView &backend : index.view().backends) {
        for (const LoadView &load : backend.loads) {
            if (isInProgress(load))
                listing.rows.push_back(
                        {{idCell(backend.backend), idCell(backend.host),
                          idCell(index.zone(backend.host)), idCell(index.region(backend.host)),
                          idCell(index.orderOf(backend.host, load)),
                          idCell(index.deploymentOf(load)), idCell(load.load.model),
                          idCell(load.load.adapter), idCell(load.load.version), nameOf(load.state),
                          percentCell(load), numberCell(load.bytesReady),
                          numberCell(load.bytesTotal)}});
        }
    }
    return listing;
}

Listing listRequests(const FleetIndex &index)
{
    Listing listing{{"request", "when", "customer", "deployment", "model", "entry", "code",
                     "reason", "run_state", "message"},
                    {}};
    for (const RefusedRequest &request : index.view().refusedRequests) {
        listing.rows.push_back(
                {{idCell(request.request), utcTime(request.when), idCell(request.customer),
                  idCell(request.deployment), idCell(request.model), idCell(request.entry),
                  std::int64_t{request.reason.code}, request.reason.name, request.runState,
                  request.reason.message},
                 {{QueryField::Host, {request.entry.value()}}}});
    }
    return listing;
}

} // namespace godwit
