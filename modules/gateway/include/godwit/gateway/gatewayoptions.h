#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/gateway/windowedretrybudget.h>

namespace godwit {

/// Settings of a Gateway.
struct GatewayOptions
{
    ZoneId zone;
    RetryBudgetLimits retryBudget;
    /// A request with a key is refused when the configuration was last confirmed longer ago: the
    /// key may have been taken away since. Zero switches the check off.
    Duration maxKeyAge{0};
    /// With a configuration that was last confirmed longer ago, an unknown route or key is no
    /// reason to refuse for good: a newer configuration may have it.
    Duration maxDenialAge = std::chrono::milliseconds(1500);
    /// Of a request that states none.
    Duration defaultClientTimeout = std::chrono::seconds(30);

    friend bool operator==(const GatewayOptions &, const GatewayOptions &) = default;
};

} // namespace godwit
