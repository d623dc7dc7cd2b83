#pragma once

#include "controlio.h"

#include <godwit/observe/metricsregistry.h>
#include <godwit/observe/tracer.h>
#include <godwit/ports/httpserver.h>
#include <godwit/settings/daemonsettings.h>
#include <godwit/wire/iothread.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>

namespace godwit {

/// Common base of both roles of `godwitd`: settings, metrics, traces and the admin server.
class DaemonBase
{
public:
    explicit DaemonBase(DaemonSettings settings);
    virtual ~DaemonBase();
    DaemonBase(const DaemonBase &) = delete;
    DaemonBase &operator=(const DaemonBase &) = delete;

    /// Opens the ports. Fails with PlatformUnreachable or ListenFailed.
    virtual Result<void> start() = 0;

    /// Begins a graceful shutdown: no new requests are accepted.
    virtual void beginShutdown() = 0;

    /// Ids of the requests that are still in progress.
    virtual std::vector<std::string> inProgress() = 0;

    const DaemonSettings &settings() const { return m_settings; }

protected:
    /// Starts `/healthz`, `/readyz` and `/metrics`.
    Result<void> startAdmin();
    void setReady(bool ready) { m_ready = ready; }

    DaemonSettings m_settings;
    MetricsRegistry m_metrics;
    Tracer m_tracer;

private:
    class FileSink;

    void handleAdmin(const HttpRequest &request, HttpReply &reply);
    void flushSpans();

    std::atomic<bool> m_ready = false;
    std::unique_ptr<FileSink> m_sink;
    std::unique_ptr<IoThread> m_adminThread;
    std::unique_ptr<HttpServer> m_admin;
    std::unique_ptr<boost::asio::steady_timer> m_flushTimer;
};

/// Calls \a function on the thread of \a io and waits for it.
void runAndWait(boost::asio::io_context &io, const std::function<void()> &function);

} // namespace godwit
