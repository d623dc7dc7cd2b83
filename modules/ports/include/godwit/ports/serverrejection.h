#pragma once

#include <string_view>

namespace godwit {

/// Why an HttpServer has rejected a request or closed a connection of its own accord.
enum class ServerRejection {
    Malformed,           ///< The request cannot be parsed (400).
    Timeout,             ///< The request has not been received in time (408).
    BodyLimit,           ///< The body is longer than allowed (413).
    HeaderLimit,         ///< The headers are longer than allowed (431).
    IncompleteForMemory, ///< Incomplete request without progress, for the memory it held (408).
    CompleteForMemory,   ///< Complete request for which there was no memory left (503).
    OutputMemory,        ///< Connection that did not read its reply, for the memory of its queue.
    IdleForConnection,   ///< Idle connection, closed for a new one.
    IncompleteForConnection, ///< Incomplete request without progress, for a new connection (408).
    Connection,              ///< New connection, because all others were busy.
};

/// Name of \a rejection in logs and metrics.
std::string_view toString(ServerRejection rejection);

} // namespace godwit
