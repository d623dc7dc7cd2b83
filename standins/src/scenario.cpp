#include <godwit/standin/scenario.h>

// toml++ 3.3 fails an assertion on some malformed input. Without the assertion it reports a parse
// error.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>

#include <algorithm>
#include <sstream>
#include <string_view>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr std::uint64_t CountLimit = 10'000; ///< Maximum number of stand-ins per table.

json::value toJsonValue(const toml::node &node)
{
    if (const auto *table = node.as_table()) {
        json::object object;
        for (const auto &[key, value] : *table)
            object[std::string(key.str())] = toJsonValue(value);
        return object;
    }
    if (const auto *array = node.as_array()) {
        json::array values;
        for (const auto &value : *array)
            values.push_back(toJsonValue(value));
        return values;
    }
    if (const auto *text = node.as_string())
        return json::string(text->get());
    if (const auto *n = node.as_integer())
        return n->get();
    if (const auto *n = node.as_floating_point())
        return n->get();
    if (const auto *flag = node.as_boolean())
        return flag->get();
    return nullptr;
}

Result<json::value> parseText(const std::string &text)
{
    if (text.starts_with('{')) {
        json::error_code ec;
        auto value = json::parse(text, ec);
        if (ec)
            return fail(ResultCode::SettingsUnreadable, ec.message());
        return value;
    }
    try {
        return toJsonValue(toml::parse(text));
    } catch (const toml::parse_error &error) {
        std::ostringstream where;
        where << error.source().begin << ": " << error.description();
        return fail(ResultCode::SettingsUnreadable, where.str());
    }
}

/// Fails if \a table has a member that does not exist in \a known, the JSON of a default value.
Result<void> rejectUnknownMembers(const json::object &table, const json::object &known,
                                  const std::string &path)
{
    for (const auto &item : table) {
        if (!known.contains(item.key()))
            return fail(ResultCode::SettingsInvalid,
                        path + '.' + std::string(item.key()) + ": unknown member");
    }
    return {};
}

/// Replaces each table with a member `count` by that many tables.
Result<json::array> expandCounts(const json::array &tables)
{
    json::array expanded;
    for (const auto &item : tables) {
        if (!item.is_object() || !item.get_object().contains("count")) {
            expanded.push_back(item);
            continue;
        }
        json::object table = item.get_object();
        BOOST_LEAF_AUTO(n, fromJson<std::uint64_t>(table["count"], "count"));
        if (n > CountLimit)
            return fail(ResultCode::SettingsInvalid,
                        "count: exceeds the maximum number of stand-ins per table");
        table.erase("count");
        BOOST_LEAF_AUTO(common, fromJson<StandinConfig>(table));
        BOOST_LEAF_AUTO(listen, parseHttpEndpoint(common.listen));
        for (std::uint64_t i = 0; i < n; ++i) {
            HttpEndpoint endpoint = listen;
            endpoint.port = listen.port == 0 ? 0 : static_cast<std::uint16_t>(listen.port + i);
            table["name"] = common.name + '-' + std::to_string(i + 1);
            table["seed"] = common.seed + i;
            table["listen"] = toString(endpoint);
            expanded.push_back(table);
        }
    }
    return expanded;
}

template <typename Config>
Result<void> parseConfigs(const json::object &root, const char *name, std::vector<Config> &configs)
{
    const auto *value = root.if_contains(name);
    if (!value)
        return {};
    if (!value->is_array())
        return fail(ResultCode::SettingsInvalid, std::string(name) + ": expected tables");
    BOOST_LEAF_AUTO(tables, expandCounts(value->get_array()));
    const json::value known = toJson(Config());
    for (const auto &table : tables) {
        if (!table.is_object())
            return fail(ResultCode::SettingsInvalid, std::string(name) + ": expected tables");
        BOOST_LEAF_CHECK(rejectUnknownMembers(table.get_object(), known.get_object(), name));
        BOOST_LEAF_AUTO(config, fromJson<Config>(table, name));
        configs.push_back(std::move(config));
    }
    return {};
}

} // namespace

Result<Scenario> parseScenario(const std::string &text)
{
    BOOST_LEAF_AUTO(value, parseText(text));
    if (!value.is_object())
        return fail(ResultCode::SettingsInvalid, "expected a table at the top level");
    const json::object &root = value.get_object();
    Scenario scenario;
    const json::value known = toJson(scenario);
    BOOST_LEAF_CHECK(rejectUnknownMembers(root, known.get_object(), "scenario"));
    Result<void> status;
    std::apply(
            [&](const auto &...fields) {
                ((status = parseConfigs(root, fields.name, scenario.*fields.member),
                  static_cast<bool>(status))
                 && ...);
            },
            JsonFields<Scenario>::table);
    if (!status)
        return status.error();
    return scenario;
}

} // namespace godwit::standin
