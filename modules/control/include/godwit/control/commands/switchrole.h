#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/configuration.h>

namespace godwit {

/// Changes the role of a backend server.
struct SwitchRole
{
    BackendId backend;
    BackendRole role = BackendRole::Mixed;

    friend bool operator==(const SwitchRole &, const SwitchRole &) = default;
};

template <>
struct JsonFields<SwitchRole>
{
    static constexpr auto table =
            std::tuple{field("backend", &SwitchRole::backend), field("role", &SwitchRole::role)};
};

} // namespace godwit
