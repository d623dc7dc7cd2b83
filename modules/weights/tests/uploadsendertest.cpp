#include <godwit/weights/uploadsender.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const Digest A = Digest::of("a");
const Digest B = Digest::of("b");
constexpr double Rate = 1e6;
constexpr double HostShare = 0.95;  // used fraction of a host link
constexpr double RegionShare = 0.9; // used fraction of a link between regions
constexpr std::size_t ChunkSize = 4'000'000;

/// Peers that read every piece immediately, unless their upload is paused.
class Peers
{
public:
    explicit Peers(const UploadLinks &links)
        : m_sender(links)
    {}

    UploadId add(const Digest &transfer, std::uint32_t weight = 1, const std::string &region = {})
    {
        PacedUpload upload;
        upload.id = m_next++;
        upload.bytes = m_chunk;
        upload.transfer = transfer;
        upload.weight = weight;
        upload.region = RegionId(region);
        m_sender.add(m_now, upload);
        return upload.id;
    }

    /// Sends due pieces and advances the time to nextSend() until \a span has passed.
    void run(Duration span)
    {
        const TimePoint end = m_now + span;
        while (m_now < end) {
            for (const UploadPiece &piece : m_sender.send(m_now)) {
                m_largestPiece = std::max(m_largestPiece, piece.size);
                m_ordered = m_ordered && piece.offset == m_received[piece.upload];
                m_received[piece.upload] += piece.size;
                m_lastCount += piece.isLast;
                if (!m_paused.contains(piece.upload))
                    m_hasMore[piece.upload] = m_sender.pieceSent(piece.upload);
            }
            const auto next = m_sender.nextSend(m_now);
            m_now = std::min(next.value_or(end), end);
            ++m_rounds;
        }
    }

    double received(UploadId upload) { return static_cast<double>(m_received[upload]); }

    UploadSender m_sender;
    std::shared_ptr<const std::string> m_chunk =
            std::make_shared<const std::string>(ChunkSize, 'x');
    TimePoint m_now{1h};
    UploadId m_next = 1;
    std::map<UploadId, std::size_t> m_received;
    std::map<UploadId, bool> m_hasMore;
    std::map<UploadId, bool> m_paused;
    std::size_t m_largestPiece = 0;
    std::size_t m_rounds = 0;
    int m_lastCount = 0;
    bool m_ordered = true;
};

} // namespace

