#pragma once

#include "grammar.h"

#include <boost/spirit/home/x3.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Parsers of single tokens, of which the grammar of the operators' language is made.
namespace godwit::grammar {

namespace x3 = boost::spirit::x3;

/// The grammar is written over tokens. No alternative is given up after its first word has been
/// accepted, so that actions may change the draft at once and parsing never goes back.
using Iterator = std::vector<Token>::const_iterator;

struct DraftTag;

template <typename Context>
Draft &draftOf(const Context &context)
{
    return x3::get<DraftTag>(context).get();
}

/// Base of the parsers of one token. Derived defines accept(Draft &, std::size_t index).
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
        Draft &draft = draftOf(context);
        const auto index = static_cast<std::size_t>(first - draft.tokens().begin());
        if (!this->derived().accept(draft, index))
            return false;
        first += Derived::tokenCount;
        return true;
    }
};

/// A word that runs an action when it is read.
template <typename Action>
struct WordParser : TokenParser<WordParser<Action>>
{
    static constexpr int tokenCount = 1;
    std::string_view word;
    Action action;

    WordParser(std::string_view w, Action a)
        : word(w)
        , action(std::move(a))
    {}
    bool accept(Draft &draft, std::size_t index) const
    {
        if (!draft.acceptWord(index, word))
            return false;
        action(draft);
        return true;
    }
};

/// A mark such as a comma.
struct MarkParser : TokenParser<MarkParser>
{
    static constexpr int tokenCount = 1;
    std::string_view mark;

    explicit MarkParser(std::string_view m)
        : mark(m)
    {}
    bool accept(Draft &draft, std::size_t index) const { return draft.acceptMark(index, mark); }
};

/// The end of the statement.
struct EndParser : TokenParser<EndParser>
{
    static constexpr int tokenCount = 0;
    bool accept(Draft &draft, std::size_t index) const { return draft.acceptEnd(index); }
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
    bool accept(Draft &draft, std::size_t index) const
    {
        if (!draft.acceptName(index, description, mayBeEmpty))
            return false;
        return action(draft, index);
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
    bool accept(Draft &draft, std::size_t index) const
    {
        const auto value = draft.acceptNumber(index, description, low, high);
        if (value)
            action(draft, *value);
        return value.has_value();
    }
};

/// One of the texts of JsonNames<Enum>; the action receives the value.
template <typename Enum, typename Action>
struct ChoiceParser : TokenParser<ChoiceParser<Enum, Action>>
{
    static constexpr int tokenCount = 1;
    Action action;

    explicit ChoiceParser(Action a)
        : action(std::move(a))
    {}
    bool accept(Draft &draft, std::size_t index) const
    {
        for (const auto &[value, name] : JsonNames<Enum>::table) {
            if (draft.acceptWord(index, name)) {
                action(draft, value);
                return true;
            }
        }
        return false;
    }
};

/// Consumes nothing; runs an action that may refuse.
template <typename Action>
struct StepParser : TokenParser<StepParser<Action>>
{
    static constexpr int tokenCount = 0;
    Action action;

    explicit StepParser(Action a)
        : action(std::move(a))
    {}
    bool accept(Draft &draft, std::size_t index) const { return action(draft, index); }
};

inline auto word(std::string_view text)
{
    return WordParser(text, [](Draft &) {});
}

template <typename Action>
auto word(std::string_view text, Action action)
{
    return WordParser<Action>(text, std::move(action));
}

inline MarkParser mark(std::string_view text)
{
    return MarkParser(text);
}

/// The command of the draft, which becomes a \a C if it is none.
template <typename C>
C &command(Draft &draft)
{
    auto *statement = std::get_if<Command>(&draft.statement);
    if (!statement || !std::holds_alternative<C>(*statement)) {
        draft.statement = Command(C());
        statement = std::get_if<Command>(&draft.statement);
    }
    return *std::get_if<C>(statement);
}

/// The query of the draft, which becomes a \a Q if it is none.
template <typename Q>
Q &query(Draft &draft)
{
    auto *statement = std::get_if<Query>(&draft.statement);
    if (!statement || !std::holds_alternative<Q>(*statement)) {
        draft.statement = Query(Q());
        statement = std::get_if<Query>(&draft.statement);
    }
    return *std::get_if<Q>(statement);
}

template <typename Action>
auto nameWith(std::string_view description, Action action)
{
    const auto apply = [action = std::move(action)](Draft &draft, std::size_t index) {
        action(draft, draft.tokens()[index].text);
        return true;
    };
    return NameParser<decltype(apply)>(description, apply, false);
}

/// A name that is stored in a member of command C.
template <typename C, typename Id>
auto name(std::string_view description, Id C::*member)
{
    return nameWith(description, [member](Draft &draft, const std::string &text) {
        command<C>(draft).*member = Id(text);
    });
}

/// A name that is stored in a member of query Q.
template <typename Q, typename Id>
auto queryName(std::string_view description, Id Q::*member)
{
    return nameWith(description, [member](Draft &draft, const std::string &text) {
        query<Q>(draft).*member = Id(text);
    });
}

template <typename Action>
auto number(std::string_view description, std::uint64_t low, std::uint64_t high, Action action)
{
    return NumberParser<Action>(description, low, high, std::move(action));
}

template <typename Enum, typename Action>
auto choice(Action action)
{
    return ChoiceParser<Enum, Action>(std::move(action));
}

template <typename Action>
auto step(Action action)
{
    return StepParser<Action>(std::move(action));
}

} // namespace godwit::grammar
