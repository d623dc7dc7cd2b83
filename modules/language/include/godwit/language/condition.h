#pragma once

#include <godwit/language/queryfield.h>

#include <string>
#include <vector>

namespace godwit {

/// Filter of a query: a comparison, or a combination of conditions. The parser limits the nesting
/// depth to MaxConditionDepth.
struct Condition
{
    enum class Kind { Is, And, Or, Not };

    Kind kind = Kind::And;                     ///< And without children is true for every row.
    QueryField field = QueryField::Deployment; ///< For Is.
    std::vector<std::string> values;           ///< For Is: true if the field has one of them.
    std::vector<Condition> children;           ///< For And, Or and Not; exactly one for Not.

    friend bool operator==(const Condition &, const Condition &) = default;
};

} // namespace godwit
