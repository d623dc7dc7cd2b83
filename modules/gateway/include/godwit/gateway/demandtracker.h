#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/gateway/queueposition.h>

#include <array>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace godwit {

/// A sum that forgets its older amounts exponentially.
class DecayingSum
{
public:
    void add(double amount, Duration timeConstant, TimePoint now);
    double value(Duration timeConstant, TimePoint now) const;

private:
    double m_value = 0;
    TimePoint m_at;
};

/// Number of the recent requests and of those of them that were admitted.
class AdmissionShare
{
public:
    void record(bool admitted, TimePoint now);

    /// Share of the requests that were admitted. With few requests it is close to \a expected,
    /// because they say little.
    double value(double expected, TimePoint now) const;
    double requests(TimePoint now) const;

private:
    DecayingSum m_requests;
    DecayingSum m_admitted;
};

/// Errors of the predicted waits of requests.
class WaitErrors
{
public:
    void record(Duration predicted, Duration actual);

    /// By which the predicted wait must stay below a limit, so that most requests start within it.
    Duration margin() const;

private:
    double m_meanSeconds = 0;      ///< Positive if the predictions are too low.
    double m_deviationSeconds = 0; ///< Moving average of the distance from the mean.
};

/// The properties of a request that DemandTracker distinguishes.
struct Demand
{
    std::string kind; ///< Name of the route.
    CustomerId customer;
    std::uint32_t priority = DefaultPriority;
    double work = 1; ///< In tokens, or 1 for each request.

    friend bool operator==(const Demand &, const Demand &) = default;
};

/// How a request is to be treated because of the demand of its kind and of its customer.
struct DemandTreatment
{
    bool isSurplus = false; ///< Takes free slots only and is queued behind all others.
    bool isRefused = false; ///< Surplus that must not even take a free slot.
    std::uint32_t priority = DefaultPriority;
    /// By which the predicted wait must stay below its limits, because predictions have errors.
    Duration waitMargin{0};

    friend bool operator==(const DemandTreatment &, const DemandTreatment &) = default;
};

/// What became of a request at its first attempt.
enum class AdmissionResult {
    Admitted,
    AdmittedLate, ///< It has to wait for a slot for longer than its objective allows.
    Refused,      ///< No backend server has a slot early enough.
};

/// Tracks the demand for one service by kind and customer, and decides during a shortage which
/// requests are surplus and which ones get too small a share. Has no clock.
///
/// There is a shortage if a request has been refused or admitted late within the last second. The
/// part of the demand of a kind above a multiple of its long-run rate is then surplus, and so is
/// that of a customer within a kind. The surplus of a kind is shed from the customers that caused
/// it, and from all customers only if it was none of them. Without a shortage no request is treated
/// differently from any other.
class DemandTracker
{
public:
    explicit DemandTracker(Random random);

    /// Records a request that has arrived. Called once for each request, before it is admitted.
    DemandTreatment onArrival(const Demand &demand, TimePoint now);

    /// The request with \a demand, which was given \a treatment, has been admitted or refused.
    void onResult(const Demand &demand, const DemandTreatment &treatment, AdmissionResult result,
                  TimePoint now);

    /// A request in time that found no free slot started after \a actual instead of \a predicted.
    void recordWait(std::uint32_t priority, Duration predicted, Duration actual);

    bool isShortage(TimePoint now) const;

    /// Whether a shortage has begun or ended since the last call; none if nothing has changed. A
    /// shortage ends here only when there was none for some seconds, so that one that comes and
    /// goes is reported once.
    std::optional<bool> takeShortageChange(TimePoint now);

    /// Number of the entries that are remembered: kinds, customers, and customers within a kind.
    std::size_t size() const { return m_kinds.size() + m_customers.size() + m_callers.size(); }

private:
    /// Work that was asked for.
    struct Rates
    {
        DecayingSum shortRun;
        DecayingSum longRun;
        DecayingSum recentOfLongRun; ///< Short-run part of longRun, which is not usual yet.
    };
    /// Demand of one kind, one customer, or one customer within a kind.
    struct Entry
    {
        std::string name;
        Rates rates;
        DecayingSum attributed; ///< Of a kind: the short-run surplus of its customers.
        AdmissionShare share;
    };
    /// Demand by name. If there are too many names, the one without requests for longest is
    /// dropped.
    class Table
    {
    public:
        Entry &find(const std::string &name);
        std::size_t size() const { return m_entries.size(); }

    private:
        std::list<Entry> m_entries; ///< Most recent request first.
        std::unordered_map<std::string, std::list<Entry>::iterator> m_positions;
    };

    /// Long-run rate, in work per second.
    double usualRate(const Rates &rates, TimePoint now) const;
    /// Share, from 0 to 1, of the demand with \a rates that exceeds the usual one.
    double excessShare(const Rates &rates, TimePoint now) const;
    /// Share, from 0 to 1, of the demand of \a kind that is surplus and was not caused by single
    /// customers.
    double commonSurplusShare(const Entry &kind, TimePoint now) const;
    void recordDemand(Rates &rates, double work, TimePoint now) const;
    /// Share of the requests of \a entry that were admitted, relative to that of the service.
    double relativeShare(const Entry &entry, TimePoint now) const;
    /// Whether less urgent requests are admitted more often than those of \a priority.
    bool isOvertaken(std::uint32_t priority, TimePoint now) const;
    /// The more urgent priority, among those in use, that a request of \a priority gets.
    std::uint32_t raisedPriority(std::uint32_t priority, double relativeShare, TimePoint now) const;

    Random m_random;
    Table m_kinds;
    Table m_customers;
    Table m_callers;                                              ///< Customers within a kind.
    AdmissionShare m_share;                                       ///< Of all requests.
    std::array<AdmissionShare, LeastUrgentPriority + 1> m_shares; ///< By priority.
    double m_meanWork = 0;
    /// By priority, because the wait of less urgent requests is less certain.
    std::array<WaitErrors, LeastUrgentPriority + 1> m_waitErrors;
    std::optional<TimePoint> m_firstArrival;
    std::optional<TimePoint> m_lastShortage;
    std::optional<TimePoint> m_lastUsualRefusal; ///< Of a request that was not surplus.
    bool m_isShortageReported = false;
};

} // namespace godwit
