#pragma once

#include <godwit/base/ids.h>
#include <godwit/ports/httpendpoint.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace godwit {

/// Consecutive layers of one version of a model that an engine holds.
struct LayerRange
{
    std::uint32_t first = 0;
    std::uint32_t end = 0; ///< Behind the last one.
    std::uint64_t version = 0;

    friend auto operator<=>(const LayerRange &, const LayerRange &) = default;
};

/// A model that an engine serves.
struct ServedModel
{
    ModelId model;
    std::uint64_t version = 0;

    friend auto operator<=>(const ServedModel &, const ServedModel &) = default;
};

/// A backend server as it has registered itself.
struct BackendRecord
{
    BackendId id;
    std::string service;
    HttpEndpoint endpoint;
    ZoneId zone;
    std::uint32_t slots = 0;       ///< Requests that it runs at once; 0 if not known.
    bool draining = false;         ///< It finishes its requests and leaves.
    std::uint64_t startTimeMs = 0; ///< Unix time of its start; another value is another process.
    std::vector<ServedModel> models;
    std::optional<LayerRange> layers; ///< None if it does not load its model by layers.

    friend bool operator==(const BackendRecord &, const BackendRecord &) = default;
};

} // namespace godwit
