#pragma once

#include "backenddirectory.h"
#include "entrycore.h"
#include "requestservice.h"

#include <godwit/apps/peerpool.h>
#include <godwit/ports/httpserver.h>
#include <godwit/wire/iothread.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// One traffic thread of an entry process with its own caller port socket, backend directory and
/// requests. The functions may be called from any thread.
class EntryShard
{
public:
    using OperatorHandler = std::function<void(std::string body, std::shared_ptr<HttpReply>)>;

    EntryShard(const DaemonSettings &settings, RefusalLog &refusals, MetricsRegistry &metrics,
               Tracer &tracer, std::uint64_t seed, OperatorHandler operatorHandler,
               RequestService::PoisonPublisher publishPoison,
               RequestService::EnginesNeeded enginesNeeded);
    ~EntryShard();
    EntryShard(const EntryShard &) = delete;
    EntryShard &operator=(const EntryShard &) = delete;

    /// Opens the caller port. Fails with ListenFailed.
    Result<std::uint16_t> listen();

    void setConfiguration(std::shared_ptr<const Configuration> configuration);
    void setHosts(std::vector<HostUpdate> hostUpdates);
    void applyReport(std::shared_ptr<const HostReport> report);
    void mergePoison(std::vector<PoisonRecord> records);

    void stopAccepting();
    std::vector<std::string> inProgress();

private:
    void handle(HttpRequest request, std::shared_ptr<HttpReply> reply);
    void scheduleTick();

    const DaemonSettings &m_settings;
    OperatorHandler m_operatorHandler;
    IoThread m_thread;
    // The following are used only on m_thread.
    BackendDirectory m_directory;
    std::unique_ptr<PeerPool> m_peers;
    std::unique_ptr<RequestService> m_service;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<boost::asio::steady_timer> m_timer;
};

} // namespace godwit
