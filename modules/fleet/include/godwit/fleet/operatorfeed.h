#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/gateway/loadschedule.h>
#include <godwit/mirror/prefixmirror.h>
#include <godwit/settings/fleetsettings.h>

#include <functional>
#include <optional>
#include <string_view>

namespace godwit {

/// Keeps up with what the operator writes into the platform's store under one prefix.
class OperatorFeed
{
public:
    struct Handlers
    {
        std::function<void(GatewayConfiguration)> onConfiguration;
        /// Without terms the version was wanted when the feed started, and may have been so for
        /// long.
        std::function<void(const WantedVersion &, const std::optional<VersionWindow> &)> onVersion;
        /// Everything that the operator had written at \a asked has been reported.
        std::function<void(TimePoint asked)> onConfirmed;
    };

    OperatorFeed(const FleetPlatform &platform, std::string_view prefix, KeyValuePort &store,
                 Scheduler &scheduler, const FleetBounds &bounds, Random random, Handlers handlers);

    void start() { m_mirror.start(); }

private:
    void put(const KeyValueEntry &entry, std::optional<TimePoint> notBefore);
    std::optional<VersionWindow> termsOf(std::optional<TimePoint> notBefore) const;

    const FleetPlatform &m_platform;
    FleetBounds m_bounds;
    Handlers m_handlers;
    PrefixMirror m_mirror;
};

} // namespace godwit
