#pragma once

#include <godwit/weights/transfersettings.h>

#include <godwit/base/ids.h>
#include <godwit/base/random.h>

#include <cstdint>
#include <map>

namespace godwit {

/// Adds a jitter of +-25%, so that hosts with the same history do not act simultaneously.
Duration jittered(Duration span, Random &random);

/// Exponential backoff with jitter: \a base after the first failure, doubled with each further one,
/// at most \a limit.
Duration backoff(Duration base, Duration limit, std::uint32_t failures, Random &random);

/// What this host has observed of a source of chunks (a peer or the origin).
struct SourceState
{
    double rate = 0;               ///< Bytes per second per request, queueing included; 0: unknown.
    double corruptionScore = 0;    ///< Plus 1 per corrupt chunk, minus 0.2 per valid one.
    std::uint32_t failures = 0;    ///< Since the last valid chunk.
    std::uint32_t outstanding = 0; ///< Requests of all transfers to this source.
    std::uint32_t backlog = 0;     ///< Upload queue length that the peer announced.
    TimePoint availableAt{};       ///< End of the backoff or exclusion.

    bool usable(TimePoint now) const { return now >= availableAt; }
};

/// States of the sources, by host. The origin has a separate entry.
class PeerTable
{
public:
    explicit PeerTable(const TransferSettings &settings)
        : m_settings(settings)
    {}

    SourceState &at(const HostId &host) { return m_peers[host]; }
    SourceState &origin() { return m_origin; }
    void erase(const HostId &host) { m_peers.erase(host); }

    void recordSuccess(SourceState &source, std::uint32_t bytes, Duration elapsed);
    void recordFailure(SourceState &source, TimePoint now, Random &random);

    /// Records a chunk that failed verification. Returns true if this excludes the source.
    bool recordBadChunk(SourceState &source, TimePoint now, Random &random);

private:
    TransferSettings m_settings;
    std::map<HostId, SourceState> m_peers;
    SourceState m_origin;
};

} // namespace godwit
