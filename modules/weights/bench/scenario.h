#pragma once

#include "network.h"

#include <godwit/weights/chunkstore.h>
#include <godwit/weights/transferorder.h>
#include <godwit/weights/transfersettings.h>

#include <algorithm>
#include <optional>
#include <set>

namespace godwit::bench {

/// All sizes and rates are divided by this factor. Times and ratios stay the same, but fewer bytes
/// have to be hashed.
constexpr double Scale = 256;
constexpr std::uint32_t ChunkBytesScaled = (4U << 20) / 256;
constexpr ChunkIndex Chunks = 512; // 2 GiB in chunks of 4 MiB

struct Scenario
{
    Layout layout;
    TransferPolicy policy = TransferPolicy::TimeFirst;
    bool faults = false;
    std::uint64_t seed = 1;
    ChunkIndex chunks = Chunks;
    /// Settings of all planners; if empty, the defaults with the rates of the layout.
    std::optional<TransferSettings> settings = std::nullopt;
    /// Hosts receive the order at random times within this span, in which a change propagates.
    Duration startSpread = std::chrono::milliseconds(20);

    double modelBytes() const { return static_cast<double>(chunks) * ChunkBytesScaled; }
};

/// Lower bound, in seconds, of the time until all hosts have all bytes, given the link rates.
inline double lowerBound(const Scenario &scenario)
{
    const Layout &layout = scenario.layout;
    const double size = scenario.modelBytes();
    double bound = std::max(size / layout.originRate, size / layout.hostRate);
    bound = std::max(bound,
                     layout.hosts * size / (layout.originRate + layout.hosts * layout.hostRate));
    if (layout.regions > 1) // all links into one region together
        bound = std::max(bound, size / ((layout.regions - 1) * layout.regionRate));
    return bound;
}

/// Manifest and chunks that the origin publishes.
struct Weights
{
    Manifest manifest;
    std::vector<ChunkBytes> bytes;
};

inline Weights makeWeights(const Scenario &scenario)
{
    Weights weights;
    weights.manifest = {DeploymentId("bench"),
                        ModelId("model"),
                        {},
                        VersionId("1"),
                        {},
                        static_cast<std::uint64_t>(scenario.chunks) * ChunkBytesScaled,
                        ChunkBytesScaled,
                        {}};
    Random random(scenario.seed);
    for (ChunkIndex i = 0; i < scenario.chunks; ++i) {
        std::string bytes(ChunkBytesScaled, '\0');
        for (std::size_t k = 0; k < 64; ++k)
            bytes[k] = static_cast<char>(random());
        weights.manifest.chunks.push_back(Digest::of(bytes));
        weights.bytes.push_back(std::make_shared<const std::string>(std::move(bytes)));
    }
    return weights;
}

/// Faults of one run, derived from its seed.
struct FaultPlan
{
    double corruption = 0;
    std::map<int, Duration> kills;
    int stalledHost = -1;
    Duration stalledAt{};

    static FaultPlan draw(const Scenario &scenario, Random &random)
    {
        FaultPlan plan;
        if (!scenario.faults)
            return plan;
        const double bound = lowerBound(scenario);
        const int hosts = scenario.layout.hosts;
        plan.corruption = 0.05;
        while (static_cast<int>(plan.kills.size()) < (hosts + 5) / 10)
            plan.kills[static_cast<int>(random.below(static_cast<std::uint64_t>(hosts)))] =
                    fromSeconds(bound * (0.3 + 0.4 * random.uniform()));
        do {
            plan.stalledHost = static_cast<int>(random.below(static_cast<std::uint64_t>(hosts)));
        } while (plan.kills.contains(plan.stalledHost));
        plan.stalledAt = fromSeconds(bound * 0.3);
        return plan;
    }
};

/// Time after which a dead host is reported to the others.
constexpr Duration DetectionDelay = std::chrono::seconds(2);

struct RunResult
{
    double seconds = 0; ///< Until all surviving hosts can serve; negative if some never could.
    double originCopies = 0;
    double regionCopies = 0; ///< On the busiest link between two regions.
    double messagesPerHostSecond = 0;
    std::size_t mostPeers = 0; ///< Other hosts that one host exchanged messages with, at most.
};

inline RunResult makeResult(const Scenario &scenario, const Network &network, bool complete,
                            TimePoint end)
{
    const double seconds = toSeconds(end.time_since_epoch());
    return {complete ? seconds : -1, network.originBytes() / scenario.modelBytes(),
            network.busiestRegionLink() / scenario.modelBytes(),
            static_cast<double>(network.messages()) / scenario.layout.hosts / seconds};
}

} // namespace godwit::bench
