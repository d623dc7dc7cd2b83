#pragma once

#include <godwit/requests/slotsettings.h>

#include <cstdint>
#include <string>

namespace godwit::test {

/// What one or more fault runs found. The first five must stay 0.
struct FaultRunResult
{
    std::uint64_t executedTwice = 0;      ///< Keys that the backend servers ran more than once.
    std::uint64_t mixedResponses = 0;     ///< Responses with bytes of another version or position.
    std::uint64_t misroutedResponses = 0; ///< Responses of another request.
    std::uint64_t falseNotRun = 0;        ///< Calls told not_run whose request or key had run.
    std::uint64_t unansweredCalls = 0;    ///< Calls that a living entry never answered.

    std::uint64_t calls = 0;
    std::uint64_t completeResponses = 0;
    std::uint64_t notRun = 0;
    std::uint64_t ranWithoutResponse = 0; ///< Without the response.
    std::uint64_t unknown = 0;
    std::uint64_t executions = 0;
    std::uint64_t faults = 0;
    std::uint64_t documentWrites = 0;
    std::uint64_t outageExecutions = 0; ///< Keys run on promises.
    std::string firstViolation;

    bool isClean() const
    {
        return executedTwice + mixedResponses + misroutedResponses + falseNotRun + unansweredCalls
               == 0;
    }
    FaultRunResult &operator+=(const FaultRunResult &other);
};

/// Settings of the hosts in the fault runs: times as in production, but a short retention.
SlotSettings faultRunSettings();

/// Runs two entries, three hosts, a key-value service, backend servers and callers for two minutes
/// of virtual time, with faults chosen by \a seed.
FaultRunResult runFaults(std::uint64_t seed, const SlotSettings &settings = faultRunSettings());

} // namespace godwit::test
