#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit {

/// Where the document of a process comes from.
enum class ConfigurationSource {
    None,    ///< No document yet.
    Peers,   ///< From peers while the key-value service gives no proof; a newer one may exist.
    Service, ///< Proved by the key-value service since this process started.
};

/// Statement of a process about its document.
struct ConfigurationStatus
{
    ConfigurationSource source = ConfigurationSource::None;
    Revision revision;
    Revision confirmed;              ///< Highest revision heard to be stored.
    std::uint32_t peersAsked = 0;    ///< At start-up.
    std::uint32_t peersAnswered = 0; ///< At start-up.
    std::uint32_t membersLive = 0;
    std::optional<Duration> age; ///< See Staleness::age.

    /// One sentence for operators.
    std::string describe() const;
};

} // namespace godwit
