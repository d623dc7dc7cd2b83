#include <godwit/weights/uploadsender.h>

#include <algorithm>
#include <limits>
#include <set>

namespace godwit {

namespace {

// Transmission time of a piece on a fast link. On a 1 Gbit/s link, weights raise the p99 latency of
// live messages by a factor of 2.6 with pieces of 1 ms and of 1.4 with 0.25 ms; the limit is 1.5.
// Shorter pieces would need a more precise timer than a busy traffic thread has.
constexpr double PieceSeconds = 0.25e-3;
constexpr double MinRegionPieceBytes = 2048; // 0.8 ms at 20 Mbit/s
constexpr double MaxPieceBytes = 262144;

// Well below the 50 ms without a request after which LinkPacer treats a transfer as idle.
constexpr Duration MaxWait = std::chrono::milliseconds(20);
// Without it, a transfer that waits for its share rather than for the link would poll continuously.
constexpr Duration MinWait = std::chrono::microseconds(200);

LinkPacerSettings pacerSettings(double rate, double minPieceBytes)
{
    LinkPacerSettings settings;
    settings.bytesPerSecond = rate;
    settings.quantum = static_cast<std::uint32_t>(
            std::clamp(rate * PieceSeconds, minPieceBytes, MaxPieceBytes));
    return settings;
}

} // namespace

UploadSender::UploadSender(const UploadLinks &links)
    : m_links(links)
{
    if (links.hostRate == 0)
        return;
    LinkPacerSettings settings = pacerSettings(links.hostRate, links.minHostPieceBytes);
    settings.maxUtilization = links.hostShare;
    m_host.emplace(settings);
}

bool UploadSender::isRegionLimited(const PacedUpload &upload) const
{
    return !upload.region.empty() && m_links.regionRate > 0;
}

LinkPacer *UploadSender::pacerFor(const PacedUpload &upload)
{
    if (isRegionLimited(upload))
        return &m_regions.at(upload.region);
    return m_host ? &*m_host : nullptr;
}

const LinkPacer *UploadSender::pacerFor(const PacedUpload &upload) const
{
    if (isRegionLimited(upload))
        return &m_regions.at(upload.region);
    return m_host ? &*m_host : nullptr;
}

void UploadSender::add(TimePoint now, PacedUpload upload)
{
    if (isRegionLimited(upload))
        m_regions.try_emplace(upload.region,
                              pacerSettings(m_links.regionRate, MinRegionPieceBytes));
    if (LinkPacer *pacer = pacerFor(upload))
        pacer->setWeight(upload.transfer, upload.weight);
    m_uploads.push_back({std::move(upload), 0, false});
    updateRegionRate(now, m_uploads.back().request.region);
}

void UploadSender::remove(TimePoint now, UploadId upload)
{
    const auto it = std::ranges::find(m_uploads, upload,
                                      [](const Upload &entry) { return entry.request.id; });
    if (it == m_uploads.end())
        return;
    const PacedUpload request = std::move(it->request);
    m_uploads.erase(it);
    releasePacer(now, request);
}

std::vector<UploadId> UploadSender::removeTransfer(TimePoint now, const Digest &transfer)
{
    std::vector<UploadId> removed;
    for (const Upload &upload : m_uploads) {
        if (upload.request.transfer == transfer)
            removed.push_back(upload.request.id);
    }
    for (const UploadId upload : removed)
        remove(now, upload);
    return removed;
}

void UploadSender::releasePacer(TimePoint now, const PacedUpload &upload)
{
    LinkPacer *pacer = pacerFor(upload);
    const bool isShared = std::ranges::any_of(m_uploads, [&](const Upload &other) {
        return other.request.transfer == upload.transfer && pacerFor(other.request) == pacer;
    });
    if (pacer && !isShared)
        pacer->remove(upload.transfer);
    updateRegionRate(now, upload.region);
}

// The hosts that fetch over a link between two regions bound the number of chunks of a transfer in
// flight on it, whichever hosts send them. Each upload therefore gets the corresponding fraction of
// the rate, so that all hosts together stay within it without coordination.
void UploadSender::updateRegionRate(TimePoint now, const RegionId &region)
{
    const auto pacer = m_regions.find(region);
    if (pacer == m_regions.end())
        return;
    std::set<Digest> transfers;
    std::uint32_t uploads = 0;
    for (const Upload &upload : m_uploads) {
        if (upload.request.region != region)
            continue;
        ++uploads;
        transfers.insert(upload.request.transfer);
    }
    if (uploads == 0)
        return;
    const auto parts = static_cast<double>(transfers.size()) * m_links.regionUploads;
    pacer->second.setBytesPerSecond(now, m_links.regionRate * std::min(1.0, uploads / parts));
}

bool UploadSender::pieceSent(UploadId upload)
{
    const auto it = std::ranges::find(m_uploads, upload,
                                      [](const Upload &entry) { return entry.request.id; });
    if (it == m_uploads.end())
        return false;
    it->isBuffered = false;
    return true;
}

void UploadSender::recordLiveTraffic(TimePoint now, std::uint64_t bytes)
{
    if (m_host)
        m_host->recordLiveTraffic(now, bytes);
}

std::size_t UploadSender::grant(TimePoint now, const Upload &upload)
{
    const std::size_t left = upload.request.bytes->size() - upload.offset;
    LinkPacer *pacer = pacerFor(upload.request);
    if (!pacer || left == 0)
        return left;
    const bool usesHost = m_host && pacer != &*m_host;
    if (usesHost && m_host->isInDebt(now))
        return 0;
    constexpr std::size_t Limit = std::numeric_limits<std::uint32_t>::max();
    const std::uint32_t granted = pacer->acquire(now, upload.request.transfer,
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
        const std::size_t total = upload.request.bytes->size();
        if (size == 0 && upload.offset < total)
            continue;
        const bool isLast = upload.offset + size == total;
        pieces.push_back({upload.request.id, upload.request.bytes, upload.offset, size, isLast});
        upload.offset += size;
        upload.isBuffered = true;
        if (isLast)
            complete.push_back(upload.request);
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
        if (const LinkPacer *pacer = pacerFor(upload.request))
            due = std::clamp(pacer->nextGrant(now), now + MinWait, now + MaxWait);
        next = std::min(next.value_or(due), due);
    }
    return next;
}

} // namespace godwit
