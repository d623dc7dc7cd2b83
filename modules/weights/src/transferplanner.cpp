#include "plannerimpl.h"

namespace godwit {

TransferPlanner::TransferPlanner(HostId self, TransferSettings settings, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(self), settings, seed))
{}

TransferPlanner::~TransferPlanner() = default;
TransferPlanner::TransferPlanner(TransferPlanner &&) noexcept = default;
TransferPlanner &TransferPlanner::operator=(TransferPlanner &&) noexcept = default;

void TransferPlanner::setOriginRate(double bytesPerSecond)
{
    m_impl->setOriginRate(bytesPerSecond);
}

TransferActions TransferPlanner::start(TimePoint now, TransferOrder order)
{
    m_impl->advanceClock(now);
    m_impl->start(std::move(order));
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::cancel(TimePoint now, const Digest &transfer)
{
    m_impl->advanceClock(now);
    m_impl->cancel(transfer);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::peerJoined(TimePoint now, const Digest &transfer,
                                            const Participant &peer)
{
    m_impl->advanceClock(now);
    m_impl->peerJoined(transfer, peer);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::peerLeft(TimePoint now, const HostId &peer)
{
    m_impl->advanceClock(now);
    m_impl->peerLeft(peer);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::peerHave(TimePoint now, const HostId &peer,
                                          const HaveUpdate &update)
{
    m_impl->advanceClock(now);
    m_impl->peerHave(peer, update);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::chunkRequested(TimePoint now, const HostId &peer,
                                                const Digest &digest, UploadId upload)
{
    m_impl->advanceClock(now);
    m_impl->chunkRequested(peer, digest, upload);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::uploadFinished(TimePoint now, UploadId upload, bool delivered)
{
    m_impl->advanceClock(now);
    m_impl->uploadFinished(upload, delivered);
    m_impl->run();
    return m_impl->takeActions();
}

void TransferPlanner::chunkProgress(TimePoint now, ChunkRequestId request)
{
    m_impl->advanceClock(now);
    m_impl->chunkProgress(request);
}

TransferActions TransferPlanner::chunkArrived(TimePoint now, ChunkRequestId request,
                                              ChunkBytes bytes)
{
    m_impl->advanceClock(now);
    m_impl->chunkArrived(request, std::move(bytes));
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::chunkFound(TimePoint now, const Digest &transfer, ChunkIndex chunk,
                                            ChunkBytes bytes)
{
    m_impl->advanceClock(now);
    m_impl->chunkFound(transfer, chunk, std::move(bytes));
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::chunkUnloaded(TimePoint now, const Digest &transfer,
                                               ChunkIndex chunk)
{
    m_impl->advanceClock(now);
    m_impl->chunkUnloaded(transfer, chunk);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::chunkLost(TimePoint now, const Digest &transfer, ChunkIndex chunk)
{
    m_impl->advanceClock(now);
    m_impl->chunkLost(transfer, chunk);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::chunkFailed(TimePoint now, ChunkRequestId request, ResultCode code,
                                             Duration retryAfter)
{
    m_impl->advanceClock(now);
    m_impl->chunkFailed(request, code, retryAfter);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::engineAccepted(TimePoint now, const Digest &transfer,
                                                ChunkIndex chunk)
{
    m_impl->advanceClock(now);
    m_impl->engineAccepted(transfer, chunk);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::engineLoaded(TimePoint now, const Digest &transfer)
{
    m_impl->advanceClock(now);
    m_impl->engineLoaded(transfer);
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::engineFailed(TimePoint now, const Digest &transfer, Error error)
{
    m_impl->advanceClock(now);
    m_impl->engineFailed(transfer, std::move(error));
    m_impl->run();
    return m_impl->takeActions();
}

TransferActions TransferPlanner::tick(TimePoint now)
{
    m_impl->advanceClock(now);
    m_impl->run();
    return m_impl->takeActions();
}

std::optional<TimePoint> TransferPlanner::nextTick() const
{
    return m_impl->nextTick();
}

std::vector<TransferStatus> TransferPlanner::status() const
{
    return m_impl->status();
}

const TransferCounters &TransferPlanner::counters() const
{
    return m_impl->counters;
}

const ChunkStore &TransferPlanner::store() const
{
    return m_impl->store;
}

} // namespace godwit
