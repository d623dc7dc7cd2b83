// The part of Gateway that tracks the demand of its services.
#include <godwit/gateway/gateway.h>

#include <godwit/observe/log.h>

namespace godwit {

namespace {

AdmissionClass classify(const DemandTreatment &treatment,
                        const std::variant<BackendChoice, NoBackend> &found, RequestUrgency urgency)
{
    const bool isAdmitted = std::holds_alternative<BackendChoice>(found);
    if (treatment.isSurplus)
        return isAdmitted ? AdmissionClass::Surplus : AdmissionClass::SurplusRefused;
    if (!isAdmitted)
        return AdmissionClass::Refused;
    return urgency == RequestUrgency::Late ? AdmissionClass::Late : AdmissionClass::OnTime;
}

} // namespace

DemandTreatment Gateway::recordDemand(const std::string &service, const Demand &demand)
{
    if (!m_options.ranksCallers)
        return {.priority = demand.priority};
    const TimePoint now = m_environment.scheduler.now();
    auto tracker = m_demandTrackers.find(service);
    if (tracker == m_demandTrackers.end())
        tracker = m_demandTrackers.emplace(service, DemandTracker(Random(m_random()))).first;
    const DemandTreatment treatment = tracker->second.onArrival(demand, now);
    if (treatment.priority < demand.priority)
        m_environment.metrics.recordRaisedPriority();
    return treatment;
}

void Gateway::recordAdmission(const std::string &service, const Demand &demand,
                              const DemandTreatment &treatment,
                              const std::variant<BackendChoice, NoBackend> &found,
                              RequestUrgency urgency)
{
    if (!m_options.ranksCallers)
        return;
    m_environment.metrics.recordAdmission(classify(treatment, found, urgency));
    const TimePoint now = m_environment.scheduler.now();
    DemandTracker &tracker = m_demandTrackers.at(service);
    if (const auto result = admissionResult(found, urgency, treatment))
        tracker.onResult(demand, treatment, *result, now);
    if (const auto begun = tracker.takeShortageChange(now))
        logStateChange(*begun ? "shortage_began" : "shortage_ended", {{"service", service}});
}

void Gateway::recordWait(const std::string &service, std::uint32_t priority, Duration predicted,
                         Duration actual)
{
    const auto tracker = m_demandTrackers.find(service);
    if (tracker != m_demandTrackers.end())
        tracker->second.recordWait(priority, predicted + m_backends.startDelay(service), actual);
}

} // namespace godwit
