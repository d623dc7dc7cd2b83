#pragma once

#include <godwit/base/resultcode.h>

namespace godwit {

/// \a code of a failed request for a chunk, as TransferPlanner::chunkFailed() takes it: the planner
/// tells only refusals, missing chunks, an origin without a connection and everything else apart.
ResultCode chunkSourceCode(ResultCode code);

} // namespace godwit
