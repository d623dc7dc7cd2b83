#pragma once

#include <godwit/ctl/exitcode.h>

#include <ostream>
#include <string>
#include <vector>

namespace godwit {

/// Runs godwitctl with \a arguments. Writes replies to \a out, and operation ids, warnings and
/// errors to \a err. Blocks until a reply has arrived or the attempts are exhausted.
ExitCode runProgram(const std::vector<std::string> &arguments, std::ostream &out,
                    std::ostream &err);

/// Generates docs/result-codes.md.
std::string resultCodesPage();

} // namespace godwit
