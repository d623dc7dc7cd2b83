#pragma once

#include "grammar.h"

#include <boost/spirit/home/x3.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Single-token parsers from which the grammar of the operator language is built.
namespace godwit::grammar {

namespace x3 = boost::spirit::x3;

/// The grammar works on tokens and is predictive: after the first keyword of an alternative has
/// been accepted, no other alternative can match. Actions may therefore modify the parse state at
/// once; they never have to be undone by backtracking.
using Iterator = std::vector<Token>::const_iterator;

struct ParseStateTag;

template <typename Context>
ParseState &parseStateOf(const Context &context)
{
    return x3::get<ParseStateTag>(context).get();
}

/// CRTP base of the single-token parsers. Derived defines accept(ParseState &, std::size_t index)
/// and tokenCount, the number of tokens it consumes.
template <typename Derived>
struct TokenParser : x3::parser<Derived>
{
    using attribute_type = x3::unused_type;
    static constexpr bool has_attribute = false;
    static constexpr bool handles_container = false;

    template <typename Context, typename RuleContext, typename Attribute>
    bool parse(Iterator &first, const Iterator &, const Context &context, RuleContext &,
               Attribute &) const
    {
        ParseState &state = parseStateOf(context);
        const auto index = static_cast<std::size_t>(first - state.tokens().begin());
        if (!this->derived().accept(state, index))
            return false;
        first += Derived::tokenCount;
        return true;
    }
};

/// A keyword; runs an action when it is accepted.
template <typename Action>
struct KeywordParser : TokenParser<KeywordParser<Action>>
{
    static constexpr int tokenCount = 1;
    std::string_view keyword;
    Action action;

    KeywordParser(std::string_view k, Action a)
        : keyword(k)
        , action(std::move(a))
    {}
    bool accept(ParseState &state, std::size_t index) const
    {
        if (!state.acceptKeyword(index, keyword))
            return false;
        action(state);
        return true;
    }
};

/// A punctuation token such as a comma.
struct PunctuationParser : TokenParser<PunctuationParser>
{
    static constexpr int tokenCount = 1;
    std::string_view punctuation;

    explicit PunctuationParser(std::string_view p)
        : punctuation(p)
    {}
    bool accept(ParseState &state, std::size_t index) const
    {
        return state.acceptPunctuation(index, punctuation);
    }
};

/// The end of the statement.
struct EndParser : TokenParser<EndParser>
{
    static constexpr int tokenCount = 0;
    bool accept(ParseState &state, std::size_t index) const { return state.acceptEnd(index); }
};

/// A name; the action receives its text.
template <typename Action>
struct NameParser : TokenParser<NameParser<Action>>
{
    static constexpr int tokenCount = 1;
    std::string_view description;
    Action action;
    bool mayBeEmpty;

    NameParser(std::string_view d, Action a, bool e)
        : description(d)
        , action(std::move(a))
        , mayBeEmpty(e)
    {}
    bool accept(ParseState &state, std::size_t index) const
    {
        if (!state.acceptName(index, description, mayBeEmpty))
            return false;
        return action(state, index);
    }
};

/// A number between two bounds; the action receives its value.
template <typename Action>
struct NumberParser : TokenParser<NumberParser<Action>>
{
    static constexpr int tokenCount = 1;
    std::string_view description;
    std::uint64_t low;
    std::uint64_t high;
    Action action;

    NumberParser(std::string_view d, std::uint64_t l, std::uint64_t h, Action a)
        : description(d)
        , low(l)
        , high(h)
        , action(std::move(a))
    {}
    bool accept(ParseState &state, std::size_t index) const
    {
        const auto value = state.acceptNumber(index, description, low, high);
        if (value)
            action(state, *value);
        return value.has_value();
    }
};

/// One of the names in JsonNames<Enum>; the action receives the enum value.
template <typename Enum, typename Action>
struct EnumParser : TokenParser<EnumParser<Enum, Action>>
{
    static constexpr int tokenCount = 1;
    Action action;

    explicit EnumParser(Action a)
        : action(std::move(a))
    {}
    bool accept(ParseState &state, std::size_t index) const
    {
        for (const auto &[value, name] : JsonNames<Enum>::table) {
            if (state.acceptKeyword(index, name)) {
                action(state, value);
                return true;
            }
        }
        return false;
    }
};

/// Consumes no token; runs an action that may fail the parse.
template <typename Action>
struct SemanticActionParser : TokenParser<SemanticActionParser<Action>>
{
    static constexpr int tokenCount = 0;
    Action action;

    explicit SemanticActionParser(Action a)
        : action(std::move(a))
    {}
    bool accept(ParseState &state, std::size_t index) const { return action(state, index); }
};

inline auto keyword(std::string_view text)
{
    return KeywordParser(text, [](ParseState &) {});
}

template <typename Action>
auto keyword(std::string_view text, Action action)
{
    return KeywordParser<Action>(text, std::move(action));
}

inline PunctuationParser punctuation(std::string_view text)
{
    return PunctuationParser(text);
}

/// The command being parsed; replaces the statement by a new \a C unless it already is one.
template <typename C>
C &command(ParseState &state)
{
    auto *statement = std::get_if<Command>(&state.statement);
    if (!statement || !std::holds_alternative<C>(*statement)) {
        state.statement = Command(C());
        statement = std::get_if<Command>(&state.statement);
    }
    return *std::get_if<C>(statement);
}

/// The query being parsed; replaces the statement by a new \a Q unless it already is one.
template <typename Q>
Q &query(ParseState &state)
{
    auto *statement = std::get_if<Query>(&state.statement);
    if (!statement || !std::holds_alternative<Q>(*statement)) {
        state.statement = Query(Q());
        statement = std::get_if<Query>(&state.statement);
    }
    return *std::get_if<Q>(statement);
}

template <typename Action>
auto nameWith(std::string_view description, Action action)
{
    const auto apply = [action = std::move(action)](ParseState &state, std::size_t index) {
        action(state, state.tokens()[index].text);
        return true;
    };
    return NameParser<decltype(apply)>(description, apply, false);
}

/// A name, stored in a member of command C.
template <typename C, typename Id>
auto name(std::string_view description, Id C::*member)
{
    return nameWith(description, [member](ParseState &state, const std::string &text) {
        command<C>(state).*member = Id(text);
    });
}

/// A name, stored in a member of query Q.
template <typename Q, typename Id>
auto queryName(std::string_view description, Id Q::*member)
{
    return nameWith(description, [member](ParseState &state, const std::string &text) {
        query<Q>(state).*member = Id(text);
    });
}

template <typename Action>
auto number(std::string_view description, std::uint64_t low, std::uint64_t high, Action action)
{
    return NumberParser<Action>(description, low, high, std::move(action));
}

template <typename Enum, typename Action>
auto enumValue(Action action)
{
    return EnumParser<Enum, Action>(std::move(action));
}

template <typename Action>
auto semanticAction(Action action)
{
    return SemanticActionParser<Action>(std::move(action));
}

} // namespace godwit::grammar
