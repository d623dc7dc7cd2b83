#include <godwit/language/replytable.h>

#include <algorithm>
#include <cstdio>

namespace godwit {

namespace {

struct CellText
{
    std::string operator()(std::monostate) const { return "-"; }
    std::string operator()(const std::string &text) const { return text.empty() ? "-" : text; }
    std::string operator()(std::int64_t value) const { return std::to_string(value); }
    std::string operator()(bool value) const { return value ? "yes" : "no"; }
    std::string operator()(double value) const
    {
        std::array<char, 32> buf{};
        std::snprintf(buf.data(), buf.size(), "%.4g", value);
        return buf.data();
    }
};

/// Replaces control characters, which could move the cursor or change the state of the terminal.
std::string printable(std::string text)
{
    std::ranges::replace_if(
            text, [](char c) { return (c >= 0 && c < 0x20) || c == 0x7f; }, '?');
    return text;
}

/// Number of code points in a UTF-8 string.
std::size_t characterCount(const std::string &text)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            text, [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; }));
}

std::string formatLine(const std::vector<std::string> &texts,
                       const std::vector<std::size_t> &widths)
{
    std::string result;
    for (std::size_t i = 0; i < texts.size(); ++i) {
        result += texts[i];
        if (i + 1 < texts.size())
            result.append(widths[i] - characterCount(texts[i]) + 2, ' ');
    }
    return result + '\n';
}

} // namespace

std::string toText(const ReplyTable &table)
{
    std::vector<std::vector<std::string>> lines{table.columns};
    for (const auto &row : table.rows) {
        auto &texts = lines.emplace_back();
        for (const Cell &cell : row)
            texts.push_back(printable(std::visit(CellText(), cell)));
    }
    std::vector<std::size_t> widths(table.columns.size());
    for (const auto &texts : lines) {
        for (std::size_t i = 0; i < texts.size(); ++i)
            widths[i] = std::max(widths[i], characterCount(texts[i]));
    }
    std::string result;
    for (const auto &texts : lines)
        result += formatLine(texts, widths);
    return result;
}

boost::json::value JsonCodec<Cell>::encode(const Cell &cell)
{
    return std::visit(
            [](const auto &value) -> boost::json::value {
                if constexpr (std::is_same_v<std::decay_t<decltype(value)>, std::monostate>)
                    return nullptr;
                else
                    return toJson(value);
            },
            cell);
}

Result<Cell> JsonCodec<Cell>::decode(const boost::json::value &json, const std::string &path)
{
    switch (json.kind()) {
    case boost::json::kind::null:
        return Cell();
    case boost::json::kind::string:
        return Cell(std::string(json.get_string()));
    case boost::json::kind::bool_:
        return Cell(json.get_bool());
    case boost::json::kind::int64:
        return Cell(json.get_int64());
    case boost::json::kind::double_:
        return Cell(json.get_double());
    default:
        return detail::wrongType(path, "a string, number or boolean");
    }
}

boost::json::value JsonCodec<ReplyTable>::encode(const ReplyTable &table)
{
    boost::json::object object;
    object["columns"] = toJson(table.columns);
    object["rows"] = toJson(table.rows);
    return object;
}

Result<ReplyTable> JsonCodec<ReplyTable>::decode(const boost::json::value &json,
                                                 const std::string &path)
{
    const auto *object = json.if_object();
    const auto *columns = object ? object->if_contains("columns") : nullptr;
    const auto *rows = object ? object->if_contains("rows") : nullptr;
    if (!columns || !rows)
        return detail::wrongType(path, "a table");
    ReplyTable table;
    BOOST_LEAF_ASSIGN(table.columns, fromJson<std::vector<std::string>>(*columns, path));
    BOOST_LEAF_ASSIGN(table.rows, fromJson<std::vector<std::vector<Cell>>>(*rows, path));
    for (const auto &row : table.rows) {
        if (row.size() != table.columns.size())
            return detail::wrongType(path, "one cell for each column");
    }
    return table;
}

} // namespace godwit
