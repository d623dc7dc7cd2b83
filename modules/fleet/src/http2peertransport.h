#pragma once

#include <godwit/ports/scheduler.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/weights/uploadsender.h>
#include <godwit/wire/wireclient.h>
#include <godwit/wire/wireserver.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
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

    Http2PeerTransport(boost::asio::io_context &io, Scheduler &scheduler, HostId self,
                       std::uint16_t port, const UploadLinks &links);
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
    struct Connection
    {
        std::unique_ptr<WireClient> client;
        bool idle = false;
    };

    struct Upload
    {
        std::shared_ptr<WireStream> stream;
        std::function<void(bool)> onFinished; ///< Empty until the upload has started.
    };

    WireClient &client(const HostId &peer);
    void finishUpload(UploadId upload, bool delivered);
    void sendUploads();
    void scheduleUploads();
    void dispatch(const std::shared_ptr<WireStream> &stream);
    void handleHaveUpdate(const std::shared_ptr<WireStream> &stream);
    void handleChunkRequest(const std::shared_ptr<WireStream> &stream);
    void handleManifestRequest(const std::shared_ptr<WireStream> &stream);

    boost::asio::io_context &m_io;
    Scheduler &m_scheduler;
    HostId m_self;
    std::uint16_t m_port;
    Handlers m_handlers;
    std::unique_ptr<WireServer> m_server;
    std::map<HostId, Connection> m_connections;
    UploadId m_lastUpload = 0;
    std::map<UploadId, Upload> m_uploads;
    UploadSender m_sender;
    std::unique_ptr<Timer> m_sendTimer;
};

} // namespace godwit
