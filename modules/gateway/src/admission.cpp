#include <godwit/gateway/admission.h>

#include <algorithm>

namespace godwit {

namespace {

/// Limit of the wait that not even a free slot meets.
constexpr Duration NoSlot{-1};

/// At least half of \a limit is left, so that requests still queue and errors are still measured.
Duration subtractMargin(Duration limit, Duration margin)
{
    return limit - std::clamp(margin, Duration::zero(), std::max(Duration::zero(), limit / 2));
}

} // namespace

std::variant<BackendChoice, NoBackend> admit(BackendPool &pool, BackendQuery &query,
                                             const AdmissionLimits &limits,
                                             const DemandTreatment &treatment, TimePoint now)
{
    if (treatment.isSurplus) {
        query.urgency = RequestUrgency::Late;
        query.priority = LeastUrgentPriority;
        query.maxQueueDelay = treatment.isRefused ? NoSlot : Duration::zero();
        return pool.choose(query, now);
    }
    query.urgency = RequestUrgency::OnTime;
    query.priority = treatment.priority;
    query.maxQueueDelay = subtractMargin(limits.onTime, treatment.waitMargin);
    auto found = pool.choose(query, now);
    const auto *none = std::get_if<NoBackend>(&found);
    if (!none || none->reason != NoBackend::Reason::AllFull)
        return found;
    query.urgency = RequestUrgency::Late;
    query.maxQueueDelay = subtractMargin(limits.late, treatment.waitMargin);
    return pool.choose(query, now);
}

std::optional<AdmissionResult> admissionResult(const std::variant<BackendChoice, NoBackend> &found,
                                               RequestUrgency urgency,
                                               const DemandTreatment &treatment)
{
    if (const auto *choice = std::get_if<BackendChoice>(&found)) {
        // A late request that finds a free slot is late because of its caller.
        return urgency == RequestUrgency::Late && !choice->hasFreeSlot
                       ? AdmissionResult::AdmittedLate
                       : AdmissionResult::Admitted;
    }
    const auto &none = std::get<NoBackend>(found);
    // Without a wait there are free slots, at backend servers that the request must not use.
    const bool isFull = treatment.isRefused || none.shortestWait > Duration::zero();
    return none.reason == NoBackend::Reason::AllFull && isFull
                   ? std::optional(AdmissionResult::Refused)
                   : std::nullopt;
}

} // namespace godwit
