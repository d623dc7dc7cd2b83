#pragma once

#include <godwit/requests/slotsettings.h>

#include <cstdint>
#include <string>

namespace godwit::test {

/// Results of one or more fault runs. The first five counters count violations and must stay 0.
struct FaultRunResult
{
    std::uint64_t executedTwice = 0; ///< Keys that backend servers ran more than once.
    /// Responses that contain bytes of another version or position.
    std::uint64_t mixedResponses = 0;
    std::uint64_t misroutedResponses = 0; ///< Responses that belong to another request.
    /// Calls that ended with not_run although the request or key ran.
    std::uint64_t falseNotRun = 0;
    std::uint64_t unansweredCalls = 0; ///< Calls that a running entry process never answered.

    std::uint64_t calls = 0;
    std::uint64_t completeResponses = 0;
    std::uint64_t notRun = 0;
    std::uint64_t ranWithoutResponse = 0; ///< Calls that ended with ran, but without the response.
    std::uint64_t unknown = 0;
    std::uint64_t executions = 0;
    std::uint64_t faults = 0;
    std::uint64_t documentWrites = 0;
    /// Keys dispatched on promises during an outage of the key-value service.
    std::uint64_t outageExecutions = 0;
    std::string firstViolation;

    bool isClean() const
    {
        return executedTwice + mixedResponses + misroutedResponses + falseNotRun + unansweredCalls
               == 0;
    }
    FaultRunResult &operator+=(const FaultRunResult &other);
};

/// Settings of the hosts in the fault runs: lease and promise as in production, but a short
/// retention time.
SlotSettings faultRunSettings();

/// Simulates two entry processes, three hosts, a key-value service, backend servers and callers for
/// two minutes of virtual time, with faults chosen by \a seed.
FaultRunResult runFaults(std::uint64_t seed, const SlotSettings &settings = faultRunSettings());

} // namespace godwit::test
