#pragma once

#include <godwit/control/command.h>
#include <godwit/language/query.h>

#include <variant>

namespace godwit {

/// One statement of the operator language.
using Statement = std::variant<Command, Query>;

} // namespace godwit
