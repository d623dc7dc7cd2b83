#include <godwit/fleet/clientrejections.h>

#include <godwit/observe/log.h>

#include <string>
#include <utility>

namespace godwit {

std::optional<std::uint64_t> ClientRejections::record(ServerRejection reason, TimePoint now)
{
    m_registry
            .counter("godwit_client_rejections_total",
                     "Requests and connections of clients rejected because of a limit.",
                     {{"reason", std::string(toString(reason))}})
            .add();
    Unlogged &unlogged = m_unlogged[reason];
    ++unlogged.count;
    if (unlogged.loggedAt && now < *unlogged.loggedAt + LogInterval)
        return std::nullopt;
    unlogged.loggedAt = now;
    const std::uint64_t count = std::exchange(unlogged.count, 0);
    logStateChange("clients_rejected", {{"reason", toString(reason)}, {"count", count}},
                   LogLevel::Warning);
    return count;
}

} // namespace godwit
