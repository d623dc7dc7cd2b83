#pragma once

#include <godwit/ports/scheduler.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/weights/uploadsender.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace godwit {

/// PeerTransport over HTTP/2 streams. A host is identified by its address; all hosts listen on the
/// same port. Uploads are paced so that tokens of the local engine, which use the same link, do not
/// queue behind them.
class Http2PeerTransport : public PeerTransport
{
public:
    struct Handlers
    {
        std::function<void(const HostId &, const HaveUpdate &)> onHaveUpdate;
        std::function<void(const HostId &, const Digest &, UploadId)> onChunkRequested;
        std::function<void(UploadId)> onUploadFailed;
        std::function<void(ManifestRequest)> onManifestRequested;
    };

    /// \a io and \a scheduler must outlive the transport.
    Http2PeerTransport(boost::asio::io_context &io, Scheduler &scheduler, HostId self,
                       std::uint16_t port, const UploadLinks &links);

    /// Closes all connections. The transfers in progress end without a call of their callbacks, and
    /// none of the handlers is called any more, so their targets may already be destroyed.
    ~Http2PeerTransport() override;

    /// Fails with PlatformUnreachable.
    Result<void> listen(Handlers handlers);

    /// Closes connections that have no open stream now and had none at the previous call.
    void closeIdleConnections();

    std::shared_ptr<CallHandle> fetch(const HostId &peer, const Digest &chunk, std::uint32_t bytes,
                                      std::function<void()> onProgress,
                                      Completion<std::string> done) override;
    void fetchManifest(const HostId &peer, const ModelId &model, std::uint64_t version,
                       Completion<Manifest> done) override;
    void announce(const HostId &peer, const HaveUpdate &update) override;
    void serve(const ServeChunk &chunk, std::function<void(bool)> onFinished) override;
    void refuse(UploadId upload, ResultCode code) override;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace godwit
