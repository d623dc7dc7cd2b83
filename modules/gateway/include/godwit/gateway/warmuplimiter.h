#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/gateway/gatewayconfiguration.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Bound on the requests that a cold backend server gets in a second, from all entry processes
/// together: the rate of its service times the overage, plus the slack.
struct WarmupBounds
{
    double overage = 1;
    double slack = 0;
    /// Most entry processes that may ever exist at a time; they share the bound. A lower number
    /// than there are would break it.
    std::size_t entryProcesses = 40;

    friend bool operator==(const WarmupBounds &, const WarmupBounds &) = default;
};

/// A backend server that has become cold or warm.
struct WarmupChange
{
    BackendId id;
    bool cold = false;
    Duration coldFor{0}; ///< How much longer it is cold.

    friend bool operator==(const WarmupChange &, const WarmupChange &) = default;
};

/// The part of the WarmupBounds that this process may use, enforced without communication: a cold
/// backend server gets at most a fixed share of the bound in each window. What was sent is kept by
/// the id of the server, also if its record is removed or another process starts behind it. Reads
/// no clock.
///
/// An attempt counts when it starts, and may wait for its connection before it is sent. The window
/// covers that wait. It is measured by a time that passes by at most MaxStep between two calls of
/// advance(): while the process is suspended it stands still, so that attempts which were waiting
/// then, and are sent when the process resumes, still count.
class WarmupLimiter
{
public:
    /// Time for which an attempt may wait for its connection, see ConnectTimeout.
    static constexpr Duration MaxConnectionWait = std::chrono::milliseconds(400);
    /// Exceeds the usual time between two calls of advance() while a backend server is cold.
    static constexpr Duration MaxStep = std::chrono::milliseconds(100);
    /// The time of the process may pass by one step while it is suspended.
    static constexpr Duration Window = std::chrono::seconds(1) + MaxConnectionWait + MaxStep;

    WarmupLimiter() = default;
    WarmupLimiter(const WarmupBounds &bounds, TimePoint startedAt);

    /// Takes over the limits of \a services.
    void setServices(const std::vector<ServiceDescription> &services, TimePoint now);

    /// Whether the cold backend servers of \a service get a limited number of requests.
    bool isLimited(const std::string &service) const
    {
        return !m_limits.empty() && m_limits.contains(service);
    }

    /// For which a backend server of \a service is cold after its start; 0 if it has no limit.
    Duration coldPeriod(const std::string &service) const;

    /// Lets time pass. Called often while hasCold().
    void advance(TimePoint now);

    /// \a id stays cold for \a coldFor from \a now on, or for longer if that is known. A statement
    /// never shortens the time, because it may have been overtaken by a newer one.
    void recordCold(const BackendId &id, Duration coldFor, TimePoint now);

    /// An attempt at \a id of \a service starts.
    void recordAttempt(const BackendId &id, const std::string &service, TimePoint now);

    /// Returns until when \a id of \a service, which is cold, gets no request; none if it may get
    /// one now.
    std::optional<TimePoint> limitedUntil(const BackendId &id, const std::string &service,
                                          TimePoint now) const;

    /// End of the last cold period of \a id; none if it has not been cold of late.
    std::optional<TimePoint> coldUntil(const BackendId &id) const;

    /// Whether a backend server is cold, or its change has not been taken by takeChanges(), and
    /// there is a limit.
    bool hasCold() const { return m_hasCold && !m_limits.empty(); }

    /// Number of cold backend servers.
    std::size_t coldCount(TimePoint now) const;

    /// Returns the backend servers that have become cold or warm since the last call.
    std::vector<WarmupChange> takeChanges(TimePoint now);

private:
    struct Limit
    {
        std::size_t share = 0; ///< Attempts of this process at one server in a window.
        Duration coldPeriod{0};
        /// Cold servers get nothing before, because what was sent until then is not known.
        TimePoint unknownUntil;
    };
    struct Backend
    {
        std::optional<TimePoint> coldUntil;
        bool reportedCold = false;      ///< By takeChanges().
        std::deque<TimePoint> attempts; ///< The newest of the last window, by m_time.
    };

    std::size_t shareOf(const ServiceDescription &service) const;
    Backend &backendOf(const BackendId &id, TimePoint now);
    bool isForgettable(const Backend &backend, TimePoint now) const;

    WarmupBounds m_bounds;
    TimePoint m_startedAt;
    std::map<std::string, Limit> m_limits; ///< By service; only those with a limit.
    bool m_isConfigured = false;
    std::map<BackendId, Backend> m_backends;
    TimePoint m_time; ///< Passes only while the process runs.
    TimePoint m_advancedAt;
    bool m_hasCold = false;
};

} // namespace godwit
