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

/// Weight of the newest request in the moving average of the work of a request.
constexpr double WorkWeight = 0.02;

/// Limit on the kinds, and on the customers, that are remembered; some hundred bytes each.
constexpr std::size_t MaxEntries = 1024;

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
    m_entries.push_front({.name = name, .rates = {}, .share = {}});
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

double DemandTracker::excessShare(const Rates &rates, TimePoint now) const
{
    const Duration age = now - *m_firstArrival;
    // A process that has just started does not know the usual demand.
    if (age < ShortRun)
        return 0;
    const double observed = 1 - std::exp(-toSeconds(age) / toSeconds(LongRun));
    const double usual = rates.longRun.value(LongRun, now) / toSeconds(LongRun) / observed;
    const double recent = rates.shortRun.value(ShortRun, now) / toSeconds(ShortRun);
    const double tolerated =
            ToleratedGrowth * usual + ToleratedRequests * m_meanWork / toSeconds(ShortRun);
    return recent > tolerated ? 1 - tolerated / recent : 0;
}

double DemandTracker::surplusShare(const Entry &kind, const Entry &customer, TimePoint now) const
{
    const double ofKind = excessShare(kind.rates, now);
    if (customer.name.empty())
        return ofKind;
    // If customers grow as much as the service, the reason is not one of them. A burst of one kind
    // would otherwise make the other kinds of the same customers surplus as well.
    const double ofService = excessShare(m_rates, now);
    const double ofCustomer = excessShare(customer.rates, now);
    return std::max(ofKind,
                    ofCustomer > ofService ? (ofCustomer - ofService) / (1 - ofService) : 0);
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
    DemandTreatment treatment;
    treatment.priority = demand.priority;
    if (isShortage(now)) {
        const double share = std::min(relativeShare(kind, now), relativeShare(customer, now));
        treatment.priority = raisedPriority(demand.priority, share, now);
        treatment.isSurplus = m_random.chance(surplusShare(kind, customer, now))
                              && share >= MinRelativeShare && !isOvertaken(demand.priority, now);
    }
    for (Rates *it : {&kind.rates, &customer.rates, &m_rates}) {
        it->shortRun.add(demand.work, ShortRun, now);
        // Surplus does not count, or else a lasting flood would be the usual demand after some
        // seconds.
        if (!treatment.isSurplus)
            it->longRun.add(demand.work, LongRun, now);
    }
    return treatment;
}

void DemandTracker::onResult(const Demand &demand, AdmissionResult result, TimePoint now)
{
    if (result != AdmissionResult::Admitted)
        m_lastShortage = now;
    const bool admitted = result != AdmissionResult::Refused;
    m_kinds.find(demand.kind).share.record(admitted, now);
    m_customers.find(demand.customer.value()).share.record(admitted, now);
    m_shares[indexOf(demand.priority)].record(admitted, now);
    m_share.record(admitted, now);
}

} // namespace godwit
