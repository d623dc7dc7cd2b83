#include <godwit/gateway/demandtracker.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwit {

namespace {

/// Time for which a request that was refused or late counts as a shortage. Callers expect service
/// as usual within one or two seconds after the load has fallen.
constexpr Duration ShortagePeriod = std::chrono::seconds(1);
/// A shortage is reported as ended when there was none for this long.
constexpr Duration QuietPeriod = std::chrono::seconds(10);

constexpr Duration ShortRun = std::chrono::seconds(1);
constexpr Duration LongRun = std::chrono::seconds(10);
/// Time in which the share of admitted requests is measured.
constexpr Duration SharePeriod = std::chrono::seconds(4);

/// Demand above this multiple of the long-run rate is surplus.
constexpr double ToleratedGrowth = 1.25;
/// Demand above this multiple of the long-run rate does not count towards it, so that the first
/// second of a burst, before there is a shortage, is not taken for usual. In a shortage the
/// multiple is ToleratedGrowth, or else a lasting flood would be usual after some seconds.
constexpr double MaxGrowth = 2;
/// Share of surplus in a demand from which on it is a burst. Smaller shares occur by chance.
constexpr double MinBurstShare = 0.2;
/// Requests within the short run that are no surplus, whatever the long-run rate. A customer with a
/// request now and then would otherwise exceed its rate with each of them.
constexpr double ToleratedRequests = 2;

/// A kind or customer whose relative share of admitted requests is smaller is spared. No customer
/// may get less than half of the mean, no kind less than a quarter.
constexpr double MinRelativeShare = 0.5;
/// With a smaller one, it is as urgent as the most urgent requests. Lies between the share that is
/// aimed at and a quarter, so that the correction takes effect before the bound is reached.
constexpr double CriticalRelativeShare = 0.375;
/// Number of expected requests that an admission share is blended with.
constexpr double ExpectedRequests = 1;
/// Number of recent requests from which on a priority counts as being in use.
constexpr double MinRequestsInUse = 3;

/// Surplus takes no free slots for this long after another request was refused or late. The load
/// that is known of other processes is outdated, so that surplus would go on to take slots that
/// seem free, and the others would lose them.
constexpr Duration SurplusPause = std::chrono::milliseconds(500);

/// Weight of the newest request in the moving average of the work of a request.
constexpr double WorkWeight = 0.02;

/// Weight of the newest wait in the moving averages of the prediction error.
constexpr double WaitWeight = 0.1;
/// Margin for prediction errors, in mean deviations. If errors are distributed normally, 95 of 100
/// requests at the limit start in time.
constexpr double MarginDeviations = 2;

/// Limit on the entries of a table; some hundred bytes each.
constexpr std::size_t MaxEntries = 2048;

std::size_t indexOf(std::uint32_t priority)
{
    return std::min(priority, LeastUrgentPriority);
}

} // namespace

void DecayingSum::add(double amount, Duration timeConstant, TimePoint now)
{
    m_value = value(timeConstant, now) + amount;
    m_at = now;
}

double DecayingSum::value(Duration timeConstant, TimePoint now) const
{
    return m_value > 0 ? m_value * std::exp(-toSeconds(now - m_at) / toSeconds(timeConstant)) : 0;
}

void AdmissionShare::record(bool admitted, TimePoint now)
{
    m_requests.add(1, SharePeriod, now);
    if (admitted)
        m_admitted.add(1, SharePeriod, now);
}

double AdmissionShare::value(double expected, TimePoint now) const
{
    return (m_admitted.value(SharePeriod, now) + ExpectedRequests * expected)
           / (requests(now) + ExpectedRequests);
}

double AdmissionShare::requests(TimePoint now) const
{
    return m_requests.value(SharePeriod, now);
}

void WaitErrors::record(Duration predicted, Duration actual)
{
    const double error = toSeconds(actual - predicted);
    m_deviationSeconds += WaitWeight * (std::abs(error - m_meanSeconds) - m_deviationSeconds);
    m_meanSeconds += WaitWeight * (error - m_meanSeconds);
}

Duration WaitErrors::margin() const
{
    return fromSeconds(std::max(0.0, m_meanSeconds + MarginDeviations * m_deviationSeconds));
}

DemandTracker::Entry &DemandTracker::Table::find(const std::string &name)
{
    const auto known = m_positions.find(name);
    if (known != m_positions.end()) {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return m_entries.front();
    }
    if (m_entries.size() >= MaxEntries) {
        m_positions.erase(m_entries.back().name);
        m_entries.pop_back();
    }
    m_entries.push_front({.name = name, .rates = {}, .attributed = {}, .share = {}});
    m_positions.emplace(name, m_entries.begin());
    return m_entries.front();
}

DemandTracker::DemandTracker(Random random)
    : m_random(random)
{}

bool DemandTracker::isShortage(TimePoint now) const
{
    return m_lastShortage && now - *m_lastShortage <= ShortagePeriod;
}

std::optional<bool> DemandTracker::takeShortageChange(TimePoint now)
{
    const bool isShort = m_lastShortage && now - *m_lastShortage <= QuietPeriod;
    return std::exchange(m_isShortageReported, isShort) == isShort ? std::nullopt
                                                                   : std::optional(isShort);
}

double DemandTracker::usualRate(const Rates &rates, TimePoint now) const
{
    // Without the last second, which may be the begin of a burst.
    const double work =
            rates.longRun.value(LongRun, now) - rates.recentOfLongRun.value(ShortRun, now);
    const double age = toSeconds(now - *m_firstArrival);
    const double observed = toSeconds(LongRun) * (1 - std::exp(-age / toSeconds(LongRun)))
                            - toSeconds(ShortRun) * (1 - std::exp(-age / toSeconds(ShortRun)));
    return observed > 0 ? std::max(0.0, work / observed) : 0;
}

