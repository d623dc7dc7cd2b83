#include "manifestexchange.h"
#include "manifestsource.h"

#include "fakeengine.h"
#include "virtualscheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

/// Origin that counts its reads and, while `corruptReads` is positive, returns a different wrong
/// manifest each time.
class CountingOrigin : public WeightOriginPort
{
public:
    int reads = 0;
    int corruptReads = 0;
    bool isDown = false;

    void readManifest(const ModelId &, std::uint64_t version, Completion<Manifest> done) override
    {
        ++reads;
        if (isDown) {
            done(Error{ResultCode::PlatformUnreachable, "down"});
            return;
        }
        Manifest manifest = testManifest(version);
        if (corruptReads-- > 0)
            manifest.chunks[0] = Digest::of(std::to_string(reads));
        done(manifest);
    }
    std::shared_ptr<CallHandle> readChunk(const ModelId &, std::uint64_t, ChunkIndex, std::uint32_t,
                                          Completion<std::string>) override
    {
        return nullptr;
    }
};

/// Hosts whose ManifestExchange objects reach each other after a delay, unless a host is down.
class Exchanges
{
public:
    explicit Exchanges(int hosts, int regions)
    {
        for (int i = 0; i < hosts; ++i) {
            const std::string region = "region" + std::to_string(i % regions);
            participants.push_back(
                    {HostId("host" + std::to_string(i)), ZoneId(region), RegionId(region)});
        }
        for (const Participant &it : participants)
            m_hosts.emplace(it.host, std::make_unique<Host>(*this, it));
    }

    void readAll()
    {
        for (auto &[id, host] : m_hosts) {
            if (!down.contains(id))
                read(*host);
        }
    }

    std::size_t countWith(const Digest &digest) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const auto &entry) {
            return entry.second->manifest && entry.second->manifest->digest() == digest;
        }));
    }

    VirtualScheduler scheduler;
    std::shared_ptr<CountingOrigin> origin = std::make_shared<CountingOrigin>();
    std::vector<Participant> participants;
    std::set<HostId> down;

private:
    struct Host : NullPeerTransport
    {
        Host(Exchanges &owner, const Participant &self)
            : exchanges(owner)
            , exchange(self, owner.scheduler, *this)
        {
            exchange.setOrigin(owner.origin);
            exchange.setParticipants(owner.participants);
        }

        void fetchManifest(const HostId &peer, const ModelId &model, std::uint64_t version,
                           Completion<Manifest> done) override
        {
            const auto answered = std::make_shared<bool>(false);
            const auto answer = [answered, done](Outcome<Manifest> outcome) {
                if (!std::exchange(*answered, true))
                    done(std::move(outcome));
            };
            timers.push_back(exchanges.scheduler.after(600ms, [answer] {
                answer(Error{ResultCode::PlatformTimeout, "silent"});
            }));
            if (exchanges.down.contains(peer))
                return;
            timers.push_back(exchanges.scheduler.after(1ms, [this, peer, model, version, answer] {
                exchanges.m_hosts.at(peer)->exchange.onRequest(
                        {model, version, [answer](const auto &found) {
                             if (found)
                                 answer(*found);
                             else
                                 answer(Error{ResultCode::ChunkNotHeld, "refused"});
                         }});
            }));
        }

        Exchanges &exchanges;
        ManifestExchange exchange;
        std::shared_ptr<const Manifest> manifest;
        std::uint32_t failures = 0;
        std::vector<std::unique_ptr<Timer>> timers;
    };

    void read(Host &host)
    {
        host.exchange.read(TestModel, 2, host.failures, [this, &host](const auto &outcome) {
            if (const auto *manifest = std::get_if<Manifest>(&outcome)) {
                host.manifest = std::make_shared<const Manifest>(*manifest);
                host.exchange.publish(TestModel, 2, host.manifest);
                return;
            }
            ++host.failures;
            host.timers.push_back(scheduler.after(30ms, [this, &host] { read(host); }));
        });
    }

    std::map<HostId, std::unique_ptr<Host>> m_hosts;
};

} // namespace

// Load pattern: a version is named, and all hosts of the fleet need its manifest at once. Guards
// against all of them reading it from the origin, which accepts few connections and needs longer
// for hundreds of manifests than for half of the weights.
TEST_CASE("A manifest reaches all hosts by few reads from the origin")
{
    const int hosts = GENERATE(12, 204, 550);
    constexpr int Regions = 5;
    Exchanges it(hosts, Regions);
    it.readAll();
    it.scheduler.advance(100ms);
    CHECK(it.countWith(testManifest(2).digest()) == it.participants.size());
    // Each reader reads twice.
    CHECK(it.origin->reads <= 2 * Regions * static_cast<int>(OriginReadersPerRegion));
}

TEST_CASE("Hosts read a manifest elsewhere if their source fails")
{
    constexpr int Hosts = 60;
    Exchanges it(Hosts, 2);

    SECTION("when a third of the hosts is silent")
    {
        for (int i = 0; i < Hosts; i += 3)
            it.down.insert(it.participants[static_cast<std::size_t>(i)].host);
        it.readAll();
        it.scheduler.advance(3s);
        CHECK(it.countWith(testManifest(2).digest()) == Hosts - it.down.size());
    }
    SECTION("when the origin is down for some time")
    {
        it.origin->isDown = true;
        it.readAll();
        it.scheduler.advance(1s);
        CHECK(it.countWith(testManifest(2).digest()) == 0);
        it.origin->isDown = false;
        it.scheduler.advance(2s);
        CHECK(it.countWith(testManifest(2).digest()) == Hosts);
    }
    // A corrupt manifest that spreads would make the version unavailable on all hosts below.
    SECTION("and when the origin returns corrupt manifests at first")
    {
        it.origin->corruptReads = 9;
        it.readAll();
        it.scheduler.advance(2s);
        CHECK(it.countWith(testManifest(2).digest()) == Hosts);
    }
}

TEST_CASE("The sources of a manifest form a tree")
{
    constexpr int Hosts = 41;
    std::vector<Participant> participants;
    participants.reserve(Hosts);
    for (int i = 0; i < Hosts; ++i)
        participants.push_back({HostId("h" + std::to_string(i)), ZoneId("z"), RegionId("r")});
    std::map<HostId, std::size_t> children;
    for (const Participant &it : participants) {
        const auto source = manifestSource(participants, it, "m/2", 0);
        if (source)
            ++children[*source];
    }
    CHECK(std::ranges::all_of(children,
                              [](const auto &entry) { return entry.second <= ManifestFanOut; }));
    CHECK_FALSE(manifestSource(participants, participants[0], "m/2", OriginReadersPerRegion + 1));
    CHECK_FALSE(manifestSource({}, participants[0], "m/2", 0));
}
