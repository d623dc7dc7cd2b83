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

/// Request of a peer for the manifest of a version.
struct ManifestRequest
{
    ModelId model;
    std::uint64_t version = 0;
    /// Sends the answer: the manifest, or null if this host cannot provide it.
    std::function<void(std::shared_ptr<const Manifest>)> reply;
};

/// Exchanges manifests, chunks, and announcements of held chunks, with other host processes.
class PeerTransport
{
public:
    PeerTransport() = default;
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    virtual ~PeerTransport() = default;

    /// Requests a chunk of \a bytes bytes from \a peer. \a onProgress is called whenever some of
    /// them arrive.
    virtual std::shared_ptr<CallHandle> fetch(const HostId &peer, const Digest &chunk,
                                              std::uint32_t bytes, std::function<void()> onProgress,
                                              Completion<std::string> done) = 0;

    /// Requests the manifest of \a version of \a model from \a peer, which answers as soon as it
    /// has the manifest. Fails if this takes too long.
    virtual void fetchManifest(const HostId &peer, const ModelId &model, std::uint64_t version,
                               Completion<Manifest> done) = 0;

    /// Sends \a update without waiting for a response.
    virtual void announce(const HostId &peer, const HaveUpdate &update) = 0;

    /// Responds to a peer's request with the chunk. \a onFinished receives true if the chunk was
    /// delivered.
    virtual void serve(const ServeChunk &chunk, std::function<void(bool)> onFinished) = 0;

    /// Rejects a peer's request with \a code.
    virtual void refuse(UploadId upload, ResultCode code) = 0;
};

} // namespace godwit