TEST_CASE("UploadSender")
{
    UploadLinks links;
    links.hostRate = Rate;

    SECTION("with a limited link")
    {
        Peers peers(links);
        const UploadId first = peers.add(A);

        // Guards against a chunk that fills the queue of the link at once.
        SECTION("a chunk is sent in pieces, in order and not above the rate")
        {
            peers.run(2s);
            CHECK(peers.received(first) > 0.8 * 2 * Rate);
            CHECK(peers.received(first) <= 2 * Rate);
            CHECK(peers.m_largestPiece <= 16384);
            CHECK(peers.m_hasMore.at(first));
            peers.run(3s);
            CHECK(peers.received(first) == ChunkSize);
            CHECK(peers.m_ordered);
            CHECK(peers.m_lastCount == 1);
            CHECK_FALSE(peers.m_hasMore.at(first));
            CHECK(peers.m_sender.count() == 0);
            CHECK_FALSE(peers.m_sender.nextSend(peers.m_now));
        }
        // Guards against a thread that polls continuously for the next piece.
        SECTION("the waits match the transmission time of pieces")
        {
            peers.run(1s);
            CHECK(peers.m_rounds < 200);
        }
        // Guards against bursts that ignore the priorities of their deployments.
        SECTION("two transfers share the link by weight")
        {
            const UploadId second = peers.add(B, 3);
            peers.run(2s);
            CHECK(peers.received(second) == Approx(3 * peers.received(first)).epsilon(0.1));
            CHECK(peers.received(first) + peers.received(second) <= 2 * Rate);
        }
        // Guards against weights that delay live traffic such as tokens and replies.
        SECTION("live bytes are charged first, and weights continue")
        {
            for (int i = 0; i < 200; ++i) {
                peers.m_sender.recordLiveTraffic(peers.m_now, 5000); // half of the rate
                peers.run(10ms);
            }
            CHECK(peers.received(first) == Approx((HostShare - 0.5) * 2 * Rate).epsilon(0.05));
        }
        // Guards against uploads that continue after an operator cancelled their transfer.
        SECTION("all uploads of a cancelled transfer are removed")
        {
            const UploadId second = peers.add(A);
            const UploadId other = peers.add(B);
            peers.run(100ms);
            CHECK(peers.m_sender.removeTransfer(peers.m_now, A)
                  == std::vector<UploadId>{first, second});
            CHECK(peers.m_sender.count() == 1);
            const double before = peers.received(other);
            peers.run(1s);
            CHECK(peers.received(other) - before == Approx(HostShare * Rate).epsilon(0.05));
        }
        // Guards against a peer that does not read and thereby blocks the uploads to others.
        SECTION("a peer that does not read delays only its own upload")
        {
            peers.m_paused[first] = true;
            const UploadId second = peers.add(A);
            peers.run(1s);
            CHECK(peers.received(first) <= 16384);
            CHECK(peers.received(second) > 0.8 * Rate);
            CHECK(peers.m_sender.pieceSent(first));
            const double before = peers.received(first);
            peers.run(100ms);
            CHECK(peers.received(first) > before);
        }
    }
    SECTION("with a fast link")
    {
        // Shorter than the time after which the pacer treats a transfer without requests as idle.
        constexpr Duration Short = 45ms;
        links.hostRate = 8 * Rate;
        Peers peers(links);
        const UploadId first = peers.add(A);
        const UploadId second = peers.add(B, 3);

        // Guards against a share that stays reserved for a peer that has disconnected.
        SECTION("an upload whose stream breaks frees its share")
        {
            const UploadId third = peers.add(A);
            peers.run(100ms);
            peers.m_sender.remove(peers.m_now, second);
            peers.m_sender.remove(peers.m_now, third);
            const double before = peers.received(first);
            const double receivedBeforeRemoval = peers.received(second);
            peers.run(Short);
            CHECK(peers.received(first) - before
                  == Approx(HostShare * links.hostRate * toSeconds(Short)).epsilon(0.15));
            CHECK(peers.received(second) == receivedBeforeRemoval);
            CHECK_FALSE(peers.m_sender.pieceSent(second));
        }
        // Guards against a thread that polls continuously while another transfer has precedence.
        SECTION("an upload that waits for its share retries at intervals")
        {
            peers.m_paused[second] = true;
            peers.run(Short);
            CHECK(peers.received(first) < 0.5 * links.hostRate * toSeconds(Short));
            CHECK(peers.m_rounds <= Short / 200us + 1);
        }
    }
    SECTION("with limited links between regions")
    {
        links.regionRate = Rate / 4;
        Peers peers(links);
        const UploadId far = peers.add(A, 1, "far");

        // Guards against hosts that together overload a link because each uses its full rate.
        SECTION("each upload gets its part of the link")
        {
            peers.run(2s);
            CHECK(peers.received(far) == Approx(RegionShare * 2 * Rate / 16).epsilon(0.1));
            for (int i = 0; i < 7; ++i)
                peers.add(A, 1, "far");
            peers.run(2s);
            double sum = 0;
            for (const auto &[upload, bytes] : peers.m_received)
                sum += static_cast<double>(bytes);
            CHECK(sum == Approx(RegionShare * 2 * (Rate / 16 + Rate / 4)).epsilon(0.1));
        }
        // Guards against a host link budget that omits bytes for other regions, and against a slow
        // link that delays the uploads of other transfers.
        SECTION("uploads within and between regions share the host's link")
        {
            for (int i = 0; i < 3; ++i)
                peers.add(A, 1, "far");
            const UploadId near = peers.add(B);
            peers.run(2s);
            double sum = 0;
            for (const auto &[upload, bytes] : peers.m_received)
                sum += static_cast<double>(bytes);
            CHECK(sum == Approx(HostShare * 2 * Rate).epsilon(0.04));
            CHECK(peers.received(near)
                  == Approx(2 * Rate * (HostShare - RegionShare / 4)).epsilon(0.05));
        }
        // Guards against a fast link between regions whose uploads exceed the rate of the host's
        // own link.
        SECTION("the host's link limits a faster link between regions")
        {
            links.regionRate = Rate * 8;
            Peers fast(links);
            for (int i = 0; i < 4; ++i)
                fast.add(A, 1, "far");
            fast.run(2s);
            double sum = 0;
            for (const auto &[upload, bytes] : fast.m_received)
                sum += static_cast<double>(bytes);
            CHECK(sum == Approx(HostShare * 2 * Rate).epsilon(0.04));
        }
    }
    // Guards against pieces that delay live messages on a 1 Gbit/s link.
    SECTION("pieces are short on a 1 Gbit/s link")
    {
        links.hostRate = 125e6;
        Peers peers(links);
        peers.add(A);
        peers.run(5ms);
        CHECK(peers.m_largestPiece > 0);
        CHECK(static_cast<double>(peers.m_largestPiece) <= links.hostRate * 0.25e-3);
    }
    // Guards against a rate of 0 that stops uploads, or divides by zero.
    SECTION("without limits a chunk is sent at once")
    {
        Peers peers(UploadLinks{});
        const UploadId near = peers.add(A);
        const UploadId far = peers.add(A, 1, "far");
        CHECK(peers.m_sender.nextSend(peers.m_now) == peers.m_now);
        peers.m_sender.recordLiveTraffic(peers.m_now, 1'000'000);
        peers.run(1us);
        CHECK(peers.received(near) == ChunkSize);
        CHECK(peers.received(far) == ChunkSize);
        CHECK(peers.m_sender.count() == 0);
    }
    // Guards against uploads to other regions that wait forever if only the host's link is limited.
    SECTION("without a limit between regions only the host's link limits uploads")
    {
        Peers peers(links);
        const UploadId far = peers.add(A, 1, "far");
        peers.run(2s);
        CHECK(peers.received(far) == Approx(HostShare * 2 * Rate).epsilon(0.04));
    }
}
