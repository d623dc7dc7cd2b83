#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/weights/haveupdate.h>
#include <godwit/weights/transferaction.h>

#include <functional>
#include <memory>
#include <string>

namespace godwit {

/// Messages about chunks between host processes.
class PeerTransport
{
public:
    PeerTransport() = default;
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    virtual ~PeerTransport() = default;

    /// Asks \a peer for a chunk of \a bytes bytes. \a progressed runs when some of them arrive.
    virtual std::shared_ptr<CallHandle> fetch(const HostId &peer, const Digest &chunk,
                                              std::uint32_t bytes, std::function<void()> progressed,
                                              Completion<std::string> done) = 0;

    /// Sends \a update without waiting for an answer.
    virtual void announce(const HostId &peer, const HaveUpdate &update) = 0;

    /// Answers a request of a peer with the chunk. \a ended says whether it was delivered.
    virtual void serve(const ServeChunk &chunk, std::function<void(bool)> ended) = 0;

    /// Answers a request of a peer without the chunk.
    virtual void refuse(UploadId upload, ResultCode code) = 0;
};

} // namespace godwit
