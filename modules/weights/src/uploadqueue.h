#pragma once

#include <godwit/weights/transferaction.h>
#include <godwit/weights/transfersettings.h>

#include <deque>
#include <map>
#include <optional>

namespace godwit {

/// Upload slots and the bounded queue of requests that wait for them. Uploads to other regions have
/// separate slots, because a slow inter-region upload would block a slot for a long time.
class UploadQueue
{
public:
    struct Upload
    {
        UploadId id = 0;
        HostId peer;
        Digest digest;
        Digest transfer;
        bool otherRegion = false;
        RegionId region; ///< Region of the peer; empty if it is that of this host.
    };

    explicit UploadQueue(const TransferSettings &settings)
        : m_settings(settings)
    {}

    /// Queues a request. Returns false if the queue is full or the peer has too many requests in
    /// it.
    bool push(Upload upload);

    /// Dequeues the next request that may start: that of the transfer with the fewest served bytes
    /// per weight, in order of arrival within it. Returns false if no slot is free or no request
    /// waits. \a weightOf maps a transfer to its weight.
    template <typename WeightOf>
    bool startNext(WeightOf &&weightOf, Upload &next);

    /// Removes a running or waiting upload. Returns false if it is unknown.
    bool finish(UploadId id);

    /// Records the start of an upload, and that a peer received one completely.
    void recordStart(TimePoint now);
    void recordDelivery() { m_undeliveredSince.reset(); }

    /// True if no upload was delivered for \a limit although some were started: chunks fetched now
    /// could not be forwarded to peers.
    bool isStalled(TimePoint now, Duration limit) const;

    /// Removes all uploads to \a peer.
    void removePeer(const HostId &peer);

    /// Charges the bytes of a started upload to its transfer.
    void charge(const Digest &transfer, std::uint64_t bytes, std::uint32_t weight);

    std::uint32_t backlog() const { return static_cast<std::uint32_t>(m_waiting.size()); }

private:
    bool hasFreeSlot(bool otherRegion) const
    {
        return m_running[otherRegion]
               < (otherRegion ? m_settings.regionUploadSlots : m_settings.uploadSlots);
    }

    TransferSettings m_settings;
    std::deque<Upload> m_waiting;
    std::map<UploadId, Upload> m_active;
    std::uint32_t m_running[2] = {0, 0};
    std::optional<TimePoint> m_undeliveredSince; ///< First start after the last delivery.
    TimePoint m_lastStart{};
    std::map<Digest, double> m_served; ///< Uploaded bytes divided by the weight, per transfer.
};

template <typename WeightOf>
bool UploadQueue::startNext(WeightOf &&weightOf, Upload &next)
{
    auto best = m_waiting.end();
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (hasFreeSlot(it->otherRegion) && weightOf(it->transfer) > 0
            && (best == m_waiting.end() || m_served[it->transfer] < m_served[best->transfer]))
            best = it;
    }
    if (best == m_waiting.end())
        return false;
    next = std::move(*best);
    m_waiting.erase(best);
    m_active.emplace(next.id, next);
    ++m_running[next.otherRegion];
    return true;
}

} // namespace godwit
