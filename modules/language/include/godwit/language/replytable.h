#pragma once

#include <godwit/base/json.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace godwit {

/// Value in a table: empty, a string, an integer, a floating-point number or a boolean.
using Cell = std::variant<std::monostate, std::string, std::int64_t, double, bool>;

/// Result of a query. Every row has one cell per column.
struct ReplyTable
{
    std::vector<std::string> columns;
    std::vector<std::vector<Cell>> rows;

    friend bool operator==(const ReplyTable &, const ReplyTable &) = default;
};

/// Formats \a table with aligned columns for a terminal. Empty cells are shown as "-".
std::string toText(const ReplyTable &table);

template <>
struct JsonCodec<Cell>
{
    static boost::json::value encode(const Cell &cell);
    static Result<Cell> decode(const boost::json::value &json, const std::string &path);
};

/// Decoding fails with JsonFieldInvalid if the number of cells in a row differs from the number of
/// columns.
template <>
struct JsonCodec<ReplyTable>
{
    static boost::json::value encode(const ReplyTable &table);
    static Result<ReplyTable> decode(const boost::json::value &json, const std::string &path);
};

} // namespace godwit
