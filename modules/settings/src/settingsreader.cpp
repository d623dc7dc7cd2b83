#include "settingsreader.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

namespace godwit {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr const char *EndpointFormat = "IP:PORT with an IP address and a port from 1 to 65535";

bool isValidName(const std::string &text)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= MaxNameLength && std::ranges::all_of(text, allowed);
}

bool isIpAddress(const std::string &text)
{
    boost::system::error_code ec;
    boost::asio::ip::make_address(text, ec);
    return !ec;
}

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint{text.substr(0, colon), 0};
    const char *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (ec != std::errc() || last != end || endpoint.port == 0 || !isIpAddress(endpoint.address))
        return std::nullopt;
    return endpoint;
}

std::string describe(const toml::node &node)
{
    std::ostringstream out;
    node.visit([&](const auto &value) { out << value; });
    std::string text = out.str().substr(0, 80);
    std::ranges::replace_if(
            text, [](unsigned char c) { return std::iscntrl(c) != 0; }, ' ');
    return text;
}

} // namespace

void SettingsReader::number(const char *key, double &target, double min, double max)
{
    std::ostringstream allowed;
    allowed << "a number from " << min << " to " << max;
    const auto *node = findNode(key, Presence::Optional, allowed.str());
    if (!node)
        return;
    const auto value = node->value<double>();
    if (!value || node->is_boolean() || !(*value >= min && *value <= max))
        reportInvalid(key, node, allowed.str());
    else
        target = *value;
}

void SettingsReader::milliseconds(const char *key, Duration &target, std::int64_t min,
                                  std::int64_t max)
{
    std::int64_t count = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
    integer(key, count, min, max);
    target = std::chrono::milliseconds(count);
}

void SettingsReader::seconds(const char *key, Duration &target, double min, double max)
{
    double value = toSeconds(target);
    number(key, value, min, max);
    target = fromSeconds(value);
}

void SettingsReader::boolean(const char *key, bool &target)
{
    const auto *node = findNode(key, Presence::Optional, "true or false");
    if (!node)
        return;
    if (const auto value = node->value_exact<bool>())
        target = *value;
    else
        reportInvalid(key, node, "true or false");
}

void SettingsReader::string(const char *key, std::string &target, Presence presence)
{
    const auto *node = findNode(key, presence, "a string");
    if (!node)
        return;
    if (const auto value = node->value_exact<std::string>())
        target = *value;
    else
        reportInvalid(key, node, "a string");
}

void SettingsReader::name(const char *key, std::string &target, Presence presence)
{
    const char *allowed = "1 to 64 letters, digits, '.', '_' or '-'";
    const auto *node = findNode(key, presence, allowed);
    if (!node)
        return;
    const auto value = node->value_exact<std::string>();
    if (value && isValidName(*value))
        target = *value;
    else
        reportInvalid(key, node, allowed);
}

void SettingsReader::address(const char *key, std::string &target, Presence presence)
{
    const auto *node = findNode(key, presence, "an IP address");
    if (!node)
        return;
    const auto value = node->value_exact<std::string>();
    if (value && isIpAddress(*value))
        target = *value;
    else
        reportInvalid(key, node, "an IP address");
}

void SettingsReader::endpoint(const char *key, Endpoint &target, Presence presence)
{
    const auto *node = findNode(key, presence, EndpointFormat);
    if (!node)
        return;
    const auto value = node->value_exact<std::string>();
    const auto parsed = value ? parseEndpoint(*value) : std::nullopt;
    if (parsed)
        target = *parsed;
    else
        reportInvalid(key, node, EndpointFormat);
}

void SettingsReader::endpoints(const char *key, std::vector<Endpoint> &target)
{
    const std::string allowed = std::string("an array of ") + EndpointFormat;
    const auto *node = findNode(key, Presence::Optional, allowed);
    if (!node)
        return;
    const auto *array = node->as_array();
    if (!array) {
        reportInvalid(key, node, allowed);
        return;
    }
    for (const auto &item : *array) {
        const auto value = item.value_exact<std::string>();
        const auto parsed = value ? parseEndpoint(*value) : std::nullopt;
        if (parsed)
            target.push_back(*parsed);
        else
            reportInvalid(key, &item, allowed);
    }
}

void SettingsReader::addProblem(const char *key, std::string found, std::string allowed)
{
    m_problems.push_back({m_file, path(key), std::move(found), std::move(allowed)});
}

void SettingsReader::reportUnknownKeys()
{
    std::string known = "one of";
    for (const auto &key : m_known)
        known += ' ' + key;
    for (const auto &[key, node] : m_table) {
        if (!m_known.contains(key.str()))
            m_problems.push_back({m_file, path(std::string(key.str())), "an unknown key", known});
    }
}

const toml::node *SettingsReader::findNode(const char *key, Presence presence,
                                           const std::string &allowed)
{
    m_known.insert(key);
    const auto *node = m_table.get(key);
    if (!node && presence == Presence::Required)
        m_problems.push_back({m_file, path(key), "nothing", allowed});
    return node;
}

void SettingsReader::reportInvalid(const char *key, const toml::node *node,
                                   const std::string &allowed)
{
    m_problems.push_back({m_file, path(key), describe(*node), allowed});
}

std::string SettingsReader::path(const std::string &key) const
{
    return m_prefix.empty() ? key : m_prefix + '.' + key;
}

} // namespace godwit
