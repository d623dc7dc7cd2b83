#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// Lexical token of a statement.
struct Token
{
    enum class Kind { Word, Quoted, Punctuation, Invalid, End };

    Kind kind = Kind::End;
    std::string text;       ///< For Quoted: without quotation marks, escapes resolved.
    std::size_t offset = 0; ///< Byte position in the statement.
};

/// Splits \a text into tokens. The last one is End, or Invalid at the first byte that cannot start
/// a token.
std::vector<Token> tokenize(std::string_view text);

} // namespace godwit
