#pragma once

#include <godwit/control/configurationdelta.h>
#include <godwit/control/configurationgossip.h>

#include <optional>
#include <vector>

namespace godwit {

/// Body of a push on `/config` and of the reply to a pull: a chain of deltas, a whole document, or
/// only the state, which announces a revision.
struct ConfigurationPush
{
    ConfigurationGossip state;
    std::vector<ConfigurationDelta> deltas;
    std::optional<Configuration> document;

    friend bool operator==(const ConfigurationPush &, const ConfigurationPush &) = default;
};

template <>
struct JsonFields<ConfigurationPush>
{
    static constexpr auto table = std::tuple{field("state", &ConfigurationPush::state),
                                             field("deltas", &ConfigurationPush::deltas),
                                             field("document", &ConfigurationPush::document)};
};

} // namespace godwit
