#include <godwit/fleet/configurationlookup.h>

#include <godwit/observe/log.h>

namespace godwit {

namespace {

/// Delay before the next attempt if there is no configuration or the store cannot be reached.
constexpr Duration RetryInterval = std::chrono::milliseconds(700);
/// A configuration is not read again within this time after the last read.
constexpr Duration MinRefreshInterval = std::chrono::seconds(5);

} // namespace

ConfigurationLookup::ConfigurationLookup(const FleetPlatform &platform, KeyValuePort &store,
                                         Scheduler &scheduler, Random random, Handler handler)
    : m_platform(platform)
    , m_store(store)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_handler(std::move(handler))
{}

void ConfigurationLookup::lookUp()
{
    if (m_isReading || isRecent())
        return;
    m_isReading = true;
    read();
}

bool ConfigurationLookup::isRecent() const
{
    return m_lastReadAt && m_scheduler.now() < *m_lastReadAt + MinRefreshInterval;
}

void ConfigurationLookup::lookUpWithin(Duration period)
{
    const TimePoint now = m_scheduler.now();
    const TimePoint earliest = isRecent() ? *m_lastReadAt + MinRefreshInterval : now;
    const auto delay = std::chrono::duration_cast<Duration>(period * m_random.uniform());
    const TimePoint at = earliest + delay;
    if (m_scheduledAt && *m_scheduledAt <= at)
        return;
    m_scheduledAt = at;
    m_scheduleTimer = m_scheduler.after(at - now, [this] {
        const auto timer = std::move(m_scheduleTimer);
        m_scheduledAt.reset();
        lookUpScheduled();
    });
}

void ConfigurationLookup::lookUpScheduled()
{
    // A read that is in progress or has just completed may have begun before lookUpWithin() was
    // called.
    if (m_isReading || isRecent())
        lookUpWithin(MinRefreshInterval);
    else
        lookUp();
}

void ConfigurationLookup::read()
{
    m_store.get(std::string(m_platform.configurationKey()),
                [this, alive = std::weak_ptr(m_alive)](
                        const Outcome<std::optional<KeyValueEntry>> &outcome) {
                    if (!alive.expired())
                        onRead(outcome);
                });
}

void ConfigurationLookup::scheduleRetry()
{
    const auto delay =
            std::chrono::duration_cast<Duration>(RetryInterval * (0.5 + m_random.uniform()));
    m_retryTimer = m_scheduler.after(delay, [this] { read(); });
}

void ConfigurationLookup::onRead(const Outcome<std::optional<KeyValueEntry>> &outcome)
{
    const auto *entry = std::get_if<std::optional<KeyValueEntry>>(&outcome);
    if (!entry || !*entry) {
        scheduleRetry();
        return;
    }
    const auto decoded = capture([&] { return m_platform.decodeOperatorRecord(**entry); });
    const auto *error = std::get_if<Error>(&decoded);
    const auto *record = std::get_if<OperatorRecord>(&decoded);
    const auto *configuration = record ? std::get_if<GatewayConfiguration>(record) : nullptr;
    if (!configuration) {
        logStateChange("operator_record_refused",
                       {{"key", (*entry)->key},
                        {"problem", error ? toString(*error) : "not a configuration"}},
                       LogLevel::Warning);
        scheduleRetry();
        return;
    }
    m_isReading = false;
    m_lastReadAt = m_scheduler.now();
    logStateChange("configuration_read", {{"version", configuration->version},
                                          {"known_version", m_newestVersion},
                                          {"revision", (*entry)->modified.value}});
    if (configuration->version < m_newestVersion)
        return;
    m_newestVersion = configuration->version;
    m_handler(*configuration);
}

} // namespace godwit
