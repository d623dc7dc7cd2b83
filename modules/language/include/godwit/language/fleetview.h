#pragma once

#include <godwit/control/configuration.h>
#include <godwit/language/backendview.h>
#include <godwit/language/linkrates.h>
#include <godwit/language/memberview.h>
#include <godwit/language/refusedrequest.h>

#include <memory>
#include <vector>

namespace godwit {

/// Snapshot of the state known to one entry process, against which queries are evaluated.
struct FleetView
{
    /// Never null.
    std::shared_ptr<const Configuration> configuration = std::make_shared<const Configuration>();
    std::vector<MemberView> members;   ///< At most one per host.
    std::vector<BackendView> backends; ///< At most one per backend server.
    std::vector<RefusedRequest> refusedRequests;
    LinkRates links;
};

} // namespace godwit
