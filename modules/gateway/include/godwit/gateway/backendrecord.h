#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace godwit {

/// Consecutive layers of one version of a model that an engine has loaded.
struct LayerRange
{
    std::uint32_t first = 0;
    std::uint32_t end = 0; ///< One past the last layer.
    std::uint64_t version = 0;

    friend auto operator<=>(const LayerRange &, const LayerRange &) = default;
};

/// Whether an engine that reports \a held has loaded all \a layers of \a version. An engine that
/// reports none does not load its model layer by layer.
inline bool holdsAllLayers(const std::optional<LayerRange> &held, std::uint64_t version,
                           std::uint32_t layers)
{
    return !held || (held->version == version && held->first == 0 && held->end >= layers);
}

/// A model that an engine serves.
struct ServedModel
{
    ModelId model;
    std::uint64_t version = 0;

    friend auto operator<=>(const ServedModel &, const ServedModel &) = default;
};

/// Registration record of a backend server.
struct BackendRecord
{
    BackendId id;
    std::string service;
    HttpEndpoint endpoint;
    ZoneId zone;
    std::uint32_t slots = 0;       ///< Maximum number of concurrent requests; 0 if unknown.
    bool draining = false;         ///< Finishes its requests, then exits.
    std::uint64_t startTimeMs = 0; ///< Unix time; a different value means another process.
    std::vector<ServedModel> models;
    std::optional<LayerRange> layers; ///< None if it does not load its model layer by layer.
    Duration coldFor{0}; ///< How much longer it is cold, from the arrival of the record on.

    friend bool operator==(const BackendRecord &, const BackendRecord &) = default;
};

} // namespace godwit
