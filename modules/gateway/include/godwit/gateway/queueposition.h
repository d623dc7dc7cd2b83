#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace godwit {

/// Whether the response can start within the latency objective of its route.
enum class RequestUrgency {
    OnTime,
    Late, ///< Queued behind all requests that can still meet their objective.
};

/// Priority of a request for which neither its route nor its customer states one.
constexpr std::uint32_t DefaultPriority = 5;
/// Priorities range from 0, the most urgent, to this one.
constexpr std::uint32_t LeastUrgentPriority = 9;

/// Place of a request in the queue of a backend server, which admits waiting requests by priority.
struct QueuePosition
{
    // Not explicit: most callers know the urgency only.
    constexpr QueuePosition(RequestUrgency requestUrgency,
                            std::uint32_t requestPriority = DefaultPriority)
        : urgency(requestUrgency)
        , priority(requestPriority)
    {}

    RequestUrgency urgency;
    std::uint32_t priority; ///< Of the customer or the route.

    /// The priority that the backend server is told. Late requests keep their relative order and
    /// are placed behind those of default priority.
    constexpr std::uint32_t effectivePriority() const
    {
        const std::uint32_t late = DefaultPriority + priority / 2;
        return urgency == RequestUrgency::Late && late > priority ? late : priority;
    }

    friend auto operator<=>(const QueuePosition &, const QueuePosition &) = default;
};

/// Number of the requests that wait at a backend server, by effective priority.
class QueuedRequests
{
public:
    void add(const QueuePosition &position);
    /// Returns false if there is none at \a position.
    bool remove(const QueuePosition &position);

    std::uint32_t count() const { return m_count; }
    /// Those of them that are late.
    std::uint32_t lateCount() const { return m_lateCount; }
    /// Share of the requests that are admitted before one that arrives now at \a position; 1 if
    /// there are none.
    double shareAhead(const QueuePosition &position) const;

private:
    friend class PriorityMix;

    std::array<std::uint32_t, LeastUrgentPriority + 1> m_counts{};
    std::uint32_t m_count = 0;
    std::uint32_t m_lateCount = 0;
};

/// Shares of the effective priorities in the requests that wait for the backend servers of a
/// service, averaged over the recent attempts.
class PriorityMix
{
public:
    /// An attempt has been added to \a queued.
    void record(const QueuedRequests &queued);

    /// Share of the requests that are admitted before one that arrives now at \a position; 1 if
    /// there were none.
    double shareAhead(const QueuePosition &position) const;

private:
    std::array<double, LeastUrgentPriority + 1> m_shares{};
    bool m_isEmpty = true;
};

/// Share of the recent attempts of a service by effective priority.
class AttemptMix
{
public:
    void record(const QueuePosition &position);

    /// Share of the attempts that overtake one that waits at \a position; 0 if there were none.
    double shareOvertaking(const QueuePosition &position) const;

private:
    std::array<double, LeastUrgentPriority + 1> m_shares{};
    bool m_isEmpty = true;
};

} // namespace godwit
