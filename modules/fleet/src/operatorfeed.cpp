#include <godwit/fleet/operatorfeed.h>

#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

OperatorFeed::OperatorFeed(const FleetPlatform &platform, std::string_view prefix,
                           KeyValuePort &store, Scheduler &scheduler, const FleetBounds &bounds,
                           Random random, Handlers handlers)
    : m_platform(platform)
    , m_scheduler(scheduler)
    , m_bounds(bounds)
    , m_handlers(std::move(handlers))
    , m_mirror(store, scheduler, random, std::string(prefix),
               {[this](const KeyValueEntry &entry, const std::optional<WriteTime> &time) {
                    handlePut(entry, time);
                },
                [this](const std::string &key) { handleRemoved(key); },
                [this](TimePoint asOf) {
                    m_isReadingCopy = false;
                    m_handlers.onConfirmed(asOf);
                },
                [keys = std::string(prefix)](bool reachable, const std::string &problem) {
                    logStateChange(reachable ? "store_regained" : "store_lost",
                                   {{"keys", keys}, {"problem", problem}},
                                   reachable ? LogLevel::Info : LogLevel::Warning);
                },
                [this](const StoreRestoration &) { m_isReadingCopy = true; }})
{}

TimePoint OperatorFeed::olderVersionsEnd(TimePoint announcedAt,
                                         TimePoint FailedCall::*outageEnd) const
{
    const TimePoint end = announcedAt + m_bounds.versionChangeLimit;
    // A version specified during an outage need not be in effect immediately after it.
    const auto failed = m_mirror.lastFailedCall();
    return failed ? std::max(end, (*failed).*outageEnd + m_bounds.reconnectionGracePeriod) : end;
}

std::optional<VersionWindow> OperatorFeed::versionWindow(const std::optional<WriteTime> &time) const
{
    if (!time)
        return std::nullopt;
    const TimePoint end = olderVersionsEnd(time->expected, &FailedCall::failedAt);
    const TimePoint earliestEnd = olderVersionsEnd(time->earliest, &FailedCall::startedAt);
    return VersionWindow{time->expected, end - time->expected, end - earliestEnd};
}

void OperatorFeed::logWantedVersion(const WantedVersion &wanted, StoreRevision revision,
                                    const std::optional<VersionWindow> &window) const
{
    boost::json::object fields{{"model", wanted.model.value()},
                               {"version", wanted.version},
                               {"revision", revision.value}};
    if (window) {
        const TimePoint now = m_scheduler.now();
        fields["announced_ms_ago"] = toMilliseconds(now - window->announcedAt);
        fields["grace_ms"] = toMilliseconds(window->gracePeriod);
        fields["uncertainty_ms"] = toMilliseconds(window->uncertainty);
        if (const auto failed = m_mirror.lastFailedCall()) {
            fields["store_failed_ms_ago"] = toMilliseconds(now - failed->failedAt);
            fields["store_failed_call_ms"] = toMilliseconds(failed->failedAt - failed->startedAt);
        }
    }
    logStateChange("version_wanted", fields);
}

bool OperatorFeed::isNewer(std::uint64_t version, std::optional<std::uint64_t> &newest,
                           const KeyValueEntry &entry) const
{
    if (version > newest) {
        newest = version;
        return true;
    }
    if (version < newest)
        logStateChange("operator_record_outdated", {{"key", entry.key},
                                                    {"version", version},
                                                    {"known_version", *newest},
                                                    {"revision", entry.modified.value}});
    return false;
}

void OperatorFeed::handlePut(const KeyValueEntry &entry, const std::optional<WriteTime> &time)
{
    auto decoded = capture([&] { return m_platform.decodeOperatorRecord(entry); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logStateChange("operator_record_refused",
                       {{"key", entry.key}, {"problem", toString(*error)}}, LogLevel::Warning);
        return;
    }
    OperatorRecord &record = std::get<0>(decoded);
    if (auto *configuration = std::get_if<GatewayConfiguration>(&record)) {
        if (isNewer(configuration->version, m_configurationVersion, entry))
            m_handlers.onConfiguration(std::move(*configuration));
    } else if (const auto *wanted = std::get_if<WantedVersion>(&record)) {
        if (!isNewer(wanted->version, m_wantedVersions[wanted->model], entry))
            return;
        const auto window = versionWindow(time);
        logWantedVersion(*wanted, entry.modified, window);
        m_handlers.onVersion(*wanted, window);
    } else if (const auto *evacuation = std::get_if<ZoneEvacuation>(&record)) {
        m_pendingEnds.erase(evacuation->zone);
        reportEvacuation(evacuation->zone, true);
    }
}

void OperatorFeed::handleRemoved(const std::string &key)
{
    const auto evacuation = m_platform.evacuationFromKey(key);
    if (!evacuation)
        return;
    if (!m_isReadingCopy) {
        reportEvacuation(evacuation->zone, false);
        return;
    }
    // The operator may have requested it after the copy was made.
    m_pendingEnds[evacuation->zone] =
            m_scheduler.after(PrefixMirror::RewritePeriod, [this, zone = evacuation->zone] {
                const auto timer = std::move(m_pendingEnds[zone]);
                m_pendingEnds.erase(zone);
                reportEvacuation(zone, false);
            });
}

void OperatorFeed::reportEvacuation(const ZoneId &zone, bool evacuated)
{
    if (m_handlers.onEvacuation)
        m_handlers.onEvacuation(zone, evacuated);
}

} // namespace godwit
