#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/gateway/loadschedule.h>
#include <godwit/mirror/prefixmirror.h>
#include <godwit/settings/fleetsettings.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace godwit {

/// Watches the records that the operator writes into the platform's store under one prefix.
///
/// Versions only increase. A store that comes back from a copy may hold older ones for some time,
/// and the operator then writes those again that it has lost; neither is reported. An evacuation
/// that the copy lacks goes on until the operator has had the time to write it again.
class OperatorFeed
{
public:
    struct Handlers
    {
        std::function<void(GatewayConfiguration)> onConfiguration;
        /// Without a window the version was already wanted when the feed started, possibly for a
        /// long time.
        std::function<void(const WantedVersion &, const std::optional<VersionWindow> &)> onVersion;
        /// All writes of the operator up to \a asOf have been reported.
        std::function<void(TimePoint asOf)> onConfirmed;
        /// The operator evacuates a zone (true) or has ended its evacuation. May be empty.
        std::function<void(const ZoneId &, bool evacuated)> onEvacuation = {};
    };

    OperatorFeed(const FleetPlatform &platform, std::string_view prefix, KeyValuePort &store,
                 Scheduler &scheduler, const FleetBounds &bounds, Random random, Handlers handlers);

    void start() { m_mirror.start(); }

    /// See PrefixMirror. Call before start().
    void refreshUntilRewritten() { m_mirror.refreshUntilRewritten(); }

    /// Reads the records again because there may be newer ones than the watch has reported.
    void refresh() { m_mirror.refresh(); }

private:
    void handlePut(const KeyValueEntry &entry, const std::optional<WriteTime> &time);
    void handleRemoved(const std::string &key);
    void reportEvacuation(const ZoneId &zone, bool evacuated);
    /// Returns whether \a version is above \a newest, which it then replaces.
    bool isNewer(std::uint64_t version, std::optional<std::uint64_t> &newest,
                 const KeyValueEntry &entry) const;
    std::optional<VersionWindow> versionWindow(const std::optional<WriteTime> &time) const;
    /// Time until which versions older than one that was announced at \a announcedAt may serve, if
    /// the last outage of the store ended at \a outageEnd of the last failed call.
    TimePoint olderVersionsEnd(TimePoint announcedAt, TimePoint FailedCall::*outageEnd) const;
    void logWantedVersion(const WantedVersion &wanted, StoreRevision revision,
                          const std::optional<VersionWindow> &window) const;

    const FleetPlatform &m_platform;
    Scheduler &m_scheduler;
    FleetBounds m_bounds;
    Handlers m_handlers;
    std::optional<std::uint64_t> m_configurationVersion;
    std::map<ModelId, std::optional<std::uint64_t>> m_wantedVersions;
    /// Ends of evacuations that a copy lacks.
    std::map<ZoneId, std::unique_ptr<Timer>> m_pendingEnds;
    bool m_isReadingCopy = false; ///< The first list of a restored store is being reported.
    PrefixMirror m_mirror;
};

} // namespace godwit
