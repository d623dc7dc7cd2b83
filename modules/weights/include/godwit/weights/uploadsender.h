#pragma once

#include <godwit/weights/linkpacer.h>
#include <godwit/weights/transferaction.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit {

/// Links that limit the uploads of a host; a rate of 0 is not limited.
struct UploadLinks
{
    double hostRate = 0;   ///< Of the host's own link, bytes per second.
    double regionRate = 0; ///< Of the link to another region, shared by all hosts of this region.
    /// Uploads of one transfer that share the link to another region, those of all hosts together.
    std::uint32_t regionUploads = 4;
    /// Of the rate of the host's own link. 0.95 instead of the pacer's 0.9 shortens a burst by a
    /// twentieth and raises the p99 of live messages on a link of 1 Gbit/s by a fiftieth.
    double hostShare = 0.95;
    /// Bytes that are sent at once on the host's own link, however slow it is.
    std::uint32_t leastHostPiece = 16384;
};

/// A chunk that a peer has requested.
struct PacedUpload
{
    UploadId id = 0;
    ChunkBytes bytes;
    Digest transfer;
    std::uint32_t weight = 1; ///< Priority weight of the transfer.
    RegionId region;          ///< Of the peer if it is not the region of this host, else empty.
};

/// Bytes of an upload that are due.
struct UploadPiece
{
    UploadId upload = 0;
    ChunkBytes chunk;
    std::size_t offset = 0;
    std::size_t size = 0;
    bool isLast = false;

    std::string_view bytes() const { return std::string_view(*chunk).substr(offset, size); }
};

/// Divides the chunks that this host uploads into pieces and decides when each of them is due, so
/// that the links carry no more than their rates and concurrent transfers share them by priority
/// weight. Live traffic is charged to the budget of the host's link first.
///
/// An upload has at most one piece in the send buffer of its stream, so that a peer that does not
/// read holds back only its own uploads. Uploads of one transfer go out in order of arrival.
/// It has no sockets and no clock.
class UploadSender
{
public:
    explicit UploadSender(const UploadLinks &links);

    void add(TimePoint now, PacedUpload upload);

    /// Removes an upload whose stream has ended. Unknown ones are ignored.
    void remove(TimePoint now, UploadId upload);

    /// Removes the uploads of a transfer that was cancelled and returns them.
    std::vector<UploadId> removeTransfer(TimePoint now, const Digest &transfer);

    /// The stream has sent the last piece. Returns false if the upload has no more bytes to send.
    bool drained(UploadId upload);

    /// This host sent \a bytes of live traffic.
    void liveSent(TimePoint now, std::uint64_t bytes);

    /// Pieces that are due at \a now. drained() must follow for each of them but the last.
    std::vector<UploadPiece> send(TimePoint now);

    /// Time of the next send(); none if no upload waits for its link.
    std::optional<TimePoint> nextSend(TimePoint now) const;

    std::size_t count() const { return m_uploads.size(); }

private:
    struct Upload
    {
        PacedUpload terms;
        std::size_t offset = 0;
        bool isBuffered = false; ///< A piece is in the send buffer of the stream.
    };

    bool isRegionLimited(const PacedUpload &upload) const;
    LinkPacer *pacerOf(const PacedUpload &upload);
    const LinkPacer *pacerOf(const PacedUpload &upload) const;
    std::size_t grant(TimePoint now, const Upload &upload);
    void ended(TimePoint now, const PacedUpload &upload);
    void updateRegionRate(TimePoint now, const RegionId &region);

    UploadLinks m_links;
    std::optional<LinkPacer> m_host;
    std::map<RegionId, LinkPacer> m_regions;
    std::vector<Upload> m_uploads; ///< In order of arrival; only those with bytes left.
};

} // namespace godwit
