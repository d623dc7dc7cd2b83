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

/// Accepts connections from other processes of the system and passes each incoming stream to a
/// handler. All callbacks run on the single thread of the io_context, which must outlive the
/// server.
class WireServer
{
public:
    using Handler = std::function<void(std::shared_ptr<WireStream>)>;

    /// Listens on the IP address \a address and \a port; port 0 selects a free port. Fails with
    /// PlatformUnreachable if the address cannot be bound.
    static Result<std::unique_ptr<WireServer>> listen(boost::asio::io_context &io,
                                                      const std::string &address,
                                                      std::uint16_t port, Handler handler,
                                                      WireOptions options = {});
    ~WireServer();
    WireServer(const WireServer &) = delete;
    WireServer &operator=(const WireServer &) = delete;

    std::uint16_t port() const;

    /// Stops accepting connections and sends GOAWAY, so that peers open no new streams. Streams in
    /// progress continue.
    void stopAccepting();

    /// Closes all connections immediately.
    void close();

    std::size_t connectionCount() const;

private:
    struct Private;
    explicit WireServer(std::shared_ptr<Private> data);

    std::shared_ptr<Private> m_d;
};

} // namespace godwit
