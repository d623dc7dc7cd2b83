#include <godwit/base/digest.h>
#include <godwit/control/command.h>
#include <godwit/control/placement.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::size_t MaxListLength = 2000; // Above the target fleet size of 930 hosts.
constexpr double MaxCustomerWeight = 1000;
constexpr std::uint32_t MaxPriority = 1000;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
           || c == '_' || c == '.' || c == ':';
}

template <typename Id>
Result<void> checkName(const Id &id, std::string_view what)
{
    const std::string &name = id.value();
    if (name.empty() || name.size() > MaxNameLength || !std::ranges::all_of(name, isNameCharacter))
        return fail(ResultCode::NameInvalid,
                    std::string(what) + ": must be 1 to 128 letters, digits or characters of -_.:");
    return {};
}

template <typename Ids>
Result<void> checkNames(const Ids &ids, std::string_view what)
{
    if (ids.size() > MaxListLength)
        return fail(ResultCode::ValueOutOfRange, std::string(what) + ": more than 2000 names");
    for (const auto &id : ids)
        BOOST_LEAF_CHECK(checkName(id, what));
    return {};
}

Result<void> checkShares(const std::map<CustomerId, CustomerShare> &customers)
{
    if (customers.size() > MaxListLength)
        return fail(ResultCode::ValueOutOfRange, "customers: more than 2000 names");
    for (const auto &[id, share] : customers) {
        BOOST_LEAF_CHECK(checkName(id, "customer"));
        if (!(share.weight > 0 && share.weight <= MaxCustomerWeight))
            return fail(ResultCode::ValueOutOfRange,
                        "weight of customer " + id.value() + ": must be above 0 and at most 1000");
    }
    return {};
}

boost::leaf::error_id objectUnknown(std::string_view what, const std::string &name)
{
    return fail(ResultCode::ObjectUnknown, std::string(what) + ' ' + name + " does not exist");
}

boost::leaf::error_id objectExists(std::string_view what, const std::string &name)
{
    return fail(ResultCode::ObjectExists, std::string(what) + ' ' + name + " exists");
}

boost::leaf::error_id invalidOrderState(const OperationId &order, const std::string &detail)
{
    return fail(ResultCode::OrderStateInvalid, "order " + order.value() + ": " + detail);
}

template <typename Map>
Result<typename Map::mapped_type *> find(Map &map, const typename Map::key_type &id,
                                         std::string_view what)
{
    const auto it = map.find(id);
    if (it == map.end())
        return objectUnknown(what, id.value().substr(0, MaxNameLength));
    return &it->second;
}

/// Applies a command to the document `next`, which already has the next revision.
struct CommandApplier
{
    Configuration &next;
    const CommandContext &context;

    Result<void> operator()(const CreateDeployment &c) const
    {
        BOOST_LEAF_CHECK(checkName(c.deployment, "deployment"));
        const Deployment &d = c.contents;
        if (d.options.priority == 0 || d.options.priority > MaxPriority)
            return fail(ResultCode::ValueOutOfRange, "priority: must be 1 to 1000");
        BOOST_LEAF_CHECK(checkNames(d.allowedHosts, "host"));
        BOOST_LEAF_CHECK(checkNames(d.deniedHosts, "host"));
        BOOST_LEAF_CHECK(checkNames(d.allowedBackends, "backend server"));
        BOOST_LEAF_CHECK(checkNames(d.deniedBackends, "backend server"));
        BOOST_LEAF_CHECK(checkShares(d.customers));
        if (!next.deployments.emplace(c.deployment, d).second)
            return objectExists("deployment", c.deployment.value());
        return {};
    }

    Result<void> operator()(const CreateModel &c) const
    {
        BOOST_LEAF_CHECK(checkName(c.model, "model"));
        BOOST_LEAF_AUTO(deployment, find(next.deployments, c.deployment, "deployment"));
        if (deployment->options.kind != DeploymentKind::Model)
            return fail(ResultCode::ValueOutOfRange, "a plain service cannot have models");
        if (!next.models.emplace(c.model, Model{c.deployment, {}}).second)
            return objectExists("model", c.model.value());
        return {};
    }

