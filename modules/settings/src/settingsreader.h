#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/settings/daemonsettings.h>
#include <godwit/settings/settingsproblem.h>

// The parser of toml++ 3.3 fails an assertion on some malformed input. With assertions disabled it
// reports the error instead.
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>

#include <array>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwit {

enum class Presence { Required, Optional };

/// Reads typed values from one TOML table and collects problems instead of stopping at the first.
/// reportUnknownKeys() must be called last.
class SettingsReader
{
public:
    SettingsReader(const toml::table &table, std::string file, std::string prefix,
                   std::vector<SettingsProblem> &problems)
        : m_table(table)
        , m_file(std::move(file))
        , m_prefix(std::move(prefix))
        , m_problems(problems)
    {}

    /// Reads an integer in [\a min, \a max].
    template <std::integral T>
    void integer(const char *key, T &target, std::int64_t min, std::int64_t max)
    {
        const std::string allowed =
                "an integer from " + std::to_string(min) + " to " + std::to_string(max);
        const auto *node = findNode(key, Presence::Optional, allowed);
        if (!node)
            return;
        const auto value = node->value_exact<std::int64_t>();
        if (!value || *value < min || *value > max)
            reportInvalid(key, node, allowed);
        else
            target = static_cast<T>(*value);
    }

    /// Reads a number in [\a min, \a max].
    void number(const char *key, double &target, double min, double max);

    /// Reads a duration in milliseconds, in [\a min, \a max].
    void milliseconds(const char *key, Duration &target, std::int64_t min, std::int64_t max);

    /// Reads a duration in seconds, which may be fractional, in [\a min, \a max].
    void seconds(const char *key, Duration &target, double min, double max);

    void boolean(const char *key, bool &target);
    void string(const char *key, std::string &target, Presence presence);

    /// Reads a name: 1 to 64 letters, digits, '.', '_' or '-'.
    void name(const char *key, std::string &target, Presence presence);

    template <typename Tag>
    void id(const char *key, StrongId<Tag> &target, Presence presence)
    {
        std::string value;
        name(key, value, presence);
        target = StrongId<Tag>(value);
    }

    /// Reads an IP address.
    void address(const char *key, std::string &target, Presence presence);

    /// Reads "IP:PORT".
    void endpoint(const char *key, Endpoint &target, Presence presence);
    void endpoints(const char *key, std::vector<Endpoint> &target);

    /// Reads one of \a names. Returns false and leaves \a target unchanged if there is no valid
    /// value.
    template <typename T, std::size_t N>
    bool choice(const char *key, T &target,
                const std::array<std::pair<std::string_view, T>, N> &names, Presence presence)
    {
        std::string allowed = "one of";
        for (const auto &[name, value] : names)
            allowed += ' ' + std::string(name);
        const auto *node = findNode(key, presence, allowed);
        if (!node)
            return false;
        const auto found = node->value_exact<std::string>();
        for (const auto &[name, value] : names) {
            if (found && *found == name) {
                target = value;
                return true;
            }
        }
        reportInvalid(key, node, allowed);
        return false;
    }

    /// Calls \a read with a reader for the table \a key, if the key exists.
    template <typename Function>
    void section(const char *key, Function read)
    {
        const auto *node = findNode(key, Presence::Optional, "a table");
        if (!node)
            return;
        if (const auto *table = node->as_table())
            readTable(*table, path(key), read);
        else
            reportInvalid(key, node, "a table");
    }

    /// Calls \a read with a reader for each table of the array \a key.
    template <typename Function>
    void sections(const char *key, Function read)
    {
        const auto *node = findNode(key, Presence::Optional, "an array of tables");
        if (!node)
            return;
        const auto *array = node->as_array();
        if (!array || !array->is_homogeneous<toml::table>()) {
            reportInvalid(key, node, "an array of tables");
            return;
        }
        std::size_t index = 0;
        for (const auto &item : *array)
            readTable(*item.as_table(), path(key) + '[' + std::to_string(index++) + ']', read);
    }

    /// Adds a problem with \a key that the typed read functions cannot detect, such as a conflict
    /// between several values.
    void addProblem(const char *key, std::string found, std::string allowed);

    /// Adds a problem for each key of the table that has not been read.
    void reportUnknownKeys();

private:
    template <typename Function>
    void readTable(const toml::table &table, const std::string &prefix, Function read)
    {
        SettingsReader reader(table, m_file, prefix, m_problems);
        read(reader);
        reader.reportUnknownKeys();
    }

    const toml::node *findNode(const char *key, Presence presence, const std::string &allowed);
    void reportInvalid(const char *key, const toml::node *node, const std::string &allowed);
    std::string path(const std::string &key) const;

    const toml::table &m_table;
    std::string m_file;
    std::string m_prefix;
    std::vector<SettingsProblem> &m_problems;
    std::set<std::string, std::less<>> m_known;
};

} // namespace godwit
