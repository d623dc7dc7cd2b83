#pragma once

#include <godwit/gateway/backendpool.h>
#include <godwit/gateway/demandtracker.h>

#include <optional>
#include <variant>

namespace godwit {

/// Limits on the predicted wait of a request for a slot.
struct AdmissionLimits
{
    Duration onTime{0}; ///< Within which the response meets its objective.
    Duration late{0};   ///< Within which a response that misses it is of use.
};

/// Selects a backend server at which the request starts in time, or one for late requests if there
/// is none. Sets the urgency and the priority of \a query to those with which the request is to be
/// queued. A surplus request is not queued: it takes a free slot behind all others, or none.
std::variant<BackendChoice, NoBackend> admit(BackendPool &pool, BackendQuery &query,
                                             const AdmissionLimits &limits,
                                             const DemandTreatment &treatment, TimePoint now);

/// What \a found means for the demand of the service; none if the reason is not a lack of slots.
std::optional<AdmissionResult> admissionResult(const std::variant<BackendChoice, NoBackend> &found,
                                               RequestUrgency urgency,
                                               const DemandTreatment &treatment);

} // namespace godwit
