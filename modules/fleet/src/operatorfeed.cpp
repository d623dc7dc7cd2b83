#include <godwit/fleet/operatorfeed.h>

#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

OperatorFeed::OperatorFeed(const FleetPlatform &platform, std::string_view prefix,
                           KeyValuePort &store, Scheduler &scheduler, const FleetBounds &bounds,
                           Random random, Handlers handlers)
    : m_platform(platform)
    , m_bounds(bounds)
    , m_handlers(std::move(handlers))
    , m_mirror(store, scheduler, random, std::string(prefix),
               {[this](const KeyValueEntry &entry, std::optional<TimePoint> notBefore) {
                    put(entry, notBefore);
                },
                [](const std::string &) {},
                [this](TimePoint asked) { m_handlers.onConfirmed(asked); },
                [keys = std::string(prefix)](bool reachable, const std::string &problem) {
                    logStateChange(reachable ? "store_regained" : "store_lost",
                                   {{"keys", keys}, {"problem", problem}},
                                   reachable ? LogLevel::Info : LogLevel::Warning);
                }})
{}

std::optional<VersionTerms> OperatorFeed::termsOf(std::optional<TimePoint> notBefore) const
{
    if (!notBefore)
        return std::nullopt;
    VersionTerms terms{*notBefore, m_bounds.versionChangeLimit};
    // A version that was named in an outage is not expected to be in force right after it. The last
    // failed call is a lower bound of its end.
    if (const auto failure = m_mirror.lastFailure())
        terms.time =
                std::max(terms.time, *failure + m_bounds.reconnectionGracePeriod - terms.namedAt);
    return terms;
}

void OperatorFeed::put(const KeyValueEntry &entry, std::optional<TimePoint> notBefore)
{
    auto decoded = capture([&] { return m_platform.decodeOperatorRecord(entry); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logStateChange("operator_record_refused",
                       {{"key", entry.key}, {"problem", toString(*error)}}, LogLevel::Warning);
        return;
    }
    OperatorRecord &record = std::get<0>(decoded);
    if (auto *configuration = std::get_if<GatewayConfiguration>(&record)) {
        m_handlers.onConfiguration(std::move(*configuration));
    } else if (const auto *wanted = std::get_if<WantedVersion>(&record)) {
        logStateChange("version_wanted", {{"model", wanted->model.value()},
                                          {"version", wanted->version},
                                          {"revision", entry.modified.value}});
        m_handlers.onVersion(*wanted, termsOf(notBefore));
    }
}

} // namespace godwit
