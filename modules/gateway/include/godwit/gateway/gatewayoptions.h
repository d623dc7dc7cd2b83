#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/gateway/warmuplimiter.h>
#include <godwit/gateway/windowedretrybudget.h>

#include <cstddef>
#include <map>

namespace godwit {

/// Settings of a Gateway.
struct GatewayOptions
{
    ZoneId zone;
    std::map<ZoneId, RegionId> zoneRegions; ///< Regions of all zones of the fleet.
    RetryBudgetLimits retryBudget;
    WarmupBounds warmup;
    /// Whether callers compete by priority and share when a service is short, see DemandTracker.
    bool ranksCallers = false;
    bool learnsSpeed = false; ///< See BackendPool::setLearnsSpeed().
    /// Requests with a key are refused if the configuration has not been confirmed for longer than
    /// this, because the key may have been revoked meanwhile. Zero disables the check.
    Duration maxKeyAge{0};
    /// If the configuration has not been confirmed for longer than this, an unknown route or key
    /// gets 503 rather than 404 or 401: a newer configuration may contain it.
    Duration maxDenialAge = std::chrono::milliseconds(1500);
    /// For requests that state no timeout.
    Duration defaultClientTimeout = std::chrono::seconds(30);
    /// Maximum size of the response bodies of all requests that are buffered at a time.
    std::size_t bufferedBytesLimit = 32UL * 1024 * 1024;

    friend bool operator==(const GatewayOptions &, const GatewayOptions &) = default;
};

} // namespace godwit
