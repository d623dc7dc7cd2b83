#pragma once

#include <godwit/base/time.h>
#include <godwit/standin/fleetenginestandin.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace godwit {

/// Time after the acknowledgement of a version in which requests may begin on older ones.
constexpr Duration VersionChangeLimit = std::chrono::milliseconds(4000);

/// Outcome of one attempt as its client observed it.
struct SoakOutcome
{
    standin::FleetAttempt attempt;
    std::string customer;  ///< Owner of the key; empty if the key was never configured.
    std::size_t entry = 0; ///< Entry process that the client sent it to.
    bool hasRoute = true;  ///< Whether any configuration of the run had the route.
    int status = 0;        ///< 0 without a response.
    bool isComplete = false;
    bool isCancelled = false;
    HttpHeaders headers;
    std::string body;
    TimePoint sent;
    TimePoint headAt; ///< Arrival of the headers, if any.
    TimePoint ended;
};

/// A time span in which a process or a connection did not work.
struct SoakDisturbance
{
    TimePoint from;
    TimePoint to = TimePoint::max();
};

/// The observations of a run that findViolations() checks.
struct SoakRecord
{
    std::vector<SoakOutcome> outcomes;
    standin::FleetLedger ledger;
    std::map<std::string, TimePoint> revokedKeys; ///< Time at which the store acknowledged it.
    std::vector<std::pair<std::size_t, TimePoint>> entryStarts; ///< Of each entry process.
    /// Pauses of each entry process.
    std::map<std::size_t, std::vector<SoakDisturbance>> entryPauses;
    /// Faults and resets of the connections to each backend server, by its id.
    std::map<std::string, std::vector<SoakDisturbance>> serverLinkFaults;
    /// Times at which the store acknowledged versions of the weights for the first time.
    std::map<std::uint64_t, TimePoint> versionTimes;
    std::vector<SoakDisturbance> storeFaults; ///< Of the store and of the connections to it.
    std::vector<std::string> problems;        ///< Violations and bench errors of the run.
};

/// Whether \a status guarantees that the request has not run and will not run.
bool isRefusal(int status);

/// Returns one line for each violated guarantee in \a record: wrong or incomplete responses that
/// appear valid, valid requests that were denied, requests that ran too often, although refused,
/// without a route or a valid key, for another customer, with two versions of the weights, with
/// corrupt ones, or began on outdated ones,
/// requests at a backend server that an entry process must know to leave or to want none, and loads
/// of pieces that do not belong together.
std::vector<std::string> findViolations(const SoakRecord &record);

} // namespace godwit
