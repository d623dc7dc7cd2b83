#pragma once

#include <godwit/control/command.h>

#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Body of `POST /v1/commands`.
struct CommandRequest
{
    OperationId operation;
    std::string who;
    std::int64_t when = 0; ///< Wall clock of the sender at the first send, ms since 1970.
    std::optional<Revision> decidedOn;
    Command command;

    friend bool operator==(const CommandRequest &, const CommandRequest &) = default;
};

template <>
struct JsonFields<CommandRequest>
{
    static constexpr auto table = std::tuple{
            field("operation", &CommandRequest::operation), field("who", &CommandRequest::who),
            field("when", &CommandRequest::when), field("decided_on", &CommandRequest::decidedOn),
            field("command", &CommandRequest::command)};
};

template <>
struct JsonCodec<Command>
{
    static boost::json::value encode(const Command &command) { return commandToJson(command); }
    static Result<Command> decode(const boost::json::value &json, const std::string &)
    {
        return commandFromJson(json);
    }
};

} // namespace godwit
