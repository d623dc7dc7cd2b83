#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <cstdint>
#include <string>

namespace godwit {

/// Entry of the operation log: one accepted command.
struct OperationRecord
{
    std::string who;
    std::int64_t when = 0; ///< Wall clock of the sender, milliseconds since 1970.
    std::string what;      ///< Name of the command, see commandName().
    std::string target;    ///< Changed object, such as "deployment/NAME".
    std::string command;   ///< First 16 hexadecimal digits of the digest of the command.
    Revision revision;     ///< Revision that the command produced.

    friend bool operator==(const OperationRecord &, const OperationRecord &) = default;
};

template <>
struct JsonFields<OperationRecord>
{
    static constexpr auto table = std::tuple{field("who", &OperationRecord::who),
                                             field("when", &OperationRecord::when),
                                             field("what", &OperationRecord::what),
                                             field("target", &OperationRecord::target),
                                             field("command", &OperationRecord::command),
                                             field("revision", &OperationRecord::revision)};
};

} // namespace godwit
