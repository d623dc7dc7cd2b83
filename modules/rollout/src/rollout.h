#pragma once

#include "rolloutphase.h"

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/rollout/loadconfirmation.h>

#include <cstdint>
#include <memory>

namespace godwit {

/// A version that is being loaded into the engine or is served by it.
struct Rollout
{
    ModelId model;
    std::uint64_t version = 0;
    TimePoint wantedAt;
    bool hasWindow = false;             ///< Requested with VersionWindow.
    bool isServing = false;             ///< The engine serves the version, from sound chunks.
    std::uint32_t manifestFailures = 0; ///< Since the manifest was last read.
    RolloutPhase phase;
    /// What is known of the orders for the version, in any phase. Never null; shared with the
    /// stagers.
    std::shared_ptr<LoadConfirmation> confirmation = std::make_shared<LoadConfirmation>();

    /// Null in other phases.
    LoadingPhase *loading() { return std::get_if<LoadingPhase>(&phase); }
    const LoadingPhase *loading() const { return std::get_if<LoadingPhase>(&phase); }

    bool isIdle() const { return std::holds_alternative<IdlePhase>(phase); }

    /// Null until it has been read.
    std::shared_ptr<const Manifest> manifest() const
    {
        if (const auto *listing = std::get_if<ListingStagedPhase>(&phase))
            return listing->manifest;
        return loading() ? loading()->manifest : nullptr;
    }

    bool isAwaitingOrder() const
    {
        return loading() && loading()->progress == LoadingPhase::Progress::AwaitingOrder;
    }
};

/// Name of the phase of \a rollout in logs.
const char *phaseName(const Rollout &rollout);

} // namespace godwit
