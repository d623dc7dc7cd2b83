#include "swarm.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace godwit::test;

namespace {

std::string randomBytes(Random &random, std::size_t limit)
{
    std::string bytes(random.below(limit), '\0');
    for (char &byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

/// \a text with a few bytes overwritten, removed or repeated.
std::string mutate(std::string text, Random &random)
{
    for (std::uint64_t i = 1 + random.below(4); i > 0 && !text.empty(); --i) {
        const std::size_t at = random.below(text.size());
        switch (random.below(4)) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random.below(20));
            break;
        case 2:
            text.insert(at, text.substr(random.below(text.size()), random.below(40)));
            break;
        default:
            text[at] = "0123456789[]{}\",:-e"[random.below(19)];
        }
    }
    return text;
}

} // namespace

// Guards against crashes and against parsers that do not enforce their limits.
TEST_CASE("Random and mutated texts are parsed safely")
{
    Random random(7);
    const std::string manifest = toJsonText(makeManifest("v1", 5));
    HaveUpdate update;
    update.transfer = Digest::of("x");
    update.full = true;
    update.bitmap = "0f3";
    update.added = {1, 2};
    const std::string have = toJsonText(update);
    for (int i = 0; i < 20000; ++i) {
        const std::string text = i % 4 == 0 ? randomBytes(random, 300) : mutate(manifest, random);
        const auto parsed = capture([&] { return parseManifest(text); });
        if (succeeded(parsed)) {
            const Manifest &value = std::get<Manifest>(parsed);
            CHECK(value.chunkCount() <= ManifestLimits::Chunks);
            CHECK(value.chunkSize(value.chunkCount() - 1) <= value.chunkBytes);
        }
        const auto message = capture([&] { return parseHaveUpdate(mutate(have, random)); });
        if (succeeded(message))
            (void)capture([&] { return decodeBitmap(std::get<HaveUpdate>(message).bitmap, 10); });
    }
}

// Guards against peers and late replies that crash the planner or corrupt its state.
TEST_CASE("Random events leave the planner consistent")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        const Manifest manifest = makeManifest("v1", 30);
        Swarm swarm(seed);
        swarm.publish(manifest);
        for (int i = 0; i < 4; ++i)
            swarm.addHost("h" + std::to_string(i));
        swarm.startAll(manifest);
        TransferPlanner &planner = swarm.planner("h0");
        for (int i = 0; i < 300; ++i) {
            swarm.run(Duration(static_cast<std::int64_t>(random.below(2000))));
            const HostId peer("h" + std::to_string(random.below(6)));
            HaveUpdate update;
            update.transfer = random.chance(0.9) ? manifest.digest() : Digest::of("other");
            update.full = random.chance(0.3);
            update.wantReply = random.chance(0.1);
            update.bitmap = random.chance(0.5) ? std::string(8, 'f') : randomBytes(random, 12);
            update.added = {static_cast<ChunkIndex>(random.below(70000))};
            update.removed = {static_cast<ChunkIndex>(random.below(40))};
            update.backlog = static_cast<std::uint32_t>(random());
            auto bytes = std::make_shared<const std::string>(randomBytes(random, 1500));
            TransferActions actions;
            switch (random.below(6)) {
            case 0:
                actions = planner.peerHave(swarm.now, peer, update);
                break;
            case 1:
                actions = planner.chunkArrived(swarm.now, random.below(200), bytes);
                break;
            case 2:
                actions =
                        planner.chunkFailed(swarm.now, random.below(200), ResultCode::ChunkNotHeld);
                break;
            case 3:
                actions = planner.uploadFinished(swarm.now, random.below(50));
                break;
            case 4:
                actions = planner.engineAccepted(swarm.now, manifest.digest(),
                                                 static_cast<ChunkIndex>(random.below(40)));
                break;
            default:
                // Confirms a load that is not finished.
                if (planner.status().front().accepted < manifest.chunkCount())
                    actions = planner.engineLoaded(swarm.now, manifest.digest());
            }
            swarm.apply("h0", std::move(actions));
        }
        CHECK(swarm.runUntilServable(manifest));
        const std::vector<std::string> none;
        CHECK(swarm.violations == none);
    }
}