double DemandTracker::excessShare(const Rates &rates, TimePoint now) const
{
    // A process that has just started does not know the usual demand.
    if (now - *m_firstArrival < ShortRun)
        return 0;
    const double recent = rates.shortRun.value(ShortRun, now) / toSeconds(ShortRun);
    const double tolerated = ToleratedGrowth * usualRate(rates, now)
                             + ToleratedRequests * m_meanWork / toSeconds(ShortRun);
    return recent > tolerated ? 1 - tolerated / recent : 0;
}

double DemandTracker::commonSurplusShare(const Entry &kind, TimePoint now) const
{
    const double demand = kind.rates.shortRun.value(ShortRun, now);
    const double attributed = demand > 0 ? kind.attributed.value(ShortRun, now) / demand : 0;
    const double ofKind = excessShare(kind.rates, now);
    return ofKind > attributed ? (ofKind - attributed) / (1 - attributed) : 0;
}

void DemandTracker::recordDemand(Rates &rates, double work, TimePoint now) const
{
    rates.shortRun.add(work, ShortRun, now);
    double usual = work;
    if (now - *m_firstArrival >= LongRun) {
        const double recent = rates.shortRun.value(ShortRun, now) / toSeconds(ShortRun);
        const double rate = usualRate(rates, now);
        const double limit =
                isShortage(now)
                        ? ToleratedGrowth * rate
                        : MaxGrowth * rate + ToleratedRequests * m_meanWork / toSeconds(ShortRun);
        usual *= std::min(1.0, limit / recent);
    }
    rates.longRun.add(usual, LongRun, now);
    rates.recentOfLongRun.add(usual, ShortRun, now);
}

double DemandTracker::relativeShare(const Entry &entry, TimePoint now) const
{
    const double mean = m_share.value(1, now);
    return mean > 0 ? entry.share.value(mean, now) / mean : 1;
}

bool DemandTracker::isOvertaken(std::uint32_t priority, TimePoint now) const
{
    const double mean = m_share.value(1, now);
    const std::size_t own = indexOf(priority);
    const double ownShare = m_shares[own].value(mean, now);
    return std::any_of(m_shares.begin() + static_cast<std::ptrdiff_t>(own) + 1, m_shares.end(),
                       [&](const AdmissionShare &it) {
                           return it.requests(now) >= MinRequestsInUse
                                  && it.value(mean, now) > ownShare;
                       });
}

std::uint32_t DemandTracker::raisedPriority(std::uint32_t priority, double relativeShare,
                                            TimePoint now) const
{
    if (relativeShare >= MinRelativeShare)
        return priority;
    std::uint32_t raised = priority;
    for (std::uint32_t i = static_cast<std::uint32_t>(indexOf(priority)); i-- > 0;) {
        if (m_shares[i].requests(now) < MinRequestsInUse)
            continue;
        raised = i;
        if (relativeShare >= CriticalRelativeShare)
            break;
    }
    return raised;
}

DemandTreatment DemandTracker::onArrival(const Demand &demand, TimePoint now)
{
    if (!m_firstArrival)
        m_firstArrival = now;
    m_meanWork =
            m_meanWork > 0 ? m_meanWork + WorkWeight * (demand.work - m_meanWork) : demand.work;
    Entry &kind = m_kinds.find(demand.kind);
    Entry &customer = m_customers.find(demand.customer.value());
    Entry &caller = m_callers.find(demand.kind + '\n' + demand.customer.value());
    DemandTreatment treatment;
    treatment.priority = demand.priority;
    if (isShortage(now)) {
        const double share = std::min(relativeShare(kind, now), relativeShare(customer, now));
        treatment.priority = raisedPriority(demand.priority, share, now);
        treatment.waitMargin = m_waitErrors[indexOf(treatment.priority)].margin();
        const double own = excessShare(caller.rates, now);
        const double surplus = own + (1 - own) * commonSurplusShare(kind, now);
        const bool mayYield =
                share >= MinRelativeShare && !isOvertaken(demand.priority, now) && surplus > 0;
        // Surplus is drawn at random, so the usual part of a burst yields to other requests too.
        if (mayYield && surplus >= MinBurstShare)
            treatment.priority =
                    std::max(demand.priority, std::min(demand.priority + 1, LeastUrgentPriority));
        treatment.isSurplus = mayYield && m_random.chance(surplus);
        treatment.isRefused = treatment.isSurplus && m_lastUsualRefusal
                              && now - *m_lastUsualRefusal <= SurplusPause;
        kind.attributed.add(own * demand.work, ShortRun, now);
    }
    recordDemand(kind.rates, demand.work, now);
    recordDemand(caller.rates, demand.work, now);
    return treatment;
}

void DemandTracker::recordWait(std::uint32_t priority, Duration predicted, Duration actual)
{
    m_waitErrors[indexOf(priority)].record(predicted, actual);
}

void DemandTracker::onResult(const Demand &demand, const DemandTreatment &treatment,
                             AdmissionResult result, TimePoint now)
{
    if (result != AdmissionResult::Admitted)
        m_lastShortage = now;
    if (result != AdmissionResult::Admitted && !treatment.isSurplus)
        m_lastUsualRefusal = now;
    const bool admitted = result != AdmissionResult::Refused;
    m_kinds.find(demand.kind).share.record(admitted, now);
    m_customers.find(demand.customer.value()).share.record(admitted, now);
    m_shares[indexOf(demand.priority)].record(admitted, now);
    m_share.record(admitted, now);
}

} // namespace godwit
