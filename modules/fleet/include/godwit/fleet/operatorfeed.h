#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/mirror/prefixmirror.h>

#include <functional>

namespace godwit {

/// Keeps up with what the operator writes into the platform's store.
class OperatorFeed
{
public:
    struct Handlers
    {
        std::function<void(GatewayConfiguration)> onConfiguration;
        std::function<void(const WantedVersion &)> onVersion;
        /// Everything that the operator had written at \a asked has been reported.
        std::function<void(TimePoint asked)> onConfirmed;
    };

    OperatorFeed(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                 Random random, Handlers handlers);

    void start() { m_mirror.start(); }

private:
    void put(const KeyValueEntry &entry);

    const FleetPlatform &m_platform;
    Handlers m_handlers;
    PrefixMirror m_mirror;
};

} // namespace godwit
