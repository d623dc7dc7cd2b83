#pragma once

#include <godwit/base/result.h>
#include <godwit/language/fleetview.h>
#include <godwit/language/query.h>
#include <godwit/language/replytable.h>

namespace godwit {

/// Evaluates \a query against \a view. A listing without matches is an empty table. Fails with
/// QueryObjectUnknown or RefusalNotOnRecord if the query names an object that is not known.
///
/// `explain` has the columns object, reason and detail. The first row is the reason to resolve
/// first; a single row "serving" means that there is no problem. `show order` has one row per
/// engine of each host in the order, or one row for a host without a known engine; its columns
/// include `ready` and `order_state`.
Result<ReplyTable> evaluate(const Query &query, const FleetView &view);

} // namespace godwit
