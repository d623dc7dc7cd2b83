#include <godwit/weights/chunkstore.h>
#include <godwit/weights/linkpacer.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const Digest A = Digest::of("a");
const Digest B = Digest::of("b");

ResultCode put(ChunkStore &store, const Digest &owner, const Digest &digest, std::uint32_t size,
               const std::string &bytes)
{
    const auto outcome = capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(
                store.put(owner, digest, size, std::make_shared<const std::string>(bytes)));
        return true;
    });
    return succeeded(outcome) ? ResultCode::Ok : std::get<Error>(outcome).code;
}

} // namespace

TEST_CASE("ChunkStore")
{
    ChunkStore store(2500);
    const std::string one(1000, '1'), two(1000, '2'), three(1000, '3');

    // Guards against unverified bytes that are stored.
    SECTION("refuses what does not match and what does not fit")
    {
        CHECK(put(store, A, Digest::of(one), 1000, two) == ResultCode::ChunkCorrupt);
        CHECK(put(store, A, Digest::of(one), 1000, "short") == ResultCode::ChunkSizeWrong);
        CHECK(put(store, A, Digest::of(one), 1000, one) == ResultCode::Ok);
        CHECK(put(store, A, Digest::of(two), 1000, two) == ResultCode::Ok);
        CHECK(put(store, A, Digest::of(three), 1000, three) == ResultCode::ChunkWindowFull);
        CHECK(store.usedBytes() == 2000);
    }
    // Guards against a chunk that one version frees while another needs it.
    SECTION("shares equal chunks between owners")
    {
        REQUIRE(put(store, A, Digest::of(one), 1000, one) == ResultCode::Ok);
        REQUIRE(put(store, B, Digest::of(one), 1000, one) == ResultCode::Ok);
        CHECK(store.usedBytes() == 1000);
        CHECK_FALSE(store.release(A, Digest::of(one)));
        CHECK_FALSE(store.release(A, Digest::of(one)));
        CHECK(store.contains(Digest::of(one)));
        CHECK(store.release(B, Digest::of(one)));
        CHECK(store.usedBytes() == 0);
    }
    // Guards against an unloaded chunk that still counts, or that can never be loaded again.
    SECTION("keeps an unloaded chunk without its bytes")
    {
        REQUIRE(put(store, A, Digest::of(one), 1000, one) == ResultCode::Ok);
        store.unload(Digest::of(one));
        store.unload(Digest::of(one));
        CHECK(store.usedBytes() == 0);
        CHECK(store.contains(Digest::of(one)));
        CHECK_FALSE(store.find(Digest::of(one)));
        CHECK(put(store, B, Digest::of(one), 1000, one) == ResultCode::Ok);
        CHECK(store.usedBytes() == 1000);
        CHECK_FALSE(store.release(A, Digest::of(one)));
        CHECK(store.release(B, Digest::of(one)));
        CHECK(store.usedBytes() == 0);
    }
}

TEST_CASE("LinkPacer")
{
    LinkPacerSettings settings;
    settings.bytesPerSecond = 1e6;
    settings.quantum = 1000;
    LinkPacer pacer(settings);
    pacer.setWeight(A, 3);
    TimePoint now{1h};
    double sent[2] = {0, 0};
    const auto run = [&](Duration span, bool both, double live) {
        sent[0] = sent[1] = 0;
        for (const TimePoint end = now + span; now < end; now += 500us) {
            if (live > 0)
                pacer.liveSent(now, static_cast<std::uint64_t>(live * 500e-6));
            sent[0] += pacer.take(now, A, 1000);
            sent[1] += both ? pacer.take(now, B, 1000) : 0;
        }
    };

    // Guards against bursts that ignore the priorities of their deployments.
    SECTION("divides the rate by weight, and the share of an idle transfer is used")
    {
        pacer.setWeight(B, 1);
        run(10s, true, 0);
        CHECK(sent[0] + sent[1] == Approx(9e6).epsilon(0.05));
        CHECK(sent[0] == Approx(3 * sent[1]).epsilon(0.05));
        run(10s, false, 0);
        CHECK(sent[0] == Approx(9e6).epsilon(0.05));
        run(10s, true, 0); // B has no claim on the time it was idle
        CHECK(sent[0] == Approx(3 * sent[1]).epsilon(0.1));
    }
    // Guards against weights that delay live traffic, and against weights that never end.
    SECTION("live traffic takes precedence, weights keep a minimum")
    {
        run(10s, false, 0.5e6);
        CHECK(sent[0] == Approx(4e6).epsilon(0.1));
        run(10s, false, 0.9e6);
        CHECK(sent[0] > 0);
        CHECK(sent[0] < 0.5e6);
    }
    SECTION("queueing delay slows weights down, and they recover")
    {
        const double before = pacer.rate();
        for (int i = 0; i < 20; ++i)
            pacer.delayMeasured(now += 25ms, 10ms);
        CHECK(pacer.rate() < before / 10);
        for (int i = 0; i < 2000; ++i)
            pacer.delayMeasured(now += 25ms, 0ms);
        CHECK(pacer.rate() == Approx(before));
    }
    // Guards against weights for slower links that the budget of the host's link misses.
    SECTION("bytes outside the shares are charged to the budget")
    {
        run(1s, false, 0);
        CHECK_FALSE(pacer.isInDebt(now));
        pacer.charge(now, 450'000);
        CHECK(pacer.isInDebt(now));
        run(1s, false, 0);
        CHECK(sent[0] == Approx(0.45e6).epsilon(0.05));
        CHECK_FALSE(pacer.isInDebt(now));
    }
    SECTION("the rate can be changed")
    {
        pacer.setBytesPerSecond(now, 0.5e6);
        run(10s, false, 0);
        CHECK(sent[0] == Approx(4.5e6).epsilon(0.05));
    }
    SECTION("an unknown transfer gets nothing")
    {
        CHECK(pacer.take(now, Digest::of("c"), 1000) == 0);
    }
}
