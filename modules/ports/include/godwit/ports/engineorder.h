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
    Unload,  ///< Unloads a base model with its adapters, or one adapter.
    SetRole, ///< Changes the role of the engine.
};

template <>
struct JsonNames<EngineOrderKind>
{
    static constexpr std::array<std::pair<EngineOrderKind, std::string_view>, 3> table{
            {{EngineOrderKind::Load, "load"},
             {EngineOrderKind::Unload, "unload"},
             {EngineOrderKind::SetRole, "set_role"}}};
};

/// An administrative command to an engine: loads or unloads weights, or sets the role.
// The analyser reports the unset storage of a std::variant of this type (false positive).
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::Load;
    std::string author;      ///< Host and incarnation of the issuing process.
    FencingNumber fencing;   ///< Fencing number of the author. Some engines ignore it.
    ModelPin pin;            ///< Weights to load or unload.
    VersionId baseVersion;   ///< Loading an adapter: version of its base model.
    Digest digest;           ///< Load only: SHA-256 of all bytes.
    std::uint64_t bytes = 0; ///< Load only: size of the weights.
    std::string role;        ///< SetRole only: "mixed", "prefill" or "decode".

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
