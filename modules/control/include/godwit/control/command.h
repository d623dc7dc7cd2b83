#pragma once

#include <godwit/base/result.h>
#include <godwit/control/commandcontext.h>
#include <godwit/control/commands/allow.h>
#include <godwit/control/commands/cancelorder.h>
#include <godwit/control/commands/changeversion.h>
#include <godwit/control/commands/createadapter.h>
#include <godwit/control/commands/createdeployment.h>
#include <godwit/control/commands/createmodel.h>
#include <godwit/control/commands/createversion.h>
#include <godwit/control/commands/deny.h>
#include <godwit/control/commands/drainhost.h>
#include <godwit/control/commands/loadmodel.h>
#include <godwit/control/commands/repairplacement.h>
#include <godwit/control/commands/returnhost.h>
#include <godwit/control/commands/steporder.h>
#include <godwit/control/commands/switchrole.h>
#include <godwit/control/configuration.h>

#include <string_view>
#include <variant>

namespace godwit {

/// A change of the configuration, ordered by an operator or by an entry process.
using Command = std::variant<CreateDeployment, CreateModel, CreateVersion, CreateAdapter, Allow,
                             Deny, LoadModel, ChangeVersion, SwitchRole, DrainHost, ReturnHost,
                             CancelOrder, StepOrder, RepairPlacement>;

/// Name of the type of \a command, such as "load_model".
std::string_view commandName(const Command &command);

/// Object that \a command changes, such as "deployment/NAME". Commands with different targets do
/// not conflict.
std::string commandTarget(const Command &command, const OperationId &operation);

/// Converts a command to a JSON object whose field "kind" is the command name.
boost::json::value commandToJson(const Command &command);

/// Reverse of commandToJson(). Fails with CommandMalformed or JsonFieldInvalid.
Result<Command> commandFromJson(const boost::json::value &json);

/// Applies \a command to \a configuration and returns the document with the next revision.
///
/// If the operation log already contains the operation, \a configuration is returned unchanged; the
/// log entry holds the result. Fails with OperationIdReused if the id belongs to another command,
/// OperationTooOld if the entry of the operation may have been dropped from the log, and
/// ConfigurationConflict if the target has changed since CommandContext::decidedOn (the detail
/// names the operator, the revision and the current state). Invalid names, values, references and
/// placements fail with their 6xxx result codes.
Result<Configuration> applyCommand(const Configuration &configuration, const Command &command,
                                   const CommandContext &context);

/// Returns the log entry of \a operation, or nullptr.
const OperationRecord *findOperation(const Configuration &configuration,
                                     const OperationId &operation);

} // namespace godwit
