#pragma once

#include <godwit/language/explainhost.h>
#include <godwit/language/explainreplica.h>
#include <godwit/language/explainrequest.h>
#include <godwit/language/showorder.h>
#include <godwit/language/showquery.h>

#include <variant>

namespace godwit {

/// Read-only statement of an operator.
using Query = std::variant<ShowQuery, ShowOrder, ExplainHost, ExplainReplica, ExplainRequest>;

} // namespace godwit
