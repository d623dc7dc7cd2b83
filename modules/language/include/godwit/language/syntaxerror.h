#pragma once

#include <godwit/base/error.h>
#include <godwit/base/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit {

/// Reason and position of a parse failure of a statement.
struct SyntaxError
{
    int code = 0;                      ///< Value of a ResultCode, 65xx.
    std::uint32_t line = 1;            ///< From 1.
    std::uint32_t column = 1;          ///< From 1, in characters.
    std::string problem;               ///< Set if the token was expected but its value is invalid.
    std::vector<std::string> expected; ///< Keywords in quotation marks, descriptions of others.
    std::string found;                 ///< Printable form of the token at the position.
    std::string suggestion;            ///< Expected keyword similar to the one found, or empty.

    friend bool operator==(const SyntaxError &, const SyntaxError &) = default;
};

/// Converts \a error, with a one-line message that contains all fields.
Error toError(const SyntaxError &error);

template <>
struct JsonFields<SyntaxError>
{
    static constexpr auto table = std::tuple{field("code", &SyntaxError::code),
                                             field("line", &SyntaxError::line),
                                             field("column", &SyntaxError::column),
                                             field("problem", &SyntaxError::problem),
                                             field("expected", &SyntaxError::expected),
                                             field("found", &SyntaxError::found),
                                             field("suggestion", &SyntaxError::suggestion)};
};

} // namespace godwit
