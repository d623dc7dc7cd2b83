#include "soakrecord.h"

#include <algorithm>

namespace godwit {

namespace {

using standin::FleetRequestKind;
using standin::FleetRun;

/// Within this time a key that was taken away is refused everywhere.
constexpr Duration KeyRevocation = std::chrono::milliseconds(5000);
constexpr std::size_t MostAttempts = 3;
constexpr std::size_t MostAttemptsOfBooking = 2;

using Runs = std::vector<const FleetRun *>;
using Check = std::string (*)(const SoakRecord &, const SoakOutcome &, const Runs &);

std::string wholeStream(const std::string &attempt)
{
    std::string text;
    for (std::uint64_t number = 1; number <= standin::FleetStreamEventCount; ++number)
        text += standin::streamEvent(attempt, number);
    return text;
}

std::string checkResponse(const SoakRecord &, const SoakOutcome &outcome, const Runs &)
{
    if (outcome.status != 200)
        return {};
    if (outcome.attempt.kind != FleetRequestKind::Stream) {
        const bool isWhole =
                standin::isSealedReply(outcome.headers, outcome.body, outcome.attempt.id);
        return outcome.isComplete && !isWhole ? "the response is not that of the server" : "";
    }
    const std::string whole = wholeStream(outcome.attempt.id);
    if (!whole.starts_with(outcome.body))
        return "events are missing, repeated or of another stream";
    return outcome.isComplete && outcome.body != whole ? "the stream ended before its last event"
                                                       : "";
}

std::string checkDenial(const SoakRecord &record, const SoakOutcome &outcome, const Runs &)
{
    // A route that was added may not be known yet, or no longer.
    const bool isProper = outcome.attempt.route.empty() && !outcome.customer.empty()
                          && !record.revokedKeys.contains(outcome.attempt.key);
    const bool isDenied = outcome.status == 401 || outcome.status == 403 || outcome.status == 404;
    return isProper && isDenied ? "denied with " + std::to_string(outcome.status) : "";
}

std::string checkRuns(const SoakRecord &, const SoakOutcome &outcome, const Runs &runs)
{
    if (runs.empty())
        return {};
    const bool isBooking = outcome.attempt.kind == FleetRequestKind::Booking;
    if (isBooking && runs.size() > 1)
        return "ran " + std::to_string(runs.size()) + " times";
    if (isBooking && isRefusal(outcome.status))
        return "ran, and was refused with " + std::to_string(outcome.status);
    if (runs.size() > (isBooking ? MostAttemptsOfBooking : MostAttempts))
        return "ran on more engines than its route allows";
    if (outcome.customer.empty())
        return "ran with a key that was never configured";
    return outcome.hasRoute ? "" : "ran without a route";
}

std::string checkForwarding(const SoakRecord &, const SoakOutcome &outcome, const Runs &runs)
{
    for (const FleetRun *it : runs) {
        if (it->customer != outcome.customer)
            return "ran for the customer " + it->customer;
        if (it->hasAuthorization)
            return "an engine was shown the key";
    }
    return {};
}

// A run from the first event on may have other weights: of those before, the client saw nothing.
std::string checkWeights(const SoakRecord &, const SoakOutcome &, const Runs &runs)
{
    std::uint64_t version = 0;
    for (const FleetRun *it : runs) {
        if (it->firstEvent > 1 && it->version != version)
            return "went on with other weights";
        version = it->version;
    }
    return {};
}

std::string checkRevocation(const SoakRecord &record, const SoakOutcome &outcome, const Runs &runs)
{
    const auto revoked = record.revokedKeys.find(outcome.attempt.key);
    const bool isLate =
            revoked != record.revokedKeys.end() && outcome.sent > revoked->second + KeyRevocation;
    return isLate && !runs.empty() ? "ran with a key that was taken away" : "";
}

constexpr Check Checks[] = {checkResponse,   checkDenial,  checkRuns,
                            checkForwarding, checkWeights, checkRevocation};

} // namespace

bool isRefusal(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::vector<std::string> brokenPromises(const SoakRecord &record)
{
    std::vector<std::string> broken = record.problems;
    broken.insert(broken.end(), record.ledger.invalidLoads.begin(),
                  record.ledger.invalidLoads.end());
    std::map<std::string, Runs> runs;
    for (const FleetRun &it : record.ledger.runs)
        runs[it.attempt].push_back(&it);
    for (const SoakOutcome &outcome : record.outcomes) {
        for (const Check check : Checks) {
            const std::string problem = check(record, outcome, runs[outcome.attempt.id]);
            if (!problem.empty())
                broken.push_back(outcome.attempt.id + ": " + problem);
        }
        runs.erase(outcome.attempt.id);
    }
    for (const auto &[attempt, unknown] : runs)
        broken.push_back(attempt + ": ran, and no client sent it");
    return broken;
}

} // namespace godwit
