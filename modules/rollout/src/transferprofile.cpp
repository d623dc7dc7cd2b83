#include <godwit/rollout/transferprofile.h>

namespace godwit {

namespace {

/// Bytes per second of a link between two regions that weights may take; the rest is for requests.
constexpr double RegionLinkRate = 1.6e6;
/// Memory for the pieces of the present and the next version.
constexpr std::uint64_t WindowBytes = 24UL * 1024 * 1024;

} // namespace

TransferSettings transferProfile(double hostRate)
{
    TransferSettings transfer;
    if (hostRate > 0)
        transfer.hostRate = hostRate;
    transfer.originRate = transfer.hostRate;
    transfer.regionLinkRate = RegionLinkRate;
    transfer.windowBytes = WindowBytes;
    // A chunk takes as long on a slow host link as several on the link between the regions.
    transfer.regionWindow = 10;
    transfer.regionUploadSlots = 6;
    transfer.maxRegionRequests = 3;
    transfer.initialFetchDelay = std::chrono::milliseconds(20);
    // Requests of clients use the same link, and leave after a second or two.
    transfer.maxQueueTime = std::chrono::milliseconds(400);
    // A source that fails is tried again soon.
    transfer.stallTimeout = std::chrono::milliseconds(800);
    transfer.peerBackoff = std::chrono::milliseconds(100);
    transfer.maxBackoff = std::chrono::milliseconds(500);
    // Hosts get the manifest over half a second; one that is late is not taken for dead.
    transfer.timeFirstFallbackDelay = std::chrono::milliseconds(800);
    // All hosts together may fetch a few pieces for hosts that fail, but not copies of their own
    // when an origin returns: its link carries one copy in a third of the time of a version.
    transfer.originRetriesPerSecond = 0.5;
    transfer.originRetryBurst = 4;
    return transfer;
}

} // namespace godwit
