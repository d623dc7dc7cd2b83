#pragma once

#include <godwit/base/result.h>
#include <godwit/ctl/clientoptions.h>
#include <godwit/language/operatorrequest.h>

#include <string>
#include <vector>

namespace godwit {

/// Parsed command line of godwitctl.
struct Invocation
{
    enum class Action { Help, Codes, Statement };
    enum class Output { Table, Json };

    Action action = Action::Help;
    Output output = Output::Table;
    ClientOptions client;
    /// Without time, and without operation id unless it is given as a flag.
    OperatorRequest request;
};

/// Parses \a arguments, which exclude the program name. Fails with CommandLineInvalid. Not thread
/// safe, because it uses the global flag registry of gflags.
Result<Invocation> parseArguments(const std::vector<std::string> &arguments);

/// Text of `godwitctl --help`.
std::string helpText();

} // namespace godwit
