#pragma once

#include <godwit/base/ids.h>
#include <godwit/control/placementhost.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Sender of one command and the state on which it is based.
struct CommandContext
{
    OperationId operation; ///< Chosen by the sender; the same in every resend.
    std::string who;
    std::int64_t when = 0; ///< Wall clock of the sender at the first send, ms since 1970.
    std::optional<Revision> decidedOn; ///< Revision on which the operator based the command.
    std::vector<HostLocation> hosts;   ///< Hosts that can receive placements now.
};

} // namespace godwit
