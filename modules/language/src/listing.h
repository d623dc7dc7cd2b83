#pragma once

#include "fleetindex.h"

#include <godwit/language/condition.h>
#include <godwit/language/replytable.h>
#include <godwit/language/showsubject.h>

#include <map>
#include <string>
#include <vector>

namespace godwit {

/// All objects of one kind, before the filter of the query is applied.
struct Listing
{
    struct Row
    {
        std::vector<Cell> cells;
        /// Filter values of fields that have no column of their own or more values than its cell.
        /// They take precedence over the cell.
        std::map<QueryField, std::vector<std::string>> fields = {};
    };

    std::vector<std::string> columns;
    std::vector<Row> rows;
};

/// Listings of state reported by the processes.
Listing listReplicas(const FleetIndex &index);
Listing listBackends(const FleetIndex &index);
Listing listHosts(const FleetIndex &index);
Listing listTransfers(const FleetIndex &index);
Listing listRequests(const FleetIndex &index);

/// Listings of configuration objects.
Listing listOrders(const FleetIndex &index);
Listing listDeployments(const FleetIndex &index);
Listing listModels(const FleetIndex &index);
Listing listVersions(const FleetIndex &index);
Listing listAdapters(const FleetIndex &index);
Listing listCustomers(const FleetIndex &index);
Listing listOperations(const FleetIndex &index);

/// The cell is empty if \a id is empty.
template <typename Id>
Cell idCell(const Id &id)
{
    return id.empty() ? Cell() : Cell(id.value());
}

/// Values above the range of std::int64_t are clamped to its maximum.
Cell numberCell(std::uint64_t value);

/// Progress of a transfer in percent; empty if its size is unknown.
Cell percentCell(const LoadView &load);

/// Empty if there is no error.
Cell errorCell(const ReportedError &error);

} // namespace godwit
