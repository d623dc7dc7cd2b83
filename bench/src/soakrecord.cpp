#include "soakrecord.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace godwit {

namespace {

using standin::FleetArrival;
using standin::FleetRun;
using standin::FleetWrongPiece;

/// Time after which every process must refuse a revoked key.
constexpr Duration KeyRevocationLimit = std::chrono::milliseconds(5000);
/// The platform tolerates pieces that turned corrupt at most this long before an engine took them.
constexpr Duration ToleratedCorruption = std::chrono::milliseconds(3000);
constexpr std::size_t MaxAttempts = 3;
/// Requests that are on their way when a server states a retry time may still arrive for this long.
constexpr Duration RetryAfterGrace = std::chrono::milliseconds(500);
constexpr std::ptrdiff_t MaxEarlyArrivals = 2;

using Runs = std::vector<const FleetRun *>;
using Check = std::string (*)(const SoakRecord &, const SoakOutcome &, const Runs &);

std::string expectedStream(const std::string &attempt)
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
    if (!isStream(outcome.attempt.kind)) {
        const bool isIntact =
                standin::isSealedReply(outcome.headers, outcome.body, outcome.attempt.id);
        return outcome.isComplete && !isIntact
                       ? "the response does not match the seal of the server"
                       : "";
    }
    const std::string expected = expectedStream(outcome.attempt.id);
    if (!expected.starts_with(outcome.body))
        return "events are missing, repeated or of another stream";
    return outcome.isComplete && outcome.body != expected ? "the stream ended before its last event"
                                                          : "";
}

std::string checkDenial(const SoakRecord &record, const SoakOutcome &outcome, const Runs &)
{
    // Requests on added routes are not checked: a process may not know the route yet, or no longer.
    const bool isValid = outcome.attempt.route.empty() && !outcome.customer.empty()
                         && !record.revokedKeys.contains(outcome.attempt.key);
    const bool isDenied = outcome.status == 401 || outcome.status == 403 || outcome.status == 404;
    return isValid && isDenied ? "valid, but denied with " + std::to_string(outcome.status) : "";
}

std::string checkRuns(const SoakRecord &, const SoakOutcome &outcome, const Runs &runs)
{
    if (runs.empty())
        return {};
    const bool isOnce = runsAtMostOnce(outcome.attempt.kind);
    if (isOnce && runs.size() > 1)
        return "ran " + std::to_string(runs.size()) + " times";
    if (isOnce && isRefusal(outcome.status))
        return "ran although it was refused with " + std::to_string(outcome.status);
    if (runs.size() > MaxAttempts)
        return "ran more often than its route allows";
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
            return "the API key was forwarded to an engine";
    }
    return {};
}

// A run that starts at the first event may use other weights, since the client received no event of
// the runs before it.
std::string checkWeights(const SoakRecord &, const SoakOutcome &, const Runs &runs)
{
    std::uint64_t version = 0;
    for (const FleetRun *it : runs) {
        if (it->firstEvent > 1 && it->version != version)
            return "resumed with a different version of the weights";
        version = it->version;
    }
    return {};
}

std::string describe(const FleetWrongPiece &wrong)
{
    const std::string taken = "layer " + std::to_string(wrong.layer) + " was taken with piece "
                              + std::to_string(wrong.piece);
    switch (wrong.fault) {
    case FleetWrongPiece::Fault::Missing:
        return taken + " missing";
    case FleetWrongPiece::Fault::OtherVersion:
        return taken + " of another version";
    case FleetWrongPiece::Fault::Corrupt:
        break;
    }
    return taken + " corrupt for " + std::to_string(toSeconds(wrong.takenAt - wrong.corruptSince))
           + " s";
}

