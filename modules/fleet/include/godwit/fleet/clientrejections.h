#pragma once

#include <godwit/base/time.h>
#include <godwit/observe/metricsregistry.h>
#include <godwit/ports/serverrejection.h>

#include <cstdint>
#include <map>
#include <optional>

namespace godwit {

/// Counts the requests and connections of clients that an entry process rejects because of a limit.
/// Logs that such rejections have begun, not each of them.
class ClientRejections
{
public:
    /// Shortest time between two log lines of one reason.
    static constexpr Duration LogInterval = std::chrono::seconds(10);

    explicit ClientRejections(MetricsRegistry &registry)
        : m_registry(registry)
    {}

    /// Returns the number of rejections for \a reason that a log line written now states; nothing
    /// if none is due.
    std::optional<std::uint64_t> record(ServerRejection reason, TimePoint now);

private:
    struct Unlogged
    {
        std::uint64_t count = 0;
        std::optional<TimePoint> loggedAt;
    };

    MetricsRegistry &m_registry;
    std::map<ServerRejection, Unlogged> m_unlogged;
};

} // namespace godwit
