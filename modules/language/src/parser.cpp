#include "grammar.h"

#include <godwit/language/parser.h>

#include <utility>

namespace godwit {

namespace {

constexpr std::size_t MaxListedItems = 16; // keeps the message within a few terminal lines

SyntaxError tooLongError(std::size_t size)
{
    SyntaxError error;
    error.code = static_cast<int>(ResultCode::StatementTooLong);
    error.problem = "the statement has " + std::to_string(size) + " bytes, the limit is "
                    + std::to_string(MaxStatementBytes);
    return error;
}

std::string joinItems(const std::vector<std::string> &items)
{
    std::string text;
    const std::size_t count = std::min(items.size(), MaxListedItems);
    for (std::size_t i = 0; i < count; ++i) {
        if (i > 0)
            text += i + 1 == items.size() ? " or " : ", ";
        text += items[i];
    }
    return count < items.size() ? text + ", ..." : text;
}

} // namespace

std::variant<Statement, SyntaxError> readStatement(std::string_view text)
{
    if (text.size() > MaxStatementBytes)
        return tooLongError(text.size());
    ParseState state(tokenize(text));
    if (!parseTokens(state))
        return state.error(text);
    return std::move(state.statement);
}

Result<Statement> parseStatement(std::string_view text)
{
    auto result = readStatement(text);
    if (const auto *error = std::get_if<SyntaxError>(&result))
        return fail(toError(*error));
    return std::get<Statement>(std::move(result));
}

Error toError(const SyntaxError &error)
{
    std::string text = "line " + std::to_string(error.line) + ", column "
                       + std::to_string(error.column) + ": ";
    if (!error.problem.empty())
        text += error.problem;
    else
        text += "expected " + joinItems(error.expected) + ", found " + error.found;
    if (!error.suggestion.empty())
        text += "; did you mean \"" + error.suggestion + "\"?";
    return {static_cast<ResultCode>(error.code), text};
}

} // namespace godwit
