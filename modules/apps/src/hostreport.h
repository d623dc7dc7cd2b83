#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/ports/cacheevent.h>
#include <godwit/ports/engineload.h>
#include <godwit/ports/modelpin.h>
#include <godwit/requests/slotdocument.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace godwit {

/// State of one backend server as observed by its host process.
struct BackendReport
{
    BackendId backend;
    bool plain = false;
    DeploymentId deployment; ///< Set for a plain service.
    bool up = false;
    std::uint64_t boots = 0;
    std::string role = "mixed";
    std::vector<ModelPin> loaded; ///< Weights that are ready to serve requests.
    ModelPin target;              ///< Weights that the load orders place here.
    std::uint32_t transferPercent = 0;
    std::string problem; ///< Last error of an order or a transfer.
    std::uint32_t running = 0;
    bool reportsLoad = false;
    EngineLoad load;
    std::vector<CacheEvent> cacheEvents; ///< Since the previous report on the same stream.
    std::uint64_t blockCharacters = 64;

    friend bool operator==(const BackendReport &, const BackendReport &) = default;
};

/// One line of a `/load` stream.
struct HostReport
{
    HostId host;
    Incarnation incarnation;
    std::int64_t clock = 0; ///< Monotonic clock of the host process in microseconds.
    bool leaving = false;
    std::vector<BackendReport> backends;
    std::map<DeploymentId, SlotDocument> slots; ///< Slot owners, on a change and every 5 s.

    friend bool operator==(const HostReport &, const HostReport &) = default;
};

template <>
struct JsonFields<BackendReport>
{
    static constexpr auto table =
            std::tuple{field("backend", &BackendReport::backend),
                       field("plain", &BackendReport::plain),
                       field("deployment", &BackendReport::deployment),
                       field("up", &BackendReport::up),
                       field("boots", &BackendReport::boots),
                       field("role", &BackendReport::role),
                       field("loaded", &BackendReport::loaded),
                       field("target", &BackendReport::target),
                       field("transfer_percent", &BackendReport::transferPercent),
                       field("problem", &BackendReport::problem),
                       field("running", &BackendReport::running),
                       field("reports_load", &BackendReport::reportsLoad),
                       field("load", &BackendReport::load),
                       field("cache_events", &BackendReport::cacheEvents),
                       field("block_characters", &BackendReport::blockCharacters)};
};

template <>
struct JsonFields<HostReport>
{
    static constexpr auto table = std::tuple{field("host", &HostReport::host),
                                             field("incarnation", &HostReport::incarnation),
                                             field("clock_us", &HostReport::clock),
                                             field("leaving", &HostReport::leaving),
                                             field("backends", &HostReport::backends),
                                             field("slots", &HostReport::slots)};
};

} // namespace godwit
