#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/ports/modelpin.h>

#include <array>
#include <cstdint>
#include <string>

namespace godwit {

enum class EngineOrderKind {
    Load,    ///< Replaces the base model, or adds an adapter to it.
    Unload,  ///< Frees a base model with its adapters, or one adapter.
    SetRole, ///< Changes the role.
};

template <>
struct JsonNames<EngineOrderKind>
{
    static constexpr std::array<std::pair<EngineOrderKind, std::string_view>, 3> table{
            {{EngineOrderKind::Load, "load"},
             {EngineOrderKind::Unload, "unload"},
             {EngineOrderKind::SetRole, "set_role"}}};
};

/// An order to an engine.
// The analyser takes the storage of a std::variant that holds this type for an unset object.
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::Load;
    std::string author;      ///< Host and incarnation of the process that gives the order.
    FencingNumber fencing;   ///< Of the author. Some engines ignore it.
    ModelPin pin;            ///< Of Load and Unload.
    VersionId baseVersion;   ///< Of an adapter's Load: the version of the base model it belongs to.
    Digest digest;           ///< Of Load: SHA-256 of all bytes.
    std::uint64_t bytes = 0; ///< Of Load: size of the weights.
    std::string role;        ///< Of SetRole: "mixed", "prefill" or "decode".

    friend auto operator<=>(const EngineOrder &, const EngineOrder &) = default;
};

template <>
struct JsonFields<EngineOrder>
{
    static constexpr auto table = std::tuple{field("kind", &EngineOrder::kind),
                                             field("author", &EngineOrder::author),
                                             field("fencing", &EngineOrder::fencing),
                                             field("pin", &EngineOrder::pin),
                                             field("base_version", &EngineOrder::baseVersion),
                                             field("digest", &EngineOrder::digest),
                                             field("bytes", &EngineOrder::bytes),
                                             field("role", &EngineOrder::role)};
};

} // namespace godwit
