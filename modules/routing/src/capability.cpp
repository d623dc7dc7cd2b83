#include <godwit/routing/capability.h>

#include <algorithm>
#include <string_view>

namespace godwit {

namespace {

constexpr std::array<std::string_view, IneligibleReasonCount> IneligibleReasonNames{
        "none",       "not permitted", "leaving",       "drained",       "unreachable",
        "wrong role", "wrong model",   "wrong adapter", "wrong version", "excluded"};

bool matches(const ModelPin &pin, const RoutingRequest &request)
{
    return pin == request.pin
           || std::ranges::find(request.alternatives, pin) != request.alternatives.end();
}

IneligibleReason checkPin(const std::vector<ModelPin> &loaded, const RoutingRequest &request)
{
    IneligibleReason closest = IneligibleReason::WrongModel;
    for (const ModelPin &it : loaded) {
        if (matches(it, request))
            return IneligibleReason::None;
        // The alternatives differ from the pin in the version only.
        if (it.model == request.pin.model)
            closest = std::max(closest, it.adapter == request.pin.adapter
                                                ? IneligibleReason::WrongVersion
                                                : IneligibleReason::WrongAdapter);
    }
    return closest;
}

} // namespace

IneligibleReason checkEligibility(const Backend &backend, bool reachable,
                                  const RoutingRequest &request)
{
    if (!backend.allowedDeployments.contains(request.deployment))
        return IneligibleReason::NotPermitted;
    if (backend.servingState == ServingState::Leaving)
        return IneligibleReason::Leaving;
    if (backend.servingState == ServingState::Drained)
        return IneligibleReason::Drained;
    if (!reachable)
        return IneligibleReason::Unreachable;
    if (backend.role != EngineRole::Mixed && backend.role != request.role)
        return IneligibleReason::WrongRole;
    const IneligibleReason pin = checkPin(backend.loaded, request);
    if (pin != IneligibleReason::None)
        return pin;
    return std::ranges::find(request.excluded, backend.id) == request.excluded.end()
                   ? IneligibleReason::None
                   : IneligibleReason::Excluded;
}

const ModelPin *findMatchingPin(const Backend &backend, const RoutingRequest &request)
{
    const auto it = std::ranges::find_if(
            backend.loaded, [&](const ModelPin &pin) { return matches(pin, request); });
    return it == backend.loaded.end() ? nullptr : &*it;
}

std::string toString(const IneligibleCounts &counts)
{
    std::string text;
    for (std::size_t i = 1; i < IneligibleReasonCount; ++i) {
        if (counts[i] == 0)
            continue;
        text += (text.empty() ? "" : ", ") + std::to_string(counts[i]) + ' ';
        text += IneligibleReasonNames[i];
    }
    return text.empty() ? "none" : text;
}

} // namespace godwit
