#include "uploadqueue.h"

#include <algorithm>

namespace godwit {

namespace {

// Keeps one peer from filling the queue; well-behaved peers have at most maxRequestsPerPeer
// outstanding.
constexpr std::ptrdiff_t MaxWaitingPerPeer = 4;

// A stalled uplink is tried again after this time without a started upload.
constexpr Duration StallRetryInterval = std::chrono::seconds(10);

} // namespace

bool UploadQueue::push(Upload upload)
{
    if (m_waiting.size() >= m_settings.maxQueuedUploads || m_active.contains(upload.id))
        return false;
    if (std::ranges::count(m_waiting, upload.peer, &Upload::peer) >= MaxWaitingPerPeer)
        return false;
    if (!m_served.contains(upload.transfer)) {
        // A new transfer starts at the smallest value of the others. Starting at 0, it would have
        // the link to itself until it has caught up.
        double least = 0;
        for (auto it = m_served.begin(); it != m_served.end(); ++it)
            least = it == m_served.begin() ? it->second : std::min(least, it->second);
        m_served.emplace(upload.transfer, least);
    }
    m_waiting.push_back(std::move(upload));
    return true;
}

bool UploadQueue::finish(UploadId id)
{
    const auto active = m_active.find(id);
    if (active != m_active.end()) {
        --m_running[active->second.otherRegion];
        m_active.erase(active);
        return true;
    }
    return std::erase_if(m_waiting, [&](const Upload &upload) { return upload.id == id; }) > 0;
}

void UploadQueue::recordStart(TimePoint now)
{
    m_lastStart = now;
    if (!m_undeliveredSince)
        m_undeliveredSince = now;
}

bool UploadQueue::isStalled(TimePoint now, Duration limit) const
{
    return m_undeliveredSince && now > *m_undeliveredSince + limit
           && now < m_lastStart + StallRetryInterval;
}

void UploadQueue::removePeer(const HostId &peer)
{
    std::erase_if(m_waiting, [&](const Upload &upload) { return upload.peer == peer; });
    std::erase_if(m_active, [&](const auto &entry) {
        const bool match = entry.second.peer == peer;
        m_running[entry.second.otherRegion] -= match;
        return match;
    });
}

void UploadQueue::charge(const Digest &transfer, std::uint64_t bytes, std::uint32_t weight)
{
    m_served[transfer] += static_cast<double>(bytes) / std::max(weight, 1U);
}

} // namespace godwit
