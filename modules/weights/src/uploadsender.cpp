#include <godwit/weights/uploadsender.h>

#include <algorithm>
#include <limits>
#include <set>

namespace godwit {

namespace {

// A piece takes this long on a fast link. With pieces of 1 ms the p99 of live messages on a link of
// 1 Gbit/s is 2.6 times that without weights, with 0.25 ms 1.4 times (limit 1.5). Shorter pieces
// would need a more precise timer than a busy traffic thread has.
constexpr double PieceSeconds = 0.25e-3;
constexpr double LeastRegionPiece = 2048; // 0.8 ms at 20 Mbit/s
constexpr double LargestPiece = 262144;

// The pacer takes a transfer that has not asked for 50 ms for idle.
constexpr Duration LongestWait = std::chrono::milliseconds(20);
// A transfer that waits for its share and not for the link would otherwise ask without a pause.
constexpr Duration ShortestWait = std::chrono::microseconds(200);

LinkPacerSettings pacerSettings(double rate, double leastPiece)
{
    LinkPacerSettings settings;
    settings.bytesPerSecond = rate;
    settings.quantum =
            static_cast<std::uint32_t>(std::clamp(rate * PieceSeconds, leastPiece, LargestPiece));
    return settings;
}

} // namespace

UploadSender::UploadSender(const UploadLinks &links)
    : m_links(links)
{
    if (links.hostRate == 0)
        return;
    LinkPacerSettings settings = pacerSettings(links.hostRate, links.leastHostPiece);
    settings.share = links.hostShare;
    m_host.emplace(settings);
}

bool UploadSender::isRegionLimited(const PacedUpload &upload) const
{
    return !upload.region.empty() && m_links.regionRate > 0;
}

LinkPacer *UploadSender::pacerOf(const PacedUpload &upload)
{
    if (isRegionLimited(upload))
        return &m_regions.at(upload.region);
    return m_host ? &*m_host : nullptr;
}

const LinkPacer *UploadSender::pacerOf(const PacedUpload &upload) const
{
    if (isRegionLimited(upload))
        return &m_regions.at(upload.region);
    return m_host ? &*m_host : nullptr;
}

void UploadSender::add(TimePoint now, PacedUpload upload)
{
    if (isRegionLimited(upload))
        m_regions.try_emplace(upload.region, pacerSettings(m_links.regionRate, LeastRegionPiece));
    if (LinkPacer *pacer = pacerOf(upload))
        pacer->setWeight(upload.transfer, upload.weight);
    m_uploads.push_back({std::move(upload), 0, false});
    updateRegionRate(now, m_uploads.back().terms.region);
}

void UploadSender::remove(TimePoint now, UploadId upload)
{
    const auto it = std::ranges::find(m_uploads, upload,
                                      [](const Upload &entry) { return entry.terms.id; });
    if (it == m_uploads.end())
        return;
    const PacedUpload terms = std::move(it->terms);
    m_uploads.erase(it);
    ended(now, terms);
}

std::vector<UploadId> UploadSender::removeTransfer(TimePoint now, const Digest &transfer)
{
    std::vector<UploadId> removed;
    for (const Upload &upload : m_uploads) {
        if (upload.terms.transfer == transfer)
            removed.push_back(upload.terms.id);
    }
    for (const UploadId upload : removed)
        remove(now, upload);
    return removed;
}

void UploadSender::ended(TimePoint now, const PacedUpload &upload)
{
    LinkPacer *pacer = pacerOf(upload);
    const bool isShared = std::ranges::any_of(m_uploads, [&](const Upload &other) {
        return other.terms.transfer == upload.transfer && pacerOf(other.terms) == pacer;
    });
    if (pacer && !isShared)
        pacer->remove(upload.transfer);
    updateRegionRate(now, upload.region);
}

// The hosts that fetch over a link between two regions keep a bounded number of chunks of a
// transfer in progress on it, whichever hosts send them. Each upload therefore gets that part of
// the rate, and all hosts together do not exceed it without knowing of each other.
void UploadSender::updateRegionRate(TimePoint now, const RegionId &region)
{
    const auto pacer = m_regions.find(region);
    if (pacer == m_regions.end())
        return;
    std::set<Digest> transfers;
    std::uint32_t uploads = 0;
    for (const Upload &upload : m_uploads) {
        if (upload.terms.region != region)
            continue;
        ++uploads;
        transfers.insert(upload.terms.transfer);
    }
    if (uploads == 0)
        return;
    const auto parts = static_cast<double>(transfers.size()) * m_links.regionUploads;
    pacer->second.setBytesPerSecond(now, m_links.regionRate * std::min(1.0, uploads / parts));
}

bool UploadSender::drained(UploadId upload)
{
    const auto it = std::ranges::find(m_uploads, upload,
                                      [](const Upload &entry) { return entry.terms.id; });
    if (it == m_uploads.end())
        return false;
    it->isBuffered = false;
    return true;
}

void UploadSender::liveSent(TimePoint now, std::uint64_t bytes)
{
    if (m_host)
        m_host->liveSent(now, bytes);
}

std::size_t UploadSender::grant(TimePoint now, const Upload &upload)
{
    const std::size_t left = upload.terms.bytes->size() - upload.offset;
    LinkPacer *pacer = pacerOf(upload.terms);
    if (!pacer || left == 0)
        return left;
    const bool usesHost = m_host && pacer != &*m_host;
    if (usesHost && m_host->isInDebt(now))
        return 0;
    constexpr std::size_t Limit = std::numeric_limits<std::uint32_t>::max();
    const std::uint32_t granted = pacer->take(now, upload.terms.transfer,
                                              static_cast<std::uint32_t>(std::min(left, Limit)));
    if (usesHost && granted > 0)
        m_host->charge(now, granted);
    return granted;
}

std::vector<UploadPiece> UploadSender::send(TimePoint now)
{
    std::vector<UploadPiece> pieces;
    std::vector<PacedUpload> complete;
    for (Upload &upload : m_uploads) {
        if (upload.isBuffered)
            continue;
        const std::size_t size = grant(now, upload);
        const std::size_t total = upload.terms.bytes->size();
        if (size == 0 && upload.offset < total)
            continue;
        const bool isLast = upload.offset + size == total;
        pieces.push_back({upload.terms.id, upload.terms.bytes, upload.offset, size, isLast});
        upload.offset += size;
        upload.isBuffered = true;
        if (isLast)
            complete.push_back(upload.terms);
    }
    for (const PacedUpload &upload : complete)
        remove(now, upload.id);
    return pieces;
}

std::optional<TimePoint> UploadSender::nextSend(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const Upload &upload : m_uploads) {
        if (upload.isBuffered)
            continue;
        TimePoint due = now;
        if (const LinkPacer *pacer = pacerOf(upload.terms))
            due = std::clamp(pacer->nextGrant(now), now + ShortestWait, now + LongestWait);
        next = std::min(next.value_or(due), due);
    }
    return next;
}

} // namespace godwit
