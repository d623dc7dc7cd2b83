#pragma once

#include <string>

namespace godwit {

/// A problem in a settings file.
struct SettingsProblem
{
    std::string file;
    std::string key;     ///< Dotted path, for example "listen.peer_port".
    std::string found;   ///< The value in the file, or "nothing".
    std::string allowed; ///< Description of the accepted values.

    friend bool operator==(const SettingsProblem &, const SettingsProblem &) = default;
};

/// Formats \a problem as "FILE: KEY: found FOUND, allowed: ALLOWED".
std::string toString(const SettingsProblem &problem);

} // namespace godwit
