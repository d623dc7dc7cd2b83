#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/language/loadview.h>
#include <godwit/language/reportederror.h>

#include <array>
#include <cstdint>
#include <vector>

namespace godwit {

/// Whether a backend server responds to its host process.
enum class BackendState { Up, Down };

/// Observed state of one backend server.
struct BackendView
{
    BackendId backend;
    HostId host;
    DeploymentId service; ///< Deployment of a plain service; empty for an engine.
    BackendState state = BackendState::Up;
    std::vector<LoadView> loads; ///< Empty for a plain service.
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    ReportedError lastError; ///< Most recent refusal of a load order by the engine.

    friend bool operator==(const BackendView &, const BackendView &) = default;
};

template <>
struct JsonNames<BackendState>
{
    static constexpr std::array<std::pair<BackendState, std::string_view>, 2> table{
            {{BackendState::Up, "up"}, {BackendState::Down, "down"}}};
};

template <>
struct JsonFields<BackendView>
{
    static constexpr auto table =
            std::tuple{field("backend", &BackendView::backend),
                       field("host", &BackendView::host),
                       field("service", &BackendView::service),
                       field("state", &BackendView::state),
                       field("loads", &BackendView::loads),
                       field("running_requests", &BackendView::runningRequests),
                       field("queued_requests", &BackendView::queuedRequests),
                       field("last_error", &BackendView::lastError)};
};

} // namespace godwit
