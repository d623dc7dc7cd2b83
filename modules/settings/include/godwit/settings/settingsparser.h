#pragma once

#include <godwit/settings/daemonsettings.h>
#include <godwit/settings/fleetsettings.h>
#include <godwit/settings/settingsproblem.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace godwit {

/// Either valid settings or everything that is wrong with them.
using ParsedSettings = std::variant<DaemonSettings, std::vector<SettingsProblem>>;

/// Parses TOML \a text; \a file is named in problems. Unknown keys are problems. The whole text is
/// checked, so that all problems are reported at once.
ParsedSettings parseDaemonSettings(std::string_view text, const std::string &file);

/// Reads and parses \a file.
ParsedSettings loadDaemonSettings(const std::string &file);

/// Likewise for FleetSettings.
using ParsedFleetSettings = std::variant<FleetSettings, std::vector<SettingsProblem>>;
ParsedFleetSettings parseFleetSettings(std::string_view text, const std::string &file);
ParsedFleetSettings loadFleetSettings(const std::string &file);

} // namespace godwit
