#include "passedover.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace godwit {

namespace {

/// Limits the length of a log line when many backend servers leave at once.
constexpr std::size_t MaxLoggedBackends = 8;

/// By UnavailabilityReason.
constexpr std::array<std::string_view, 3> ReasonNames{"leaving", "paused", "cold"};

struct Refusal
{
    ResultCode code;
    std::string_view detail;
};

/// By NoBackend::Reason.
constexpr std::array<Refusal, 6> Refusals{
        {{ResultCode::NoBackendKnown, "no backend server serves the request"},
         {ResultCode::QueueFull, "all backend servers are full"},
         {ResultCode::NoBackendEligible, "all backend servers are leaving"},
         {ResultCode::NoBackendEligible, "all backend servers want no requests for now"},
         {ResultCode::NoBackendEligible,
          "all backend servers are cold and get no requests for now"},
         {ResultCode::NoBackendEligible,
          "all backend servers are outside the allowed regions or in evacuated zones"}}};

const Refusal &refusalOf(const NoBackend &none)
{
    return Refusals[static_cast<std::size_t>(none.reason)];
}

std::string_view toString(UnavailabilityReason reason)
{
    return ReasonNames[static_cast<std::size_t>(reason)];
}

} // namespace

ResultCode refusalCode(const NoBackend &none)
{
    return refusalOf(none).code;
}

std::string refusalDetail(const NoBackend &none)
{
    std::string detail(refusalOf(none).detail);
    for (const auto reason : {UnavailabilityReason::Leaving, UnavailabilityReason::Paused,
                              UnavailabilityReason::Cold}) {
        const auto n = std::ranges::count_if(
                none.passedOver, [reason](const auto &it) { return it.why.reason == reason; });
        if (n > 0)
            detail += "; " + std::to_string(n) + ' ' + std::string(toString(reason));
    }
    return detail;
}

boost::json::array describePassedOver(const std::vector<PassedOverBackend> &backends,
                                      TimePoint arrivedAt)
{
    boost::json::array described;
    for (std::size_t i = 0; i < std::min(backends.size(), MaxLoggedBackends); ++i) {
        const PassedOverBackend &it = backends[i];
        boost::json::object entry{{"backend", it.id.value()},
                                  {"reason", std::string(toString(it.why.reason))}};
        if (it.why.until)
            entry["until_ms"] = toMilliseconds(*it.why.until - arrivedAt);
        described.push_back(std::move(entry));
    }
    return described;
}

} // namespace godwit
