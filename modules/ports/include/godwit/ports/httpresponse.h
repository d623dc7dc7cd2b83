#pragma once

#include <godwit/ports/httpheaders.h>

#include <string>

namespace godwit {

/// A complete HTTP response.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    /// A response with a JSON body.
    static HttpResponse json(int status, std::string body);

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// Reason phrase of \a status, or "Status".
std::string_view httpReason(int status);

} // namespace godwit
