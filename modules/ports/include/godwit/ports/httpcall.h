#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>
#include <godwit/ports/httpheaders.h>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit {

/// A header whose value identifies one call.
struct HttpCorrelation
{
    std::string header;
    std::string value;

    friend bool operator==(const HttpCorrelation &, const HttpCorrelation &) = default;
};

/// A request to be sent by HttpClient, which adds Host and Content-Length.
struct HttpCall
{
    HttpEndpoint endpoint;
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    Duration connectTimeout = std::chrono::seconds(1);
    /// Time to send the request, then to receive the header of the response, then the longest time
    /// without a byte of its body.
    Duration idleTimeout = std::chrono::seconds(10);
    /// Replaces idleTimeout once a byte of the response body has arrived. 0 disables it.
    Duration stallTimeout{0};
    /// Longest time from the first byte of the request to the last one of the response. 0: none; a
    /// server that sends a byte now and then could keep the call for ever.
    Duration totalTimeout{0};
    std::uint64_t bodyLimit = 64UL * 1024 * 1024; ///< Maximum size of the response body.
    std::string host; ///< Value of the Host header; empty: the endpoint.
    /// Header that the server copies into the response. A response with another value belongs to an
    /// earlier call on the connection and is discarded; one without the header is accepted.
    std::optional<HttpCorrelation> correlation;
    /// Uses no idle connection. Needed if an earlier call to the endpoint had the same correlation,
    /// because a copy of its response may follow on its connection.
    bool needsNewConnection = false;
    /// Time of AsioScheduler after which the call fails with NotSent if no byte of it has been
    /// sent.
    std::optional<TimePoint> sendBefore;
    bool retryable = false; ///< May be sent again if the server has closed a reused connection.
};

} // namespace godwit
