#include "parsestate.h"

#include "suggestion.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace godwit {

namespace {

/// Keywords that can be names only in quotation marks. Without this rule, the keyword after a
/// missing name would be taken as the name and the error reported too late in the statement.
constexpr auto ReservedWords = std::to_array<std::string_view>(
        {"create", "deployment", "model",    "version",  "adapter",   "allow", "deny",   "host",
         "hosts",  "backend",    "backends", "customer", "customers", "load",  "on",     "in",
         "change", "switch",     "role",     "of",       "to",        "drain", "return", "cancel",
         "order",  "show",       "explain",  "follow",   "where",     "and",   "or",     "not"});

constexpr std::size_t MaxExcerptLength = 40;

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](char x, char y) {
        const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : int{c}; };
        return lower(x) == lower(y);
    });
}

bool isReserved(const std::string &word)
{
    return std::ranges::any_of(ReservedWords, [&](std::string_view reserved) {
        return equalsIgnoringCase(word, reserved);
    });
}

/// Excerpt of \a text for an error message: printable ASCII of bounded length.
std::string printableExcerpt(std::string_view text)
{
    std::string result(text.substr(0, MaxExcerptLength));
    std::ranges::replace_if(
            result, [](char c) { return c < 0x20 || c > 0x7e; }, '?');
    return text.size() > MaxExcerptLength ? result + "..." : result;
}

std::string describe(const Token &token)
{
    switch (token.kind) {
    case Token::Kind::End:
        return "the end of the statement";
    case Token::Kind::Invalid:
        return token.text == "\"" ? "a name without closing quotation mark"
                                  : "the character '" + printableExcerpt(token.text) + '\'';
    default:
        return '"' + printableExcerpt(token.text) + '"';
    }
}

void addUnique(std::vector<std::string> &list, std::string item)
{
    if (std::ranges::find(list, item) == list.end())
        list.push_back(std::move(item));
}

} // namespace

ParseState::ParseState(std::vector<Token> tokens)
    : m_tokens(std::move(tokens))
{}

void ParseState::expect(std::size_t index, std::string item, bool isKeyword)
{
    if (index < m_furthestToken)
        return;
    if (index > m_furthestToken) {
        m_furthestToken = index;
        m_expectedKeywords.clear();
        m_expectedItems.clear();
    }
    addUnique(isKeyword ? m_expectedKeywords : m_expectedItems, std::move(item));
}

bool ParseState::acceptKeyword(std::size_t index, std::string_view keyword)
{
    const Token &token = m_tokens[index];
    if (token.kind == Token::Kind::Word && equalsIgnoringCase(token.text, keyword))
        return true;
    expect(index, std::string(keyword), true);
    return false;
}

bool ParseState::acceptPunctuation(std::size_t index, std::string_view punctuation)
{
    const Token &token = m_tokens[index];
    if (token.kind == Token::Kind::Punctuation && token.text == punctuation)
        return true;
    expect(index, '"' + std::string(punctuation) + '"', false);
    return false;
}

bool ParseState::acceptEnd(std::size_t index)
{
    if (m_tokens[index].kind == Token::Kind::End)
        return true;
    expect(index, "the end of the statement", false);
    return false;
}

bool ParseState::acceptName(std::size_t index, std::string_view description, bool mayBeEmpty)
{
    const Token &token = m_tokens[index];
    if (token.kind == Token::Kind::Word && !isReserved(token.text))
        return true;
    if (token.kind == Token::Kind::Quoted && (mayBeEmpty || !token.text.empty()))
        return true;
    expect(index, std::string(description), false);
    return false;
}

std::optional<std::uint64_t> ParseState::acceptNumber(std::size_t index,
                                                      std::string_view description,
                                                      std::uint64_t low, std::uint64_t high)
{
    const Token &token = m_tokens[index];
    const bool digits =
            token.kind == Token::Kind::Word
            && std::ranges::all_of(token.text, [](char c) { return c >= '0' && c <= '9'; });
    if (!digits) {
        expect(index, std::string(description), false);
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char *end = token.text.data() + token.text.size();
    const auto [stop, ec] = std::from_chars(token.text.data(), end, value);
    if (ec != std::errc() || value < low || value > high) {
        reject(index, ResultCode::StatementValueInvalid,
               std::string(description) + " must be from " + std::to_string(low) + " to "
                       + std::to_string(high));
        return std::nullopt;
    }
    return value;
}

bool ParseState::enterNesting(std::size_t index)
{
    if (++m_depth <= MaxConditionDepth)
        return true;
    reject(index, ResultCode::StatementTooDeep,
           "conditions are nested deeper than " + std::to_string(MaxConditionDepth) + " levels");
    return false;
}

void ParseState::reject(std::size_t index, ResultCode code, const std::string &problem)
{
    if (!m_problem)
        m_problem = Problem{index, code, problem};
}

SyntaxError ParseState::errorAt(std::string_view text, std::size_t index, ResultCode code) const
{
    const Token &token = m_tokens[index];
    SyntaxError error;
    error.code = static_cast<int>(code);
    for (const char c : text.substr(0, token.offset)) {
        if (c == '\n') {
            ++error.line;
            error.column = 1;
        } else if ((static_cast<unsigned char>(c) & 0xC0) != 0x80) { // not a continuation byte
            ++error.column;
        }
    }
    error.found = describe(token);
    return error;
}

SyntaxError ParseState::error(std::string_view text) const
{
    if (m_problem) {
        SyntaxError error = errorAt(text, m_problem->index, m_problem->code);
        error.problem = m_problem->text;
        return error;
    }
    SyntaxError error = errorAt(text, m_furthestToken, ResultCode::SyntaxInvalid);
    for (const std::string &keyword : m_expectedKeywords)
        error.expected.push_back('"' + keyword + '"');
    error.expected.insert(error.expected.end(), m_expectedItems.begin(), m_expectedItems.end());
    const Token &token = m_tokens[m_furthestToken];
    if (token.kind == Token::Kind::Word)
        error.suggestion = suggest(token.text, m_expectedKeywords);
    return error;
}

} // namespace godwit
