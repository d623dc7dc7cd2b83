#pragma once

#include <godwit/control/configuration.h>
#include <godwit/control/loadedmodel.h>

namespace godwit {

enum class ModelOrderKind { Load, Unload, SwitchRole };

/// Order to an engine: load or unload a model or adapter, or switch the role.
struct ModelOrder
{
    ModelOrderKind kind = ModelOrderKind::Load;
    LoadedModel item;                      ///< For Load and Unload.
    BackendRole role = BackendRole::Mixed; ///< For SwitchRole.
    FencingNumber fencing;

    friend bool operator==(const ModelOrder &, const ModelOrder &) = default;
};

} // namespace godwit
