#pragma once

#include <godwit/weights/linkpacer.h>
#include <godwit/weights/transferaction.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit {

/// Link rates that limit the uploads of a host. A rate of 0 means no limit.
struct UploadLinks
{
    double hostRate = 0;   ///< Host's own link, in bytes per second.
    double regionRate = 0; ///< Link to another region, shared by all hosts of this region.
    /// Concurrent uploads of one transfer over the link to another region, by all hosts together.
    std::uint32_t regionUploads = 4;
    /// Fraction of the rate of the host's own link that is used. Compared with the 0.9 of
    /// LinkPacerSettings, 0.95 makes a burst 5% shorter and raises the p99 latency of live messages
    /// on a 1 Gbit/s link by 2%.
    double hostShare = 0.95;
    /// Smallest piece for the host's own link, however slow it is.
    std::uint32_t minHostPieceBytes = 16384;
};

/// A chunk that a peer has requested.
struct PacedUpload
{
    UploadId id = 0;
    ChunkBytes bytes;
    Digest transfer;
    std::uint32_t weight = 1; ///< Priority weight of the transfer.
    RegionId region;          ///< Region of the peer; empty if it is that of this host.
};

/// Part of an upload that is due to be sent.
struct UploadPiece
{
    UploadId upload = 0;
    ChunkBytes chunk;
    std::size_t offset = 0;
    std::size_t size = 0;
    bool isLast = false;

    std::string_view bytes() const { return std::string_view(*chunk).substr(offset, size); }
};

/// Splits the chunks that this host uploads into pieces and schedules them, so that no link exceeds
/// its rate and concurrent transfers share the links by priority weight. Live traffic is charged to
/// the budget of the host's link first.
///
/// An upload has at most one piece in the send buffer of its stream, so that a peer that does not
/// read delays only its own uploads. Uploads of one transfer are sent in order of arrival. The
/// class uses no sockets and no clock.
class UploadSender
{
public:
    explicit UploadSender(const UploadLinks &links);

    void add(TimePoint now, PacedUpload upload);

    /// Removes an upload whose stream has ended. Unknown ids are ignored.
    void remove(TimePoint now, UploadId upload);

    /// Removes the uploads of a transfer that was cancelled and returns them.
    std::vector<UploadId> removeTransfer(TimePoint now, const Digest &transfer);

    /// The stream has sent the previous piece. Returns false if the upload has no more bytes.
    bool pieceSent(UploadId upload);

    /// Charges \a bytes of live traffic that this host sent.
    void recordLiveTraffic(TimePoint now, std::uint64_t bytes);

    /// Returns the pieces that are due at \a now. pieceSent() must follow for each of them, except
    /// for the last piece of an upload.
    std::vector<UploadPiece> send(TimePoint now);

    /// Time of the next send(); none if no upload waits for its link.
    std::optional<TimePoint> nextSend(TimePoint now) const;

    std::size_t count() const { return m_uploads.size(); }

private:
    struct Upload
    {
        PacedUpload request;
        std::size_t offset = 0;
        bool isBuffered = false; ///< A piece is in the send buffer of the stream.
    };

    bool isRegionLimited(const PacedUpload &upload) const;
    LinkPacer *pacerFor(const PacedUpload &upload);
    const LinkPacer *pacerFor(const PacedUpload &upload) const;
    std::size_t grant(TimePoint now, const Upload &upload);
    void releasePacer(TimePoint now, const PacedUpload &upload);
    void updateRegionRate(TimePoint now, const RegionId &region);

    UploadLinks m_links;
    std::optional<LinkPacer> m_host;
    std::map<RegionId, LinkPacer> m_regions;
    std::vector<Upload> m_uploads; ///< Uploads with bytes left, in order of arrival.
};

} // namespace godwit
