#pragma once

#include <godwit/base/result.h>
#include <godwit/wire/wireoptions.h>
#include <godwit/wire/wirestream.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace godwit {

/// Client connection to one other process, opened on demand and reopened after a failure. All
/// callbacks run on the single thread of the io_context, which must outlive the client. Not thread
/// safe.
class WireClient
{
public:
    using CallCallback = std::function<void(Outcome<std::string>)>;

    WireClient(boost::asio::io_context &io, std::string address, std::uint16_t port,
               WireOptions options = {});

    /// Calls close(). No callback is called later.
    ~WireClient();
    WireClient(const WireClient &) = delete;
    WireClient &operator=(const WireClient &) = delete;

    /// Opens a stream. Data may be written before the connection is established. onError with
    /// NotSent guarantees that the peer has not processed the stream.
    std::shared_ptr<WireStream> open(const std::string &path, WireFields fields,
                                     StreamEvents events);

    /// Sends \a body to \a path and buffers the reply. \a done is called once: with the reply body
    /// if the status is 2xx, else with an error. After PlatformTimeout, and after MessageTooLarge
    /// because the reply exceeds WireOptions::maxReplyBytes, the peer may have processed the
    /// request.
    void call(const std::string &path, std::string body, Duration timeout, CallCallback done,
              WireFields fields = {});

    /// Closes the connection. Open streams fail with ConnectionLost, those that wait for the
    /// connection with NotSent, all of them before this function returns.
    void close();

    bool connected() const;

    /// Number of streams that have been opened and have not ended.
    std::size_t openStreams() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace godwit
