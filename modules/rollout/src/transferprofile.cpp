#include <godwit/rollout/transferprofile.h>

namespace godwit {

namespace {

/// Bytes per second that weights may use of a link between two regions; the rest is left to
/// requests.
constexpr double RegionLinkRate = 1.6e6;
/// Memory for the chunks of the current and the next version.
constexpr std::uint64_t WindowBytes = 24UL * 1024 * 1024;

} // namespace

TransferSettings transferProfile(double hostRate)
{
    TransferSettings transfer;
    if (hostRate > 0)
        transfer.hostRate = hostRate;
    transfer.originRate = transfer.hostRate; // Until the configuration states it.
    transfer.regionLinkRate = RegionLinkRate;
    transfer.windowBytes = WindowBytes;
    // A host link is slow: transferring one chunk over it takes as long as several chunks on the
    // link between regions.
    transfer.regionWindow = 10;
    transfer.regionUploadSlots = 6;
    transfer.maxRegionRequests = 3;
    transfer.initialFetchDelay = std::chrono::milliseconds(20);
    // Client requests share the link, and clients give up after one or two seconds.
    transfer.maxQueueTime = std::chrono::milliseconds(400);
    // Failed sources are retried soon.
    transfer.stallTimeout = std::chrono::milliseconds(800);
    transfer.peerBackoff = std::chrono::milliseconds(100);
    transfer.maxBackoff = std::chrono::milliseconds(500);
    // Hosts receive the manifest over a period of half a second; one that is late must not be
    // considered dead.
    transfer.timeFirstFallbackDelay = std::chrono::milliseconds(800);
    // All hosts together may fetch a few chunks in place of failed hosts, but must not each fetch a
    // copy of their own when the origin becomes available again: one copy takes its link a third of
    // the time that a version change may take.
    transfer.originRetriesPerSecond = 0.5;
    transfer.originRetryBurst = 4;
    return transfer;
}

} // namespace godwit
