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

/// PeerTransport over HTTP/2 streams. A host is named by its address; all hosts listen on the same
/// port. Uploads are paced, so that the tokens of the engine beside this process, which use the
/// same link, do not queue behind them.
class PeerLinks : public PeerTransport
{
public:
    struct Handlers
    {
        std::function<void(const HostId &, const HaveUpdate &)> onHave;
        std::function<void(const HostId &, const Digest &, UploadId)> onChunkRequested;
        std::function<void(UploadId)> onUploadFailed;
    };

    PeerLinks(boost::asio::io_context &io, Scheduler &scheduler, HostId self, std::uint16_t port,
              const UploadLinks &links);
    ~PeerLinks() override;

    /// Fails with PlatformUnreachable.
    Result<void> listen(Handlers handlers);

    /// Closes connections that had no open stream in the previous call either.
    void closeIdle();

    std::shared_ptr<CallHandle> fetch(const HostId &peer, const Digest &chunk, std::uint32_t bytes,
                                      std::function<void()> progressed,
                                      Completion<std::string> done) override;
    void announce(const HostId &peer, const HaveUpdate &update) override;
    void serve(const ServeChunk &chunk, std::function<void(bool)> ended) override;
    void refuse(UploadId upload, ResultCode code) override;

private:
    struct Link
    {
        std::unique_ptr<WireClient> client;
        bool idle = false;
    };

    struct Upload
    {
        std::shared_ptr<WireStream> stream;
        std::function<void(bool)> ended; ///< Empty until the chunk is being sent.
    };

    WireClient &client(const HostId &peer);
    void uploadEnded(UploadId upload, bool delivered);
    void sendUploads();
    void scheduleUploads();
    void accept(const std::shared_ptr<WireStream> &stream);
    void acceptHave(const std::shared_ptr<WireStream> &stream);
    void acceptRequest(const std::shared_ptr<WireStream> &stream);

    boost::asio::io_context &m_io;
    Scheduler &m_scheduler;
    HostId m_self;
    std::uint16_t m_port;
    Handlers m_handlers;
    std::unique_ptr<WireServer> m_server;
    std::map<HostId, Link> m_links;
    UploadId m_lastUpload = 0;
    std::map<UploadId, Upload> m_uploads;
    UploadSender m_sender;
    std::unique_ptr<Timer> m_sendTimer;
};

} // namespace godwit
