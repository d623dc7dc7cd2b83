#pragma once

#include <godwit/settings/daemonsettings.h>
#include <godwit/settings/fleetsettings.h>
#include <godwit/settings/settingsproblem.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace godwit {

/// Valid settings, or all problems found.
using ParsedSettings = std::variant<DaemonSettings, std::vector<SettingsProblem>>;

/// Parses the TOML \a text. \a file is the name used in problem reports. An unknown key is a
/// problem. Parsing continues after a problem, so that all of them are reported at once.
ParsedSettings parseDaemonSettings(std::string_view text, const std::string &file);

/// Reads and parses \a file.
ParsedSettings loadDaemonSettings(const std::string &file);

/// The same for FleetSettings.
using ParsedFleetSettings = std::variant<FleetSettings, std::vector<SettingsProblem>>;
ParsedFleetSettings parseFleetSettings(std::string_view text, const std::string &file);
ParsedFleetSettings loadFleetSettings(const std::string &file);

} // namespace godwit