std::string checkIntegrity(const SoakRecord &, const SoakOutcome &, const Runs &runs)
{
    for (const FleetRun *run : runs) {
        for (const FleetWrongPiece &it : run->wrongPieces) {
            if (it.fault != FleetWrongPiece::Fault::Corrupt
                || it.takenAt - it.corruptSince > ToleratedCorruption)
                return "ran on corrupt weights at " + run->engine + ": " + describe(it);
        }
    }
    return {};
}

std::string checkRevocation(const SoakRecord &record, const SoakOutcome &outcome, const Runs &runs)
{
    const auto revoked = record.revokedKeys.find(outcome.attempt.key);
    const bool isLate = revoked != record.revokedKeys.end()
                        && outcome.sent > revoked->second + KeyRevocationLimit;
    return isLate && !runs.empty() ? "ran with a revoked key" : "";
}

constexpr Check Checks[] = {checkResponse, checkDenial,    checkRuns,      checkForwarding,
                            checkWeights,  checkIntegrity, checkRevocation};

bool hasRestarted(const SoakRecord &record, std::size_t entry, TimePoint since, TimePoint before)
{
    return std::ranges::any_of(record.entryStarts, [&](const auto &it) {
        return it.first == entry && it.second > since && it.second < before;
    });
}

/// Finds requests that a client sent to an entry process after it had passed on a response in which
/// a backend server states that it leaves, and that ran at this server all the same. A restart of
/// the entry process excuses it.
void findRunsAtLeavingServers(const SoakRecord &record, const std::map<std::string, Runs> &runs,
                              std::vector<std::string> &broken)
{
    using EntryAndServer = std::pair<std::size_t, std::string>;
    std::map<EntryAndServer, TimePoint> known;
    for (const SoakOutcome &it : record.outcomes) {
        const auto found = runs.find(it.attempt.id);
        // The response is that of the only run.
        if (!it.headers.find("Server-Leaving") || found == runs.end() || found->second.size() != 1)
            continue;
        const auto at =
                known.try_emplace({it.entry, found->second.front()->engine}, it.headAt).first;
        at->second = std::min(at->second, it.headAt);
    }
    for (const SoakOutcome &it : record.outcomes) {
        const auto found = runs.find(it.attempt.id);
        if (found == runs.end())
            continue;
        for (const FleetRun *run : found->second) {
            const auto leaving = known.find({it.entry, run->engine});
            if (leaving != known.end() && it.sent > leaving->second
                && !hasRestarted(record, it.entry, leaving->second, run->at))
                broken.push_back(it.attempt.id + ": ran at the leaving server " + run->engine);
        }
    }
}

/// Returns the retry time in \a text; the first of several, and zero if it is malformed.
Duration retryTime(const std::string &text)
{
    double seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return fromSeconds(std::max(0.0, seconds));
}

bool isDisturbed(const std::vector<SoakDisturbance> &disturbances, TimePoint from, TimePoint to)
{
    return std::ranges::any_of(disturbances, [&](const SoakDisturbance &it) {
        return it.from <= to && it.to >= from;
    });
}

template <typename Key>
std::vector<SoakDisturbance>
disturbancesOf(const std::map<Key, std::vector<SoakDisturbance>> &disturbances, const Key &key)
{
    const auto it = disturbances.find(key);
    return it == disturbances.end() ? std::vector<SoakDisturbance>() : it->second;
}

