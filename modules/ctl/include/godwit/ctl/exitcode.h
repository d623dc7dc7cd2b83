#pragma once

namespace godwit {

/// Exit codes of godwitctl.
enum class ExitCode : int {
    Done = 0,        ///< The command was accepted, or the query answered.
    Refused = 1,     ///< The command was refused; it has no effect.
    Usage = 2,       ///< A flag or argument is missing or invalid; nothing was sent.
    Undecided = 3,   ///< It is unknown whether the command took effect.
    Unreachable = 4, ///< No entry process accepted the request; the command has no effect.
};

} // namespace godwit
