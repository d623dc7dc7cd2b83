#pragma once

#include <godwit/base/time.h>
#include <godwit/standin/fleetenginestandin.h>

#include <map>
#include <string>
#include <vector>

namespace godwit {

/// What a client of the soak saw of one attempt.
struct SoakOutcome
{
    standin::FleetAttempt attempt;
    std::string customer; ///< That owns the key; empty if the key was never configured.
    bool hasRoute = true; ///< A configuration of the run has had its route.
    int status = 0;       ///< 0 without a response.
    bool isComplete = false;
    bool gaveUp = false;
    HttpHeaders headers;
    std::string body;
    TimePoint sent;
    TimePoint ended;
};

/// Everything that the promises of a run are judged by.
struct SoakRecord
{
    std::vector<SoakOutcome> outcomes;
    standin::FleetLedger ledger;
    std::map<std::string, TimePoint> revokedKeys; ///< When the store acknowledged it.
    std::vector<std::string> problems;            ///< That were seen while the run lasted.
};

/// Whether a status promises that the request has not run and will not.
bool isRefusal(int status);

/// Each broken promise of \a record in one line: wrong or incomplete responses that look right,
/// requests that ran too often, after a refusal, without a route or key, for another customer or
/// with two versions of the weights, and loads of pieces that do not belong together.
std::vector<std::string> brokenPromises(const SoakRecord &record);

} // namespace godwit
