#pragma once

#include <godwit/ports/callhandle.h>
#include <godwit/ports/httpcall.h>
#include <godwit/ports/httpclientoptions.h>
#include <godwit/ports/httpresponse.h>
#include <godwit/ports/httpstreamhandlers.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace godwit {

/// HTTP/1.1 client with a pool of persistent connections per endpoint, on one io_context that is
/// run by one thread. Calls may be started from any thread; callbacks run on the io_context thread
/// and never inside the function that starts or cancels the call.
///
/// A complete reply is a success whatever its status code. Errors:
///
/// | code | meaning | may have taken effect |
/// | --- | --- | --- |
/// | PlatformUnreachable | no connection, or no byte of the request was sent | no |
/// | PlatformTimeout | sent, but nothing arrived within idleTimeout | yes |
/// | PlatformReplyLost | sent, but the connection closed before the reply was complete | yes |
/// | PlatformBadReply | the reply is not HTTP or exceeds bodyLimit | yes |
/// | CallCancelled | CallHandle::cancel() | yes |
/// | CallCancelled | CallHandle::cancelUnsent() | no |
///
/// The client must be destroyed on the thread of the io_context or while the io_context does not
/// run. Destruction ends all calls without running their callbacks.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io, HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call and collects the whole response.
    std::shared_ptr<CallHandle> call(HttpCall call,
                                     std::function<void(Outcome<HttpResponse>)> onEnd);

    /// Starts a call and delivers the response as it arrives.
    std::shared_ptr<CallHandle> stream(HttpCall call, HttpStreamHandlers handlers);

    /// Number of idle connections in the pool, for tests and metrics.
    std::size_t idleConnections() const;

    boost::asio::io_context &context() const;

private:
    class Private;
    std::shared_ptr<Private> m_private;
};

} // namespace godwit
