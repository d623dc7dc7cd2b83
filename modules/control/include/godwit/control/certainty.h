#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit {

/// Source of the configuration document of a process.
enum class ConfigurationSource {
    None, ///< No document yet.
    /// Received from peers without a recent confirmation by the key-value service; a newer document
    /// may exist.
    Peers,
    Service, ///< Recently confirmed as the newest document by the key-value service.
};

/// Revision that a process has in effect, and how it knows that this revision is current.
struct ConfigurationStatus
{
    ConfigurationSource source = ConfigurationSource::None;
    Revision revision;
    Revision confirmed;              ///< Highest revision known to be stored.
    std::uint32_t peersAsked = 0;    ///< During start-up.
    std::uint32_t peersAnswered = 0; ///< During start-up.
    std::uint32_t membersLive = 0;
    std::optional<Duration> age; ///< See Staleness::age.

    /// Describes the status to operators in one sentence.
    std::string describe() const;
};

} // namespace godwit
