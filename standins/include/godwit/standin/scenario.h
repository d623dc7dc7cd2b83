#pragma once

#include <godwit/base/result.h>
#include <godwit/standin/engineconfig.h>
#include <godwit/standin/hostliststandin.h>
#include <godwit/standin/keyvaluestandin.h>
#include <godwit/standin/objectstandin.h>
#include <godwit/standin/plainservicestandin.h>

#include <string>
#include <vector>

namespace godwit::standin {

/// Configuration of the stand-ins of one process. In TOML each member is an array of tables, for
/// example [[engine]]. A table with `count = N` is replaced by N tables with names NAME-1 to NAME-N
/// and consecutive seeds and ports; port 0 is kept.
struct Scenario
{
    std::vector<KeyValueConfig> keyValues;
    std::vector<HostListConfig> hostLists;
    std::vector<ObjectConfig> objects;
    std::vector<EngineConfig> engines;
    std::vector<PlainServiceConfig> plainServices;

    friend bool operator==(const Scenario &, const Scenario &) = default;
};

/// Parses TOML, or JSON if \a text starts with '{'. Fails with SettingsUnreadable if the syntax is
/// invalid, and with SettingsInvalid or JsonFieldInvalid if the content is, for example on an
/// unknown member.
Result<Scenario> parseScenario(const std::string &text);

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::Scenario>
{
    using Scenario = godwit::standin::Scenario;
    static constexpr auto table = std::tuple{
            field("key_value", &Scenario::keyValues), field("host_list", &Scenario::hostLists),
            field("object_store", &Scenario::objects), field("engine", &Scenario::engines),
            field("plain_service", &Scenario::plainServices)};
};
