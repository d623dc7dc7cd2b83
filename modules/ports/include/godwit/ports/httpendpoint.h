#pragma once

#include <godwit/base/result.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit {

/// IP address and TCP port of a server.
struct HttpEndpoint
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    friend auto operator<=>(const HttpEndpoint &, const HttpEndpoint &) = default;
};

/// Parses "IP:PORT" or "[IPv6]:PORT". Fails with AddressInvalid. Host names are not resolved.
Result<HttpEndpoint> parseHttpEndpoint(std::string_view text);

/// Formats \a endpoint as "IP:PORT" or "[IPv6]:PORT".
std::string toString(const HttpEndpoint &endpoint);

} // namespace godwit
