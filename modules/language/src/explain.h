#pragma once

#include "fleetindex.h"

#include <godwit/base/result.h>
#include <godwit/language/query.h>
#include <godwit/language/replytable.h>

namespace godwit {

Result<ReplyTable> explain(const ExplainHost &query, const FleetIndex &index);
Result<ReplyTable> explain(const ExplainReplica &query, const FleetIndex &index);
Result<ReplyTable> explain(const ExplainRequest &query, const FleetIndex &index);

} // namespace godwit
