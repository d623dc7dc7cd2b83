#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/gateway/backendinstance.h>

#include <cstddef>
#include <map>
#include <optional>

namespace godwit {

/// Why an instance of a backend server gets no new requests.
enum class UnavailabilityReason {
    Leaving, ///< It has stated that it finishes its requests and then exits.
    Paused,  ///< It has stated a retry time that is not over.
    Cold,    ///< It is cold and has got as many requests as it may, see WarmupLimiter.
};

struct Unavailability
{
    UnavailabilityReason reason = UnavailabilityReason::Leaving;
    std::optional<TimePoint> until; ///< None if the instance remains unavailable.

    friend bool operator==(const Unavailability &, const Unavailability &) = default;
};

/// Instances of backend servers that have stated in a response that they want no new requests. Does
/// not depend on their records, which may be outdated, or missing for a while after an outage of
/// the store. Has no clock.
class AvailabilityTracker
{
public:
    /// Number of instances that are remembered. Beyond it, instances whose pause is over are
    /// forgotten first, then the one whose last statement is the oldest.
    static constexpr std::size_t MaxInstances = 4096;

    explicit AvailabilityTracker(Random random);

    /// \a instance stated that it leaves. Returns whether this was not known before.
    bool recordLeaving(const BackendInstance &instance, TimePoint now);

    /// \a instance stated at \a now that it wants no requests for \a retryAfter. The pause ends a
    /// random time later, so that the processes that were turned away do not return together. An
    /// earlier pause is never shortened, and a \a retryAfter of zero causes none. Returns whether
    /// the instance was available before and is not any more.
    bool recordRetryAfter(const BackendInstance &instance, Duration retryAfter, TimePoint now);

    /// Returns why \a instance gets no new requests, or nothing if it may get some.
    std::optional<Unavailability> find(const BackendInstance &instance, TimePoint now) const;

    std::size_t size() const { return m_statements.size(); }

private:
    struct Statement
    {
        bool leaving = false;
        TimePoint pausedUntil;
        TimePoint statedAt; ///< Time of the last statement.

        bool isOver(TimePoint now) const { return !leaving && pausedUntil <= now; }
    };

    Statement &statementOf(const BackendInstance &instance, TimePoint now);
    void makeRoom(TimePoint now);

    Random m_random;
    std::map<BackendInstance, Statement> m_statements;
};

} // namespace godwit
