#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>
#include <godwit/ports/httpheaders.h>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit {

/// A header whose value names one call.
struct HttpCorrelation
{
    std::string header;
    std::string value;

    friend bool operator==(const HttpCorrelation &, const HttpCorrelation &) = default;
};

/// A request to be sent by HttpClient. Host and Content-Length are added.
struct HttpCall
{
    HttpEndpoint endpoint;
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(10); ///< Without a byte in either direction.
    /// Replaces idleTimeout once a byte of the response body has arrived, if it is not 0.
    Duration stallTimeout{0};
    std::uint64_t bodyLimit = 64UL * 1024 * 1024; ///< Bytes of the response body.
    std::string host; ///< Value of the Host header; empty stands for the endpoint.
    /// The response repeats this header. One with another value belongs to an earlier call on the
    /// connection and is dropped; one without it is taken as the response.
    std::optional<HttpCorrelation> correlation;
    bool repeatable = false; ///< May be sent again if a kept-alive connection turns out closed.
};

} // namespace godwit
