#pragma once

#include "token.h"

#include <godwit/language/parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// State of one parse: the statement parsed so far, and the items expected at the furthest token
/// reached, which make up the syntax error if the parse fails.
class ParseState
{
public:
    explicit ParseState(std::vector<Token> tokens);

    Statement statement = Query(ShowQuery());
    std::vector<Condition> operands; ///< Conditions not yet combined by `and`, `or` or `not`.
    std::vector<std::size_t> operandStarts; ///< First operand of each unfinished combination.
    CustomerId currentCustomer;             ///< Customer whose share is being parsed.

    const std::vector<Token> &tokens() const { return m_tokens; }

    /// True if the token at \a index is \a keyword, ignoring case. Otherwise, like the other accept
    /// functions, records the item as expected at \a index.
    bool acceptKeyword(std::size_t index, std::string_view keyword);
    bool acceptPunctuation(std::size_t index, std::string_view punctuation);
    bool acceptEnd(std::size_t index);

    /// True if the token at \a index is a name: quoted, or a word that is not reserved.
    bool acceptName(std::size_t index, std::string_view description, bool mayBeEmpty);

    /// Value of the token at \a index if it is a number in [\a low, \a high].
    std::optional<std::uint64_t> acceptNumber(std::size_t index, std::string_view description,
                                              std::uint64_t low, std::uint64_t high);

    /// Begins a nested condition. Fails the parse and returns false beyond MaxConditionDepth.
    bool enterNesting(std::size_t index);
    void leaveNesting() { --m_depth; }

    /// Records that the value of the token at \a index is invalid. The first such problem becomes
    /// the error of the parse.
    void reject(std::size_t index, ResultCode code, const std::string &problem);

    bool hasProblem() const { return m_problem.has_value(); }

    /// Error of the failed parse; \a text is the statement.
    SyntaxError error(std::string_view text) const;

private:
    void expect(std::size_t index, std::string item, bool isKeyword);
    SyntaxError errorAt(std::string_view text, std::size_t index, ResultCode code) const;

    std::vector<Token> m_tokens;
    std::size_t m_furthestToken = 0;
    /// Expected at m_furthestToken; candidates for the suggestion.
    std::vector<std::string> m_expectedKeywords;
    std::vector<std::string> m_expectedItems; ///< Descriptions of other items expected there.
    std::size_t m_depth = 0;

    struct Problem
    {
        std::size_t index;
        ResultCode code;
        std::string text;
    };
    std::optional<Problem> m_problem;
};

} // namespace godwit
