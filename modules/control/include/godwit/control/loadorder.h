#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/time.h>
#include <godwit/control/deploymentoptions.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace godwit {

/// State of a load order. Active: its hosts serve one version. Rolling: a version change is in
/// progress. Stopped: a version change exceeded its error limit and waits for an operator.
/// Cancelled: nothing is loaded for the order.
enum class OrderState { Active, Rolling, Stopped, Cancelled };

/// Order to serve one version of a model or adapter on a set of hosts. Its id is the operation id
/// of the command that created it.
struct LoadOrder
{
    DeploymentId deployment;
    ModelId model;
    AdapterId adapter; ///< Empty for the base model.
    VersionId version; ///< Target version.
    std::uint32_t replicas = 0;
    /// Hosts of the order, in the sequence in which a version change updates them.
    std::vector<HostId> hosts;
    std::optional<WeightsPolicy> weightsPolicy; ///< Overrides that of the deployment.
    std::optional<std::uint32_t> priority;      ///< Overrides that of the deployment.
    OrderState state = OrderState::Active;
    Revision finishedAt; ///< Revision at which the order was cancelled.

    VersionId previousVersion; ///< While Rolling or Stopped: version of the remaining hosts.
    /// While Rolling or Stopped: number of first hosts that have the target version.
    std::uint32_t steppedHosts = 0;
    std::uint32_t rollingStep = 1; ///< Number of hosts that change at the same time.
    std::uint32_t errorLimit = 0;  ///< Failed loads that are tolerated before the change stops.
    std::uint32_t errors = 0;      ///< Failed loads reported in the current change.

    friend bool operator==(const LoadOrder &, const LoadOrder &) = default;
};

template <>
struct JsonNames<OrderState>
{
    static constexpr std::array<std::pair<OrderState, std::string_view>, 4> table{
            {{OrderState::Active, "active"},
             {OrderState::Rolling, "rolling"},
             {OrderState::Stopped, "stopped"},
             {OrderState::Cancelled, "cancelled"}}};
};

template <>
struct JsonFields<LoadOrder>
{
    static constexpr auto table = std::tuple{field("deployment", &LoadOrder::deployment),
                                             field("model", &LoadOrder::model),
                                             field("adapter", &LoadOrder::adapter),
                                             field("version", &LoadOrder::version),
                                             field("replicas", &LoadOrder::replicas),
                                             field("hosts", &LoadOrder::hosts),
                                             field("weights_policy", &LoadOrder::weightsPolicy),
                                             field("priority", &LoadOrder::priority),
                                             field("state", &LoadOrder::state),
                                             field("finished_at", &LoadOrder::finishedAt),
                                             field("previous_version", &LoadOrder::previousVersion),
                                             field("stepped_hosts", &LoadOrder::steppedHosts),
                                             field("rolling_step", &LoadOrder::rollingStep),
                                             field("error_limit", &LoadOrder::errorLimit),
                                             field("errors", &LoadOrder::errors)};
};

} // namespace godwit