    Result<void> operator()(const CreateVersion &c) const
    {
        BOOST_LEAF_CHECK(checkName(c.version, "version"));
        if (c.contents.manifest == Digest() || c.contents.bytes == 0)
            return fail(ResultCode::ValueOutOfRange, "a version needs a manifest and a size");
        BOOST_LEAF_AUTO(versions, versionsOf(c.model, c.adapter));
        if (!versions->emplace(c.version, c.contents).second)
            return objectExists("version", c.version.value());
        return {};
    }

    Result<void> operator()(const CreateAdapter &c) const
    {
        BOOST_LEAF_CHECK(checkName(c.adapter, "adapter"));
        BOOST_LEAF_AUTO(model, find(next.models, c.model, "model"));
        if (!model->versions.contains(c.baseVersion))
            return objectUnknown("version", c.baseVersion.value().substr(0, MaxNameLength));
        if (!next.adapters.emplace(c.adapter, Adapter{c.model, c.baseVersion, {}}).second)
            return objectExists("adapter", c.adapter.value());
        return {};
    }

    Result<void> operator()(const Allow &c) const
    {
        BOOST_LEAF_AUTO(d, find(next.deployments, c.deployment, "deployment"));
        BOOST_LEAF_CHECK(checkNames(c.hosts, "host"));
        BOOST_LEAF_CHECK(checkNames(c.backends, "backend server"));
        BOOST_LEAF_CHECK(checkShares(c.customers));
        moveNames(c.hosts, d->deniedHosts, d->allowedHosts);
        moveNames(c.backends, d->deniedBackends, d->allowedBackends);
        for (const auto &[id, share] : c.customers)
            d->customers[id] = share;
        return {};
    }

    Result<void> operator()(const Deny &c) const
    {
        BOOST_LEAF_AUTO(d, find(next.deployments, c.deployment, "deployment"));
        BOOST_LEAF_CHECK(checkNames(c.hosts, "host"));
        BOOST_LEAF_CHECK(checkNames(c.backends, "backend server"));
        BOOST_LEAF_CHECK(checkNames(c.customers, "customer"));
        moveNames(c.hosts, d->allowedHosts, d->deniedHosts);
        moveNames(c.backends, d->allowedBackends, d->deniedBackends);
        for (const CustomerId &id : c.customers)
            d->customers.erase(id);
        return {};
    }

    Result<void> operator()(const LoadModel &c) const
    {
        BOOST_LEAF_CHECK(checkName(context.operation, "operation"));
        BOOST_LEAF_AUTO(deployment, find(next.deployments, c.deployment, "deployment"));
        BOOST_LEAF_AUTO(model, find(next.models, c.model, "model"));
        if (model->deployment != c.deployment)
            return objectUnknown("model of the deployment", c.model.value());
        BOOST_LEAF_AUTO(versions, versionsOf(c.model, c.adapter));
        if (!versions->contains(c.version))
            return objectUnknown("version", c.version.value().substr(0, MaxNameLength));
        if (c.priority && (*c.priority == 0 || *c.priority > MaxPriority))
            return fail(ResultCode::ValueOutOfRange, "priority: must be 1 to 1000");
        LoadOrder order;
        order.weightsPolicy = c.weightsPolicy;
        order.priority = c.priority;
        order.deployment = c.deployment;
        order.model = c.model;
        order.adapter = c.adapter;
        order.version = c.version;
        BOOST_LEAF_AUTO(hosts, placement(c, *deployment));
        order.hosts = std::move(hosts);
        order.replicas = static_cast<std::uint32_t>(order.hosts.size());
        if (!next.orders.emplace(context.operation, std::move(order)).second)
            return objectExists("order", context.operation.value());
        return {};
    }

