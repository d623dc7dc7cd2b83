#pragma once

#include <godwit/base/random.h>
#include <godwit/fleet/fleetplatform.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>

#include <functional>
#include <memory>
#include <optional>

namespace godwit {

/// Reads the operator's configuration from the platform's store when it is asked to. Host processes
/// need little of it, and that hardly ever changes: with each change sent to all of them, a large
/// configuration would fill the links between regions and come late to the entry processes.
class ConfigurationLookup
{
public:
    using Handler = std::function<void(const GatewayConfiguration &)>;

    ConfigurationLookup(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                        Random random, Handler handler);

    /// Reads until there is a configuration. Ignored while it reads, and soon after.
    void lookUp();

private:
    void read();
    void readAgain();
    void found(const Outcome<std::optional<KeyValueEntry>> &outcome);

    const FleetPlatform &m_platform;
    KeyValuePort &m_store;
    Scheduler &m_scheduler;
    Random m_random;
    Handler m_handler;
    bool m_isReading = false;
    std::optional<TimePoint> m_readAt; ///< When it was read last.
    std::unique_ptr<Timer> m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
