#include "verdict.h"

#include <set>

namespace godwit {

Verdict evaluateRequests(const std::vector<CallerRecord> &records, Fleet &fleet,
                         std::string_view keyPrefix)
{
    std::map<std::string, std::uint64_t> bookings;
    for (const auto &ledger : fleet.bookingLedgers()) {
        for (const auto &run : ledger) {
            if (run.key.starts_with(keyPrefix))
                ++bookings[run.key];
        }
    }
    std::set<std::string> started;
    std::set<std::string> finished;
    for (const auto &ledger : fleet.engineLedgers()) {
        for (const auto &run : ledger.runs) {
            if (run.outcome == standin::RunOutcome::Finished)
                finished.insert(run.request.value());
            if (run.outcome != standin::RunOutcome::Queued
                && run.outcome != standin::RunOutcome::Dropped)
                started.insert(run.request.value());
        }
    }
    Verdict verdict;
    verdict.requests = records.size();
    for (const auto &record : records) {
        const bool isAnswered = record.state == "answered";
        const bool hasRun =
                record.key.empty() ? finished.contains(record.request) : bookings[record.key] > 0;
        verdict.answered += isAnswered;
        verdict.notRun += record.state == "not_run";
        verdict.unknown += record.state == "unknown";
        verdict.ran += record.state == "ran";
        if (!isAnswered)
            ++verdict.reasons[(record.key.empty() ? "completion " : "booking ") + record.state + ' '
                              + record.reason];
        // An answer to a request that did not run counts as lost, like a missing final answer. A
        // booking that was reported as not run but ran counts as duplicated too, since its caller
        // would book again.
        verdict.lost += record.state == "lost" || record.state == "broken" || record.isIncomplete
                        || (isAnswered && !hasRun);
        const bool isFalseBooking = !record.key.empty() && record.state == "not_run" && hasRun;
        verdict.duplicated += isFalseBooking;
        verdict.falseNotRun += isFalseBooking;
        verdict.mixed += record.isMixed;
        for (const auto &request : record.refused)
            verdict.falseNotRun += started.contains(request);
    }
    for (const auto &[key, count] : bookings)
        verdict.duplicated += count > 1;
    return verdict;
}

} // namespace godwit
