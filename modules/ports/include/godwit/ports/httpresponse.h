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

    /// Creates a response with a JSON body.
    static HttpResponse json(int status, std::string body);

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// Returns the reason phrase of \a status, or "Status" if it is unknown.
std::string_view httpReason(int status);

} // namespace godwit