    Result<void> operator()(const ChangeVersion &c) const
    {
        BOOST_LEAF_AUTO(order, find(next.orders, c.order, "order"));
        if (c.rollingStep == 0 || c.rollingStep > MaxListLength)
            return fail(ResultCode::ValueOutOfRange, "rolling step: must be 1 to 2000");
        if (order->state == OrderState::Cancelled)
            return invalidOrderState(c.order, "is cancelled");
        BOOST_LEAF_AUTO(versions, versionsOf(order->model, order->adapter));
        if (!versions->contains(c.version))
            return objectUnknown("version", c.version.value().substr(0, MaxNameLength));
        if (c.version == order->version)
            return invalidOrderState(c.order, "already has this version");
        if (order->state == OrderState::Active)
            order->steppedHosts = 0;
        else if (c.version == order->previousVersion)
            reverseChange(*order);
        else
            return invalidOrderState(c.order,
                                     "is between two versions; change back to one of them first");
        const VersionId from = order->version;
        order->version = c.version;
        order->previousVersion = from;
        order->rollingStep = c.rollingStep;
        order->errorLimit = c.errorLimit;
        order->errors = 0;
        order->state = OrderState::Rolling;
        advanceStep(*order);
        return {};
    }

    Result<void> operator()(const SwitchRole &c) const
    {
        BOOST_LEAF_CHECK(checkName(c.backend, "backend server"));
        if (c.role == BackendRole::Mixed)
            next.roles.erase(c.backend);
        else
            next.roles[c.backend] = c.role;
        return {};
    }

    Result<void> operator()(const DrainHost &c) const
    {
        BOOST_LEAF_CHECK(checkName(c.host, "host"));
        next.drained.insert(c.host);
        return {};
    }

    Result<void> operator()(const ReturnHost &c) const
    {
        if (next.drained.erase(c.host) == 0)
            return objectUnknown("drained host", c.host.value().substr(0, MaxNameLength));
        return {};
    }

    Result<void> operator()(const CancelOrder &c) const
    {
        BOOST_LEAF_AUTO(order, find(next.orders, c.order, "order"));
        if (order->state == OrderState::Cancelled)
            return invalidOrderState(c.order, "is cancelled");
        order->state = OrderState::Cancelled;
        order->finishedAt = next.revision;
        return {};
    }

    Result<void> operator()(const StepOrder &c) const
    {
        BOOST_LEAF_AUTO(order, find(next.orders, c.order, "order"));
        if (order->state != OrderState::Rolling || order->steppedHosts != c.steppedHosts)
            return invalidOrderState(c.order, "is not at step " + std::to_string(c.steppedHosts));
        order->errors += std::min<std::uint32_t>(c.errors, MaxListLength);
        if (order->errors > order->errorLimit) {
            order->state = OrderState::Stopped;
        } else if (order->steppedHosts == order->hosts.size()) {
            order->state = OrderState::Active;
            order->previousVersion = VersionId();
            order->steppedHosts = 0;
        } else {
            advanceStep(*order);
        }
        return {};
    }

    Result<void> operator()(const RepairPlacement &c) const
    {
        BOOST_LEAF_AUTO(order, find(next.orders, c.order, "order"));
        const auto position = std::ranges::find(order->hosts, c.lost);
        if (order->state == OrderState::Cancelled || position == order->hosts.end())
            return invalidOrderState(c.order, "host " + c.lost.value().substr(0, MaxNameLength)
                                                      + " is not one of its hosts");
        BOOST_LEAF_AUTO(deployment, find(next.deployments, order->deployment, "deployment"));
        const auto eligible = eligibleHosts(next, *deployment, context.hosts);
        if (std::ranges::find(eligible, c.lost, &HostLocation::host) != eligible.end())
            return invalidOrderState(c.order,
                                     "host " + c.lost.value()
                                             + " is live and eligible, so it is not replaced");
        const std::set<HostId> present(order->hosts.begin(), order->hosts.end());
        const auto chosen = choosePlacement(c.order.value(), eligible, present, 1);
        if (chosen.empty())
            return fail(ResultCode::PlacementImpossible, "no replacement host is eligible");
        *position = chosen.front();
        return {};
    }

private:
    static void advanceStep(LoadOrder &order)
    {
        const std::size_t step = std::size_t{order.steppedHosts} + order.rollingStep;
        order.steppedHosts = static_cast<std::uint32_t>(std::min(step, order.hosts.size()));
    }

