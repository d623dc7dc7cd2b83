#pragma once

#include "fakeengine.h"
#include "virtualscheduler.h"

#include <godwit/rollout/versionrollout.h>

namespace godwit {

/// A VersionRollout of a host without peers, in virtual time.
struct RolloutFixture
{
    VirtualScheduler scheduler;
    FakeEngine engine{scheduler};
    NullPeerTransport peers;
    std::shared_ptr<FakeOrigin> origin = std::make_shared<FakeOrigin>(scheduler);
    int newerVersions = 0;
    VersionRollout rollout{
            options(), {scheduler, engine, peers, {}, [this] { ++newerVersions; }}, Random(4)};

    RolloutFixture()
    {
        rollout.setParticipants({{HostId("10.0.0.1"), ZoneId("z"), RegionId("r")}});
        rollout.setOrigin(origin, RegionId("r"));
    }

    static RolloutOptions options()
    {
        RolloutOptions it;
        it.self = {HostId("10.0.0.1"), ZoneId("z"), RegionId("r")};
        it.transfer.hostRate = 1e6;
        it.transfer.originRate = 1e6;
        it.transfer.maxBackoff = std::chrono::milliseconds(500);
        it.maxCachedChunks = 1;
        return it;
    }

    VersionWindow window() const { return {scheduler.now(), std::chrono::seconds(8)}; }

    bool isServing(std::uint64_t version) const
    {
        return engine.report.models == std::vector<ServedModel>{{TestModel, version}};
    }

    void stageAll(std::uint64_t version)
    {
        for (ChunkIndex i = 0; i < TestChunkCount; ++i)
            engine.staged[i] = testChunk(version, i);
    }
};

} // namespace godwit
