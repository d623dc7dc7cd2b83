#pragma once

#include <godwit/ports/httpresponse.h>

#include <cstddef>
#include <functional>
#include <string>

namespace godwit {

/// Reply to one request of HttpServer: either one send(), or start(), any number of write() and
/// finish(). All functions may be called from any thread; calls from one thread keep their order.
/// Calls after the end of the reply, or after the caller has disconnected, do nothing. If the last
/// reference is released before the end of the reply, the server answers 500 or, once streaming has
/// started, closes the connection.
///
/// Callbacks run on the thread of the server and are destroyed when the reply ends. A reply must
/// not outlive the io_context of its server.
class HttpReply
{
public:
    HttpReply() = default;
    HttpReply(const HttpReply &) = delete;
    HttpReply &operator=(const HttpReply &) = delete;
    virtual ~HttpReply() = default;

    /// Sends a complete response.
    virtual void send(HttpResponse response) = 0;

    /// Sends status and headers of a streamed response (chunked transfer coding).
    virtual void start(int status, HttpHeaders headers) = 0;

    /// Queues \a data and returns the number of queued bytes. A writer should stop above a limit of
    /// its own until onDrained(). If the queue exceeds HttpServerOptions::queueLimit, the
    /// connection is closed, which bounds the memory used for a slow reader.
    virtual std::size_t write(std::string data) = 0;

    /// Ends a streamed response.
    virtual void finish() = 0;

    /// Closes the connection without a complete response.
    virtual void abort() = 0;

    /// Bytes accepted by write() that have not been passed to the kernel.
    virtual std::size_t queuedBytes() const = 0;

    /// Calls \a callback each time the queue becomes empty.
    virtual void onDrained(std::function<void()> callback) = 0;

    /// Calls \a callback once if the caller closes the connection, or half of it, before the end
    /// of the reply. If that has already happened, calls it at once. A close is not detected while
    /// a pipelined request waits behind this one.
    virtual void onClosed(std::function<void()> callback) = 0;
};

} // namespace godwit
