#include <godwit/control/command.h>

#include <array>
#include <utility>

namespace godwit {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<Command>> CommandNames{
        "create_deployment", "create_model",    "create_version",
        "create_adapter",    "allow",           "deny",
        "load_model",        "change_version",  "switch_role",
        "drain_host",        "return_host",     "cancel_order",
        "step_order",        "repair_placement"};

template <std::size_t Index = 0>
Result<Command> decodeAlternative(std::size_t index, const boost::json::value &json)
{
    if constexpr (Index < std::variant_size_v<Command>) {
        if (index != Index)
            return decodeAlternative<Index + 1>(index, json);
        BOOST_LEAF_AUTO(value, (fromJson<std::variant_alternative_t<Index, Command>>(json)));
        return Command(std::in_place_index<Index>, std::move(value));
    } else {
        return fail(ResultCode::CommandMalformed, "unknown command kind");
    }
}

struct TargetOf
{
    const OperationId &operation;

    std::string operator()(const CreateModel &c) const { return "model/" + c.model.value(); }
    std::string operator()(const CreateAdapter &c) const { return "adapter/" + c.adapter.value(); }
    std::string operator()(const CreateVersion &c) const
    {
        return c.adapter.empty() ? "model/" + c.model.value() : "adapter/" + c.adapter.value();
    }
    std::string operator()(const LoadModel &) const { return "order/" + operation.value(); }
    std::string operator()(const SwitchRole &c) const { return "backend/" + c.backend.value(); }
    std::string operator()(const auto &c) const
    {
        if constexpr (requires { c.order; })
            return "order/" + c.order.value();
        else if constexpr (requires { c.host; })
            return "host/" + c.host.value();
        else
            return "deployment/" + c.deployment.value();
    }
};

} // namespace

std::string_view commandName(const Command &command)
{
    return CommandNames[command.index()];
}

std::string commandTarget(const Command &command, const OperationId &operation)
{
    return std::visit(TargetOf{operation}, command);
}

boost::json::value commandToJson(const Command &command)
{
    auto json = std::visit([](const auto &value) { return toJson(value); }, command);
    const std::string_view name = commandName(command);
    json.as_object()["kind"] = boost::json::string(name.data(), name.size());
    return json;
}

Result<Command> commandFromJson(const boost::json::value &json)
{
    const auto *object = json.if_object();
    const auto *kind = object ? object->if_contains("kind") : nullptr;
    if (!kind || !kind->is_string())
        return fail(ResultCode::CommandMalformed,
                    "a command must be an object with a string field kind");
    const std::string_view name = kind->get_string();
    for (std::size_t i = 0; i < CommandNames.size(); ++i) {
        if (CommandNames[i] == name)
            return decodeAlternative(i, json);
    }
    return fail(ResultCode::CommandMalformed,
                "unknown command kind " + std::string(name.substr(0, 64)));
}

} // namespace godwit
