#pragma once

#include <godwit/base/result.h>
#include <godwit/language/statement.h>
#include <godwit/language/syntaxerror.h>

#include <cstddef>
#include <string_view>
#include <variant>

namespace godwit {

/// Maximum size of a statement in bytes: fits a load order that lists 2000 hosts with names of
/// maximum length.
constexpr std::size_t MaxStatementBytes = std::size_t{272} * 1024;

/// Maximum nesting depth of parentheses and `not` in a condition.
constexpr std::size_t MaxConditionDepth = 32;

/// Parses one statement, see docs/language.md. Runs in time linear in the size of \a text, which
/// may contain any bytes. Does not check that the objects named in the result exist.
std::variant<Statement, SyntaxError> readStatement(std::string_view text);

/// Like readStatement(), but fails with the code and message of the syntax error.
Result<Statement> parseStatement(std::string_view text);

} // namespace godwit
