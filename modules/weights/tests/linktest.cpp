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

    // Guards against storing unverified bytes.
    SECTION("refuses chunks that do not match their digest or exceed the limit")
    {
        CHECK(put(store, A, Digest::of(one), 1000, two) == ResultCode::ChunkCorrupt);
        CHECK(put(store, A, Digest::of(one), 1000, "short") == ResultCode::ChunkSizeWrong);
        CHECK(put(store, A, Digest::of(one), 1000, one) == ResultCode::Ok);
        CHECK(put(store, A, Digest::of(two), 1000, two) == ResultCode::Ok);
        CHECK(put(store, A, Digest::of(three), 1000, three) == ResultCode::ChunkWindowFull);
        CHECK(store.usedBytes() == 2000);
    }
    // Guards against freeing a chunk for one version while another version needs it.
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
    // Guards against an unloaded chunk that still counts as used or cannot be stored again.
    SECTION("keeps the entry of an unloaded chunk")
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
                pacer.recordLiveTraffic(now, static_cast<std::uint64_t>(live * 500e-6));
            sent[0] += pacer.acquire(now, A, 1000);
            sent[1] += both ? pacer.acquire(now, B, 1000) : 0;
        }
    };

    // Guards against bursts that ignore the priorities of their deployments.
    SECTION("divides the rate by weight and reassigns the share of an idle transfer")
    {
        pacer.setWeight(B, 1);
        run(10s, true, 0);
        CHECK(sent[0] + sent[1] == Approx(9e6).epsilon(0.05));
        CHECK(sent[0] == Approx(3 * sent[1]).epsilon(0.05));
        run(10s, false, 0);
        CHECK(sent[0] == Approx(9e6).epsilon(0.05));
        run(10s, true, 0); // B gets no credit for idle time
        CHECK(sent[0] == Approx(3 * sent[1]).epsilon(0.1));
    }
    // Guards against weights that delay live traffic, and against live traffic that starves
    // weights.
    SECTION("live traffic takes precedence, weights keep a minimum")
    {
        run(10s, false, 0.5e6);
        CHECK(sent[0] == Approx(4e6).epsilon(0.1));
        run(10s, false, 0.9e6);
        CHECK(sent[0] > 0);
        CHECK(sent[0] < 0.5e6);
    }
    SECTION("queueing delay reduces the rate, which recovers afterwards")
    {
        const double before = pacer.rate();
        for (int i = 0; i < 20; ++i)
            pacer.recordQueueingDelay(now += 25ms, 10ms);
        CHECK(pacer.rate() < before / 10);
        for (int i = 0; i < 2000; ++i)
            pacer.recordQueueingDelay(now += 25ms, 0ms);
        CHECK(pacer.rate() == Approx(before));
    }
    // Guards against a host link budget that omits the weights paced by slower links.
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
    SECTION("an unknown transfer is granted nothing")
    {
        CHECK(pacer.acquire(now, Digest::of("c"), 1000) == 0);
    }
}
