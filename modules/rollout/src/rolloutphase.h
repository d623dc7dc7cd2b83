#pragma once

#include <godwit/ports/scheduler.h>
#include <godwit/rollout/enginestager.h>
#include <godwit/weights/manifest.h>

#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace godwit {

/// Nothing has begun: the origin, the hosts or the engine's report is not known yet, or the engine
/// serves the version and no peer has requested it.
struct IdlePhase
{};

/// The manifest could not be read and is read again later.
struct ManifestRetryPhase
{
    std::unique_ptr<Timer> timer;
};

/// The manifest has been requested from the origin or from a peer.
struct ReadingManifestPhase
{};

/// The engine has been asked which chunks are staged.
struct ListingStagedPhase
{
    std::shared_ptr<const Manifest> manifest; ///< Never null.
};

/// The chunks are fetched and staged, and the engine loads them. Afterwards they are provided to
/// peers.
struct LoadingPhase
{
    enum class Progress {
        Fetching,      ///< Some chunks have not been staged, or were lost since.
        AwaitingOrder, ///< All chunks have been staged; no load order has been accepted.
        Loaded,        ///< The engine has taken all staged chunks or serves the version.
    };

    std::shared_ptr<const Manifest> manifest; ///< Never null.
    Digest transfer;
    std::unique_ptr<EngineStager> stager;   ///< Never null.
    std::set<ChunkIndex> previouslyStaged;  ///< Staged before the transfer, not yet read.
    std::vector<ChunkIndex> deferredChunks; ///< Staged once no older version uses the area.
    Progress progress = Progress::Fetching;
    std::unique_ptr<Timer> restartTimer; ///< Of the transfer, if a staged chunk was lost.
};

/// How far a host has come with a version. Each phase holds what exists in it, so that what an
/// earlier or later phase needs cannot be read.
using RolloutPhase = std::variant<IdlePhase, ManifestRetryPhase, ReadingManifestPhase,
                                  ListingStagedPhase, LoadingPhase>;

} // namespace godwit
