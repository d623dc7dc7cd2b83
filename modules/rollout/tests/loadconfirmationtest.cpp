#include <godwit/rollout/loadconfirmation.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t StartTimeMs = 5;

LayerRange layers(std::uint32_t first, std::uint32_t end)
{
    return {first, end, 2};
}

} // namespace

TEST_CASE("LoadConfirmation")
{
    // Chunk 1 has bytes of the layers 0 and 1, chunk 4 of the layers 2 and 3.
    LoadConfirmation confirmation(LayerLayout{6, 4});
    const TimePoint verifiedSince{1h};
    const LayerRange none;
    confirmation.onReport(StartTimeMs, 0, none);
    CHECK(confirmation.isConfirmed(none));

    SECTION("does not take layers as sound that it knows nothing of")
    {
        confirmation.onReport(StartTimeMs, 1, layers(0, 2));
        CHECK_FALSE(confirmation.isConfirmed(layers(0, 2)));
        CHECK(confirmation.unconfirmed(layers(0, 2)) == layers(0, 2));

        SECTION("until it is told to trust them")
        {
            confirmation.trust(StartTimeMs, layers(0, 2));
            CHECK(confirmation.isConfirmed(layers(0, 2)));
        }
    }
    SECTION("takes a load as sound if the response to its order is timely")
    {
        confirmation.onOrderSent(layers(0, 3), verifiedSince);
        CHECK(confirmation.onOrderBegun(verifiedSince + LoadConfirmation::ToleratedCorruption));
        confirmation.onReport(StartTimeMs, 1, layers(0, 3));
        CHECK(confirmation.isConfirmed(layers(0, 3)));

        SECTION("but no further layers")
        {
            CHECK_FALSE(confirmation.isConfirmed(layers(0, 4)));
            CHECK(confirmation.unconfirmed(layers(0, 4)) == layers(3, 4));
        }
        SECTION("unless the engine restarts and gets them from elsewhere")
        {
            confirmation.onReport(StartTimeMs + 1, 1, layers(0, 3));
            CHECK_FALSE(confirmation.isConfirmed(layers(0, 3)));
        }
        SECTION("or drops layers and gets them again")
        {
            confirmation.onReport(StartTimeMs, 2, layers(0, 1));
            CHECK(confirmation.isConfirmed(layers(0, 1)));
            confirmation.onReport(StartTimeMs, 1, layers(0, 3));
            CHECK(confirmation.unconfirmed(layers(0, 3)) == layers(1, 3));
        }
    }
    SECTION("takes no load as sound if the response is late")
    {
        confirmation.onOrderSent(layers(0, 3), verifiedSince);
        CHECK_FALSE(confirmation.onOrderBegun(verifiedSince + LoadConfirmation::ToleratedCorruption
                                              + 1us));
        CHECK_FALSE(confirmation.isConfirmed(layers(0, 3)));

        SECTION("until all its chunks have been found intact")
        {
            confirmation.onAllRead(layers(0, 3));
            CHECK(confirmation.isConfirmed(layers(0, 3)));
        }
        SECTION("and keeps the layers without a corrupt chunk otherwise")
        {
            confirmation.onChunkCorrupt(1);
            confirmation.onAllRead(layers(0, 3));
            CHECK_FALSE(confirmation.isConfirmed(layers(0, 3)));
            CHECK(confirmation.mayHoldCorrupt(layers(0, 3)));
            CHECK(confirmation.intactLayers(layers(0, 3)) == layers(2, 3));
            confirmation.onDropped(layers(2, 3));
            CHECK(confirmation.isConfirmed(layers(2, 3)));
        }
        SECTION("and keeps none if all have one")
        {
            confirmation.onChunkCorrupt(1);
            confirmation.onChunkCorrupt(4);
            const LayerRange kept = confirmation.intactLayers(layers(0, 3));
            CHECK(kept.first == kept.end);
        }
    }
    // Guards against a load that counts as sound because a chunk was replaced after the engine had
    // taken it.
    SECTION("counts chunks as corrupt that have been replaced since an order without a response")
    {
        confirmation.onOrderSent(layers(0, 3), verifiedSince);
        confirmation.onOrderUncertain();
        CHECK(confirmation.mayOrderBeAccepted(verifiedSince + 3s));
        // By the verification before a second order, which the engine refuses.
        confirmation.onChunkCorrupt(0);
        confirmation.onOrderSent(layers(0, 3), verifiedSince + 1s);
        confirmation.onOrderWithoutEffect();
        confirmation.onReport(StartTimeMs, 1, layers(0, 3));
        CHECK_FALSE(confirmation.mayOrderBeAccepted(verifiedSince + 3s));
        confirmation.onAllRead(layers(0, 3));
        CHECK_FALSE(confirmation.isConfirmed(layers(0, 3)));
        CHECK(confirmation.intactLayers(layers(0, 3)) == layers(1, 3));

        SECTION("also if the order to load them again has no response")
        {
            confirmation.onOrderSent(layers(0, 3), verifiedSince + 2s);
            confirmation.onOrderUncertain();
            confirmation.onAllRead(layers(0, 3));
            CHECK_FALSE(confirmation.isConfirmed(layers(0, 3)));
        }
        SECTION("until they are loaded again")
        {
            confirmation.onOrderSent(layers(0, 3), verifiedSince + 2s);
            CHECK_FALSE(confirmation.onOrderBegun(verifiedSince + 6s));
            confirmation.onAllRead(layers(0, 3));
            CHECK(confirmation.isConfirmed(layers(0, 3)));
        }
    }
    SECTION("waits for an order without a response until the engine has accepted one or restarted")
    {
        confirmation.onOrderSent(layers(0, 3), verifiedSince);
        CHECK(confirmation.mayOrderBeAccepted(verifiedSince + 3s));
        confirmation.onOrderUncertain();
        confirmation.onReport(StartTimeMs, 0, none);
        CHECK(confirmation.mayOrderBeAccepted(verifiedSince + 3s));

        SECTION("one")
        {
            confirmation.onReport(StartTimeMs, 1, none);
        }
        SECTION("restarted")
        {
            confirmation.onReport(StartTimeMs + 1, 0, none);
        }
        SECTION("the next one")
        {
            confirmation.onOrderSent(layers(0, 3), verifiedSince + 1s);
            CHECK(confirmation.onOrderBegun(verifiedSince + 2s));
        }
        SECTION("or it must have been lost")
        {
            CHECK_FALSE(confirmation.mayOrderBeAccepted(verifiedSince
                                                        + LoadConfirmation::MaxOrderDelay));
            return;
        }
        CHECK_FALSE(confirmation.mayOrderBeAccepted(verifiedSince + 3s));
    }
    // Guards against sound layers that are dropped because the chunks of an earlier version were
    // staged before the order.
    SECTION("forgets chunks that were corrupt while no layer was in doubt")
    {
        confirmation.onChunkCorrupt(0);
        confirmation.onOrderSent(layers(0, 3), verifiedSince);
        confirmation.onOrderUncertain();
        confirmation.onReport(StartTimeMs, 1, layers(0, 3));
        confirmation.onAllRead(layers(0, 3));
        CHECK(confirmation.isConfirmed(layers(0, 3)));
    }
    SECTION("forgets chunks that were corrupt before an order that had an effect")
    {
        confirmation.onChunkCorrupt(0);
        confirmation.onOrderSent(layers(0, 3), verifiedSince);
        CHECK_FALSE(confirmation.onOrderBegun(verifiedSince + 4s));
        confirmation.onAllRead(layers(0, 3));
        CHECK(confirmation.isConfirmed(layers(0, 3)));
    }
}
