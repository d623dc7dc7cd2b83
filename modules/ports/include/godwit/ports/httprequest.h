#pragma once

#include <godwit/ports/httpheaders.h>

#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// A complete HTTP request as received by HttpServer.
struct HttpRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    std::string peerAddress; ///< IP address of the sender, without port.

    /// Returns the target without the query.
    std::string_view path() const;

    /// Returns the percent-decoded value of the query parameter \a name, if present.
    std::optional<std::string> query(std::string_view name) const;

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/// Decodes %XX and, if \a plusIsSpace is set, '+' as a space. Copies incomplete escapes unchanged.
std::string percentDecode(std::string_view text, bool plusIsSpace = false);

/// Escapes all bytes except letters, digits and "-._~".
std::string percentEncode(std::string_view text);

} // namespace godwit