    /// Hosts that still have the previous version count as done when a change is reversed.
    static void reverseChange(LoadOrder &order)
    {
        std::rotate(order.hosts.begin(), order.hosts.begin() + order.steppedHosts,
                    order.hosts.end());
        order.steppedHosts = static_cast<std::uint32_t>(order.hosts.size()) - order.steppedHosts;
    }

    template <typename Ids>
    static void moveNames(const Ids &ids, Ids &from, Ids &to)
    {
        for (const auto &id : ids) {
            from.erase(id);
            to.insert(id);
        }
    }

    Result<std::map<VersionId, ModelVersion> *> versionsOf(const ModelId &modelId,
                                                           const AdapterId &adapterId) const
    {
        BOOST_LEAF_AUTO(model, find(next.models, modelId, "model"));
        if (adapterId.empty())
            return &model->versions;
        BOOST_LEAF_AUTO(adapter, find(next.adapters, adapterId, "adapter"));
        if (adapter->model != modelId)
            return objectUnknown("adapter of the model", adapterId.value());
        return &adapter->versions;
    }

    Result<std::vector<HostId>> placement(const LoadModel &c, const Deployment &deployment) const
    {
        const auto eligible = eligibleHosts(next, deployment, context.hosts);
        if (c.hosts.empty() && (c.replicas == 0 || c.replicas > MaxListLength))
            return fail(ResultCode::ValueOutOfRange, "replicas: must be 1 to 2000");
        if (c.hosts.empty()) {
            auto hosts = choosePlacement(context.operation.value(), eligible, {}, c.replicas);
            if (hosts.size() < c.replicas)
                return fail(ResultCode::PlacementImpossible,
                            std::to_string(hosts.size())
                                    + " hosts are eligible, fewer than the requested replicas");
            return hosts;
        }
        BOOST_LEAF_CHECK(checkNames(c.hosts, "host"));
        if (std::set<HostId>(c.hosts.begin(), c.hosts.end()).size() != c.hosts.size())
            return fail(ResultCode::ValueOutOfRange, "hosts: a host is listed twice");
        for (const HostId &host : c.hosts) {
            if (std::ranges::find(eligible, host, &HostLocation::host) == eligible.end())
                return fail(ResultCode::PlacementImpossible,
                            "host " + host.value() + " is not eligible");
        }
        return c.hosts;
    }
};

/// Describes the current state of the target of \a command for the message of a conflict.
std::string describeTarget(const Configuration &c, const Command &command)
{
    const std::string target = commandTarget(command, {});
    const auto slash = target.find('/');
    const std::string kind = target.substr(0, slash);
    const std::string name = target.substr(slash + 1);
    const auto text = [](const auto &map, const auto &id) {
        const auto it = map.find(id);
        return it == map.end() ? std::string("none") : toJsonText(it->second);
    };
    if (kind == "deployment")
        return text(c.deployments, DeploymentId(name));
    if (kind == "model")
        return text(c.models, ModelId(name));
    if (kind == "adapter")
        return text(c.adapters, AdapterId(name));
    if (kind == "order")
        return text(c.orders, OperationId(name));
    if (kind == "backend")
        return text(c.roles, BackendId(name));
    return c.drained.contains(HostId(name)) ? "drained" : "in service";
}

