#include <godwit/gateway/admission.h>

namespace godwit {

std::variant<BackendChoice, NoBackend> admit(BackendPool &pool, BackendQuery &query,
                                             const AdmissionLimits &limits,
                                             const DemandTreatment &treatment, TimePoint now)
{
    if (treatment.isSurplus) {
        query.urgency = RequestUrgency::Late;
        query.priority = LeastUrgentPriority;
        query.maxQueueDelay = Duration::zero();
        return pool.choose(query, now);
    }
    query.urgency = RequestUrgency::OnTime;
    query.priority = treatment.priority;
    query.maxQueueDelay = limits.onTime;
    auto found = pool.choose(query, now);
    const auto *none = std::get_if<NoBackend>(&found);
    if (!none || none->reason != NoBackend::Reason::AllFull)
        return found;
    query.urgency = RequestUrgency::Late;
    query.maxQueueDelay = limits.late;
    return pool.choose(query, now);
}

std::optional<AdmissionResult> admissionResult(const std::variant<BackendChoice, NoBackend> &found,
                                               RequestUrgency urgency)
{
    if (const auto *choice = std::get_if<BackendChoice>(&found)) {
        // A late request that finds a free slot is late because of its caller.
        return urgency == RequestUrgency::Late && !choice->hasFreeSlot
                       ? AdmissionResult::AdmittedLate
                       : AdmissionResult::Admitted;
    }
    const auto &none = std::get<NoBackend>(found);
    // Without a wait there are free slots, at backend servers that the request must not use.
    return none.reason == NoBackend::Reason::AllFull && none.shortestWait > Duration::zero()
                   ? std::optional(AdmissionResult::Refused)
                   : std::nullopt;
}

} // namespace godwit
