#pragma once

#include "callers.h"
#include "fleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace godwit {

/// Request counts by the state that the callers observed, and counts of violated guarantees.
struct Verdict
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t ran = 0;  ///< Refused with the state `ran`: the answer is no longer available.
    std::uint64_t lost = 0; ///< No complete final answer, or an answer without a run.
    std::uint64_t duplicated =
            0;               ///< Bookings that ran more than once, or although reported as not run.
    std::uint64_t mixed = 0; ///< Answers that mix versions or are for another request.
    std::uint64_t falseNotRun = 0; ///< Requests reported as not run that a ledger lists as run.

    /// Counts of unanswered requests by kind of request, state and last error.
    std::map<std::string, std::uint64_t> reasons;

    bool isClean() const { return lost == 0 && duplicated == 0 && mixed == 0 && falseNotRun == 0; }
};

/// Compares the records of the callers with the ledgers of the stand-ins of \a fleet. Runs of
/// bookings count only if their key starts with \a keyPrefix.
Verdict evaluateRequests(const std::vector<CallerRecord> &records, Fleet &fleet,
                         std::string_view keyPrefix);

} // namespace godwit