/// Finds more than MaxEarlyArrivals requests of an entry process at a backend server between
/// RetryAfterGrace after it has turned the process away with a retry time and the end of that time.
/// A restart or a pause of the process, or a fault of the connections to the server, excuses those
/// after it.
void findEarlyArrivals(const SoakRecord &record, std::vector<std::string> &broken)
{
    std::map<std::string, std::size_t> entryOf;
    for (const SoakOutcome &it : record.outcomes)
        entryOf[it.attempt.id] = it.entry;
    std::map<std::pair<std::size_t, std::string>, std::vector<const FleetArrival *>> arrivals;
    for (const FleetArrival &it : record.ledger.arrivals) {
        const auto entry = entryOf.find(it.attempt);
        if (entry != entryOf.end())
            arrivals[{entry->second, it.engine}].push_back(&it);
    }
    for (const auto &it : arrivals) {
        const auto &key = it.first;
        const auto &list = it.second;
        const auto pauses = disturbancesOf(record.entryPauses, key.first);
        const auto linkFaults = disturbancesOf(record.serverLinkFaults, key.second);
        const auto isEarly = [&](const FleetArrival &stated, const FleetArrival &arrival) {
            return arrival.at > stated.answeredAt + RetryAfterGrace
                   && arrival.at < stated.answeredAt + retryTime(stated.retryAfter)
                   && !hasRestarted(record, key.first, stated.answeredAt, arrival.at)
                   && !isDisturbed(pauses, stated.answeredAt, arrival.at)
                   && !isDisturbed(linkFaults, stated.answeredAt, arrival.at);
        };
        for (const FleetArrival *stated : list) {
            const auto early = std::ranges::count_if(
                    list, [&](const FleetArrival *arrival) { return isEarly(*stated, *arrival); });
            if (early > MaxEarlyArrivals)
                broken.push_back(stated->attempt + ": turned away with a retry time of "
                                 + stated->retryAfter + ", but " + std::to_string(early)
                                 + " requests reached " + key.second + " before its end");
        }
    }
}

/// Finds requests that began on weights of which a newer version had been acknowledged more than
/// VersionChangeLimit before. Faults of the store, of the connections to the server and of the
/// entry process since the acknowledgement excuse it; a silence of the server does not.
void findOutdatedRuns(const SoakRecord &record, std::vector<std::string> &broken)
{
    std::map<std::string, std::size_t> entryOf;
    for (const SoakOutcome &it : record.outcomes)
        entryOf[it.attempt.id] = it.entry;
    for (const FleetRun &run : record.ledger.runs) {
        const auto entry = entryOf.find(run.attempt);
        if (!run.begunAt || entry == entryOf.end())
            continue;
        const auto newer = record.versionTimes.upper_bound(run.version);
        if (newer == record.versionTimes.end()
            || *run.begunAt <= newer->second + VersionChangeLimit)
            continue;
        const TimePoint named = newer->second;
        const bool isExcused = isDisturbed(record.storeFaults, named, *run.begunAt)
                               || isDisturbed(disturbancesOf(record.serverLinkFaults, run.engine),
                                              named, *run.begunAt)
                               || isDisturbed(disturbancesOf(record.entryPauses, entry->second),
                                              named, *run.begunAt)
                               || hasRestarted(record, entry->second, named, *run.begunAt);
        if (!isExcused)
            broken.push_back(
                    run.attempt + ": began on version " + std::to_string(run.version) + " at "
                    + run.engine + ' ' + std::to_string(toMilliseconds(*run.begunAt - named))
                    + " ms after version " + std::to_string(newer->first) + " was acknowledged");
    }
}

} // namespace

bool isRefusal(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::vector<std::string> findViolations(const SoakRecord &record)
{
    std::vector<std::string> broken = record.problems;
    broken.insert(broken.end(), record.ledger.invalidLoads.begin(),
                  record.ledger.invalidLoads.end());
    std::map<std::string, Runs> runs;
    for (const FleetRun &it : record.ledger.runs)
        runs[it.attempt].push_back(&it);
    findRunsAtLeavingServers(record, runs, broken);
    findEarlyArrivals(record, broken);
    findOutdatedRuns(record, broken);
    for (const SoakOutcome &outcome : record.outcomes) {
        for (const Check check : Checks) {
            const std::string problem = check(record, outcome, runs[outcome.attempt.id]);
            if (!problem.empty())
                broken.push_back(outcome.attempt.id + ": " + problem);
        }
        runs.erase(outcome.attempt.id);
    }
    for (const auto &[attempt, unknown] : runs)
        broken.push_back(attempt + ": ran, but no client sent it");
    return broken;
}

} // namespace godwit
