#pragma once

#include <godwit/control/command.h>

#include <optional>

namespace godwit {

/// The operation with which a command conflicts.
struct ConflictInfo
{
    std::string target; ///< Object that both commands change, such as "deployment/NAME".
    OperationId operation;
    OperationRecord record;

    friend bool operator==(const ConflictInfo &, const ConflictInfo &) = default;
};

/// The newest operation in the log that changed the target of \a command after the revision on
/// which the operator based the command, CommandContext::decidedOn. Empty if there is none or if
/// decidedOn is not set.
std::optional<ConflictInfo> findConflict(const Configuration &configuration, const Command &command,
                                         const CommandContext &context);

template <>
struct JsonFields<ConflictInfo>
{
    static constexpr auto table = std::tuple{field("target", &ConflictInfo::target),
                                             field("operation", &ConflictInfo::operation),
                                             field("record", &ConflictInfo::record)};
};

} // namespace godwit