Result<void> checkConflict(const Configuration &configuration, const Command &command,
                           const CommandContext &context)
{
    if (!context.decidedOn)
        return {};
    const Revision seen = *context.decidedOn;
    if (seen > configuration.revision)
        return fail(ResultCode::ValueOutOfRange,
                    "the command is based on revision " + std::to_string(seen.value)
                            + ", but the newest revision is "
                            + std::to_string(configuration.revision.value));
    if (seen < configuration.logFrom)
        return fail(ResultCode::ConfigurationConflict,
                    "the operation log starts after revision "
                            + std::to_string(configuration.logFrom.value)
                            + "; current state: " + describeTarget(configuration, command));
    const std::string target = commandTarget(command, context.operation);
    for (const auto &[id, record] : configuration.operations) {
        if (record.target == target && record.revision > seen)
            return fail(ResultCode::ConfigurationConflict,
                        target + " was changed by " + record.what + ' ' + id.value() + " of "
                                + record.who + " at revision "
                                + std::to_string(record.revision.value)
                                + "; current state: " + describeTarget(configuration, command));
    }
    return {};
}

/// Drops the oldest operations and cancelled orders beyond their limits.
void compact(Configuration &configuration)
{
    while (configuration.operations.size() > Configuration::MaxOperations) {
        const auto oldest = std::ranges::min_element(
                configuration.operations, {}, [](const auto &e) { return e.second.revision; });
        configuration.logFrom = std::max(configuration.logFrom, oldest->second.revision);
        configuration.logHorizon = std::max(configuration.logHorizon, oldest->second.when);
        configuration.operations.erase(oldest);
    }
    std::vector<std::pair<Revision, OperationId>> finished;
    for (const auto &[id, order] : configuration.orders) {
        if (order.state == OrderState::Cancelled)
            finished.emplace_back(order.finishedAt, id);
    }
    std::ranges::sort(finished);
    for (std::size_t i = 0; i + Configuration::MaxFinishedOrders < finished.size(); ++i)
        configuration.orders.erase(finished[i].second);
}

} // namespace

const OperationRecord *findOperation(const Configuration &configuration,
                                     const OperationId &operation)
{
    const auto it = configuration.operations.find(operation);
    return it == configuration.operations.end() ? nullptr : &it->second;
}

Result<Configuration> applyCommand(const Configuration &configuration, const Command &command,
                                   const CommandContext &context)
{
    BOOST_LEAF_CHECK(checkName(context.operation, "operation"));
    if (context.who.empty() || context.who.size() > MaxNameLength)
        return fail(ResultCode::NameInvalid, "operator: must have 1 to 128 characters");
    const std::string digest =
            Digest::of(boost::json::serialize(commandToJson(command))).toHex().substr(0, 16);
    if (const auto *record = findOperation(configuration, context.operation)) {
        if (record->command != digest)
            return fail(ResultCode::OperationIdReused,
                        "operation " + context.operation.value() + " is " + record->what
                                + " at revision " + std::to_string(record->revision.value));
        return configuration;
    }
    if (context.when <= configuration.logHorizon && configuration.logFrom > Revision{})
        return fail(
                ResultCode::OperationTooOld,
                "the operation is older than the operation log; resend it with a new id and time");
    BOOST_LEAF_CHECK(checkConflict(configuration, command, context));
    Configuration next = configuration;
    ++next.revision.value;
    BOOST_LEAF_CHECK(std::visit(CommandApplier{next, context}, command));
    next.operations[context.operation] = {context.who,
                                          context.when,
                                          std::string(commandName(command)),
                                          commandTarget(command, context.operation),
                                          digest,
                                          next.revision};
    compact(next);
    if (const std::size_t bytes = toJsonText(next).size(); bytes > Configuration::MaxBytes)
        return fail(ResultCode::ConfigurationTooLarge, std::to_string(bytes) + " bytes");
    return next;
}

} // namespace godwit
