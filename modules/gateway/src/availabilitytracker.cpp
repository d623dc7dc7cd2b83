#include <godwit/gateway/availabilitytracker.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit {

namespace {

/// Range of the random time that is added to a pause, as a fraction of the pause. During a longer
/// pause more processes are turned away, so their return is spread over a longer time.
constexpr double ReturnSpread = 0.25;
constexpr Duration MinReturnSpread = std::chrono::milliseconds(100);
constexpr Duration MaxReturnSpread = std::chrono::seconds(2);

} // namespace

AvailabilityTracker::AvailabilityTracker(Random random)
    : m_random(random)
{}

bool AvailabilityTracker::recordLeaving(const BackendInstance &instance, TimePoint now)
{
    return !std::exchange(statementOf(instance, now).leaving, true);
}

bool AvailabilityTracker::recordRetryAfter(const BackendInstance &instance, Duration retryAfter,
                                           TimePoint now)
{
    if (retryAfter <= Duration::zero())
        return false;
    const bool wasAvailable = !find(instance, now);
    const Duration spread =
            std::clamp(std::chrono::duration_cast<Duration>(ReturnSpread * retryAfter),
                       MinReturnSpread, MaxReturnSpread);
    const auto delay = std::chrono::duration_cast<Duration>(m_random.uniform() * spread);
    Statement &statement = statementOf(instance, now);
    statement.pausedUntil = std::max(statement.pausedUntil, now + retryAfter + delay);
    return wasAvailable;
}

std::optional<Unavailability> AvailabilityTracker::find(const BackendInstance &instance,
                                                        TimePoint now) const
{
    const auto it = m_statements.find(instance);
    if (it == m_statements.end() || it->second.isOver(now))
        return std::nullopt;
    if (it->second.leaving)
        return Unavailability{UnavailabilityReason::Leaving, std::nullopt};
    return Unavailability{UnavailabilityReason::Paused, it->second.pausedUntil};
}

AvailabilityTracker::Statement &AvailabilityTracker::statementOf(const BackendInstance &instance,
                                                                 TimePoint now)
{
    if (m_statements.size() >= MaxInstances && !m_statements.contains(instance))
        makeRoom(now);
    Statement &statement = m_statements[instance];
    statement.statedAt = now;
    return statement;
}

void AvailabilityTracker::makeRoom(TimePoint now)
{
    if (std::erase_if(m_statements, [now](const auto &it) { return it.second.isOver(now); }) > 0)
        return;
    m_statements.erase(std::ranges::min_element(m_statements, {},
                                                [](const auto &it) { return it.second.statedAt; }));
}

} // namespace godwit
