#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/loadedmodel.h>
#include <godwit/language/reportederror.h>

#include <array>
#include <cstdint>

namespace godwit {

enum class LoadState { Transferring, Loading, Serving, Unloading, Failed };

/// Model or adapter that an engine has loaded, or that is being transferred, loaded or unloaded.
struct LoadView
{
    LoadedModel load;
    LoadState state = LoadState::Serving; ///< Serving: confirmed by the engine.
    std::uint64_t bytesReady = 0;         ///< Verified bytes of the transfer.
    std::uint64_t bytesTotal = 0;         ///< 0 if unknown.
    ReportedError error; ///< For Failed: refusal by the engine, or transfer failure.

    friend bool operator==(const LoadView &, const LoadView &) = default;
};

template <>
struct JsonNames<LoadState>
{
    static constexpr std::array<std::pair<LoadState, std::string_view>, 5> table{
            {{LoadState::Transferring, "transferring"},
             {LoadState::Loading, "loading"},
             {LoadState::Serving, "serving"},
             {LoadState::Unloading, "unloading"},
             {LoadState::Failed, "failed"}}};
};

template <>
struct JsonFields<LoadView>
{
    static constexpr auto table = std::tuple{
            field("load", &LoadView::load), field("state", &LoadView::state),
            field("bytes_ready", &LoadView::bytesReady),
            field("bytes_total", &LoadView::bytesTotal), field("error", &LoadView::error)};
};

} // namespace godwit
