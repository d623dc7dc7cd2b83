#pragma once

#include <godwit/control/configuration.h>
#include <godwit/control/loadedmodel.h>

#include <cstdint>
#include <set>

namespace godwit {

/// State that an engine reports.
struct ObservedEngine
{
    std::set<LoadedModel> loads;
    BackendRole role = BackendRole::Mixed;
    std::uint32_t runningRequests = 0;

    friend bool operator==(const ObservedEngine &, const ObservedEngine &) = default;
};

} // namespace godwit
