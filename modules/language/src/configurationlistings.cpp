#include "listing.h"

#include <algorithm>
#include <set>

namespace godwit {

namespace {

/// Counts the hosts of \a order on which all engines serve the version assigned to the host.
std::size_t countReadyHosts(const FleetIndex &index, const LoadOrder &order)
{
    return static_cast<std::size_t>(std::ranges::count_if(order.hosts, [&](const HostId &host) {
        const auto version = wantedVersion(order, host);
        return version && index.isReady(host, order, *version);
    }));
}

template <typename Ids, typename Function>
std::vector<std::string> distinct(const Ids &ids, Function function)
{
    std::set<std::string> values;
    for (const auto &id : ids)
        values.insert(function(id).value());
    return {values.begin(), values.end()};
}

/// Counts the loads in state Serving that satisfy \a predicate.
template <typename Predicate>
std::size_t countServing(const FleetIndex &index, Predicate predicate)
{
    std::size_t count = 0;
    for (const BackendView &backend : index.view().backends) {
        for (const LoadView &load : backend.loads)
            count += load.state == LoadState::Serving && predicate(load) ? 1 : 0;
    }
    return count;
}

std::size_t countServingLoads(const FleetIndex &index, const DeploymentId &deployment)
{
    return countServing(
            index, [&](const LoadView &load) { return index.deploymentOf(load) == deployment; });
}

std::size_t countServingLoads(const FleetIndex &index, const LoadedModel &wanted)
{
    return countServing(index, [&](const LoadView &load) { return load.load == wanted; });
}

std::size_t countAdapters(const Configuration &configuration, const ModelId &model)
{
    return static_cast<std::size_t>(
            std::ranges::count_if(configuration.adapters,
                                  [&](const auto &entry) { return entry.second.model == model; }));
}

Cell accessCell(bool any, std::size_t listed)
{
    return any ? Cell("any") : numberCell(listed);
}

template <typename Map>
std::vector<std::string> keysOf(const Map &map)
{
    std::vector<std::string> keys;
    keys.reserve(map.size());
    for (const auto &[id, value] : map)
        keys.push_back(id.value());
    return keys;
}

std::vector<std::string> modelsOf(const Configuration &configuration, const DeploymentId &id)
{
    std::vector<std::string> models;
    for (const auto &[model, contents] : configuration.models) {
        if (contents.deployment == id)
            models.push_back(model.value());
    }
    return models;
}

void listVersionsOf(Listing &listing, const FleetIndex &index, const ModelId &model,
                    const AdapterId &adapter, const std::map<VersionId, ModelVersion> &versions)
{
    const auto owner = index.configuration().models.find(model);
    const DeploymentId deployment =
            owner == index.configuration().models.end() ? DeploymentId() : owner->second.deployment;
    for (const auto &[version, contents] : versions) {
        listing.rows.push_back(
                {{idCell(deployment), idCell(model), idCell(adapter), idCell(version),
                  numberCell(contents.bytes),
                  numberCell(countServingLoads(index, LoadedModel{model, adapter, version})),
                  contents.manifest.toHex()}});
    }
}

/// Filter values for the target of an operation log entry, such as "deployment/NAME".
std::map<QueryField, std::vector<std::string>> targetFields(const std::string &target)
{
    const auto slash = target.find('/');
    for (const auto &[field, name] : JsonNames<QueryField>::table) {
        if (slash != std::string::npos && target.substr(0, slash) == name)
            return {{field, {target.substr(slash + 1)}}};
    }
    return {};
}

} // namespace

Listing listOrders(const FleetIndex &index)
{
    Listing listing{{"order", "deployment", "model", "adapter", "version", "previous", "state",
                     "hosts", "ready", "stepped", "errors", "error_limit"},
                    {}};
    for (const auto &[id, order] : index.configuration().orders) {
        listing.rows.push_back(
                {{idCell(id), idCell(order.deployment), idCell(order.model), idCell(order.adapter),
                  idCell(order.version), idCell(order.previousVersion), nameOf(order.state),
                  numberCell(order.hosts.size()), numberCell(countReadyHosts(index, order)),
                  numberCell(order.steppedHosts), numberCell(order.errors),
                  numberCell(order.errorLimit)},
                 {{QueryField::Host, distinct(order.hosts, [](const HostId &h) { return h; })},
                  {QueryField::Zone,
                   distinct(order.hosts, [&](const HostId &h) { return index.zone(h); })},
                  {QueryField::Region,
                   distinct(order.hosts, [&](const HostId &h) { return index.region(h); })}}});
    }
    return listing;
}

Listing listDeployments(const FleetIndex &index)
{
    Listing listing{{"deployment", "kind", "idempotent", "checks_fencing", "outage_orders",
                     "policy", "priority", "hosts", "customers", "models", "serving"},
                    {}};
    for (const auto &[id, deployment] : index.configuration().deployments) {
        auto models = modelsOf(index.configuration(), id);
        const DeploymentOptions &options = deployment.options;
        listing.rows.push_back(
                {{idCell(id), nameOf(options.kind), options.idempotent, options.checksFencing,
                  nameOf(options.outageOrders), nameOf(options.weightsPolicy),
                  numberCell(options.priority),
                  accessCell(deployment.anyHost, deployment.allowedHosts.size()),
                  accessCell(deployment.anyCustomer, deployment.customers.size()),
                  numberCell(models.size()), numberCell(countServingLoads(index, id))},
                 {{QueryField::Model, std::move(models)},
                  {QueryField::Customer, keysOf(deployment.customers)},
                  {QueryField::Host,
                   distinct(deployment.allowedHosts, [](const HostId &h) { return h; })}}});
    }
    return listing;
}

Listing listModels(const FleetIndex &index)
{
    Listing listing{{"model", "deployment", "versions", "adapters"}, {}};
    for (const auto &[id, model] : index.configuration().models) {
        listing.rows.push_back(
                {{idCell(id), idCell(model.deployment), numberCell(model.versions.size()),
                  numberCell(countAdapters(index.configuration(), id))},
                 {{QueryField::Version, keysOf(model.versions)}}});
    }
    return listing;
}

Listing listVersions(const FleetIndex &index)
{
    Listing listing{{"deployment", "model", "adapter", "version", "bytes", "serving", "manifest"},
                    {}};
    for (const auto &[id, model] : index.configuration().models)
        listVersionsOf(listing, index, id, {}, model.versions);
    for (const auto &[id, adapter] : index.configuration().adapters)
        listVersionsOf(listing, index, adapter.model, id, adapter.versions);
    return listing;
}

Listing listAdapters(const FleetIndex &index)
{
    Listing listing{{"adapter", "model", "base_version", "deployment", "versions"}, {}};
    for (const auto &[id, adapter] : index.configuration().adapters) {
        const auto model = index.configuration().models.find(adapter.model);
        listing.rows.push_back(
                {{idCell(id), idCell(adapter.model), idCell(adapter.baseVersion),
                  model == index.configuration().models.end() ? Cell()
                                                              : idCell(model->second.deployment),
                  numberCell(adapter.versions.size())},
                 {{QueryField::Version, keysOf(adapter.versions)}}});
    }
    return listing;
}

Listing listCustomers(const FleetIndex &index)
{
    Listing listing{{"deployment", "customer", "weight", "class"}, {}};
    for (const auto &[id, deployment] : index.configuration().deployments) {
        for (const auto &[customer, share] : deployment.customers)
            listing.rows.push_back(
                    {{idCell(id), idCell(customer), share.weight, nameOf(share.priorityClass)}});
    }
    return listing;
}

Listing listOperations(const FleetIndex &index)
{
    std::vector<std::pair<OperationId, const OperationRecord *>> records;
    for (const auto &[id, record] : index.configuration().operations)
        records.emplace_back(id, &record);
    std::ranges::sort(records, std::ranges::greater(),
                      [](const auto &entry) { return entry.second->revision; });
    Listing listing{{"revision", "when", "who", "what", "target", "operation"}, {}};
    for (const auto &[id, record] : records) {
        listing.rows.push_back({{numberCell(record->revision.value), utcTime(record->when),
                                 record->who, record->what, record->target, idCell(id)},
                                targetFields(record->target)});
    }
    return listing;
}

} // namespace godwit
