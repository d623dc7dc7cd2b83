#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/mirror/prefixmirror.h>

#include <functional>
#include <optional>

namespace godwit {

/// Keeps up with what the operator writes into the platform's store.
class OperatorFeed
{
public:
    struct Handlers
    {
        std::function<void(GatewayConfiguration)> onConfiguration;
        /// \a namedAfter is the last time at which the version was known not to be wanted yet; none
        /// if it was wanted when the feed started.
        std::function<void(const WantedVersion &, std::optional<TimePoint> namedAfter)> onVersion;
        /// Everything that the operator had written at \a asked has been reported.
        std::function<void(TimePoint asked)> onConfirmed;
    };

    OperatorFeed(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                 Random random, Handlers handlers);

    void start() { m_mirror.start(); }

private:
    void put(const KeyValueEntry &entry, std::optional<TimePoint> notBefore);

    const FleetPlatform &m_platform;
    Handlers m_handlers;
    PrefixMirror m_mirror;
};

} // namespace godwit
