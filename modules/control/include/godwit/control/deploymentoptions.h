#pragma once

#include <godwit/base/json.h>

#include <array>
#include <cstdint>

namespace godwit {

enum class DeploymentKind { Model, Service };

/// Whether engine orders continue while the key-value service is unavailable, for engines that do
/// not check fencing numbers.
enum class OutageOrders { Stop, Continue };

/// Goal that has precedence when weights are distributed, see section 6.1 of docs/design.md.
enum class WeightsPolicy { TimeFirst, BytesFirst };

/// Properties of a deployment that are fixed when it is created.
struct DeploymentOptions
{
    DeploymentKind kind = DeploymentKind::Model;
    bool idempotent = true;     ///< If false, a request runs at most once.
    bool checksFencing = false; ///< The engines reject orders with a stale fencing number.
    OutageOrders outageOrders = OutageOrders::Stop;
    WeightsPolicy weightsPolicy = WeightsPolicy::TimeFirst;
    std::uint32_t priority = 1; ///< Share of a link when weight transfers compete, 1 to 1000.

    friend bool operator==(const DeploymentOptions &, const DeploymentOptions &) = default;
};

template <>
struct JsonNames<DeploymentKind>
{
    static constexpr std::array<std::pair<DeploymentKind, std::string_view>, 2> table{
            {{DeploymentKind::Model, "model"}, {DeploymentKind::Service, "service"}}};
};

template <>
struct JsonNames<OutageOrders>
{
    static constexpr std::array<std::pair<OutageOrders, std::string_view>, 2> table{
            {{OutageOrders::Stop, "stop"}, {OutageOrders::Continue, "continue"}}};
};

template <>
struct JsonNames<WeightsPolicy>
{
    static constexpr std::array<std::pair<WeightsPolicy, std::string_view>, 2> table{
            {{WeightsPolicy::TimeFirst, "time_first"}, {WeightsPolicy::BytesFirst, "bytes_first"}}};
};

template <>
struct JsonFields<DeploymentOptions>
{
    static constexpr auto table =
            std::tuple{field("kind", &DeploymentOptions::kind),
                       field("idempotent", &DeploymentOptions::idempotent),
                       field("checks_fencing", &DeploymentOptions::checksFencing),
                       field("outage_orders", &DeploymentOptions::outageOrders),
                       field("weights_policy", &DeploymentOptions::weightsPolicy),
                       field("priority", &DeploymentOptions::priority)};
};

} // namespace godwit
