#include "token.h"

#include <boost/spirit/home/x3.hpp>

namespace godwit {

namespace {

namespace x3 = boost::spirit::x3;

/// Input is matched as unsigned bytes, so that every byte is a valid index into the character
/// tables of Spirit.
using Iterator = const unsigned char *;

const auto SpaceRule = x3::omit[*x3::char_(" \t\r\n")];
const auto CommentRule = x3::omit['#' >> *(x3::char_ - '\n')];
const auto SkipRule = SpaceRule >> *(CommentRule >> SpaceRule);
const auto WordRule = +x3::char_("a-zA-Z0-9_.:-");
const auto UnescapedCharRule = x3::char_ - x3::char_('\0', '\x1f') - '"' - '\\';
const auto QuotedRule = '"' >> *(UnescapedCharRule | ('\\' >> x3::char_("\"\\"))) >> '"';
const auto PunctuationRule = (x3::char_('!') >> x3::char_('=')) | x3::char_("=(),;");

template <typename Grammar>
bool match(Iterator &it, Iterator end, const Grammar &grammar, Token::Kind kind, Token &token)
{
    const Iterator begin = it;
    if (!x3::parse(it, end, x3::omit[grammar]))
        return false;
    token.kind = kind;
    token.text.assign(begin, it);
    return true;
}

bool matchQuoted(Iterator &it, Iterator end, Token &token)
{
    token.kind = Token::Kind::Quoted;
    return x3::parse(it, end, QuotedRule, token.text);
}

bool nextToken(Iterator &it, Iterator end, Token &token)
{
    return match(it, end, WordRule, Token::Kind::Word, token)
           || match(it, end, PunctuationRule, Token::Kind::Punctuation, token)
           || matchQuoted(it, end, token);
}

} // namespace

std::vector<Token> tokenize(std::string_view text)
{
    const auto begin = reinterpret_cast<Iterator>(text.data());
    const auto end = begin + text.size();
    auto it = begin;
    std::vector<Token> tokens;
    while (true) {
        x3::parse(it, end, SkipRule);
        Token token;
        token.offset = static_cast<std::size_t>(it - begin);
        if (it == end) {
            tokens.push_back(std::move(token));
            return tokens;
        }
        if (!nextToken(it, end, token)) {
            token.kind = Token::Kind::Invalid;
            token.text = std::string(text.substr(token.offset, 1));
            tokens.push_back(std::move(token));
            return tokens;
        }
        tokens.push_back(std::move(token));
    }
}

} // namespace godwit
