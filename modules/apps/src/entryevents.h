#pragma once

#include "controlevents.h"
#include "enginegroup.h"
#include "hostreport.h"

#include <godwit/requests/poisonrecord.h>

#include <functional>
#include <string>
#include <vector>

namespace godwit {

/// A line of the `/load` stream of a host.
struct HostReportArrived
{
    HostReport report;
};

/// The `/load` stream of a host has ended.
struct HostStreamEnded
{
    HostId host;
};

/// No engine with a current report is eligible for requests of the group.
struct EnginesNeeded
{
    EngineGroup group;
};

/// Body of `POST /v1/commands`. \a reply must be called once, from any thread.
struct OperatorRequestArrived
{
    std::string body;
    std::function<void(std::string)> reply;
};

/// New poison records of this process, to be sent to the other entry processes.
struct PoisonFound
{
    std::vector<PoisonRecord> records;
};

} // namespace godwit
