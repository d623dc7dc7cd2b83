#include "errorresponse.h"

#include <boost/json.hpp>

#include <cstdio>

namespace godwit {

namespace {

constexpr int ServiceUnavailable = 503;

std::string formatSeconds(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", toSeconds(duration));
    return text;
}

} // namespace

HttpResponse makeErrorResponse(int status, const Error &error, Duration retryAfter)
{
    const boost::json::object body{
            {"error", {{"code", static_cast<int>(error.code)}, {"message", error.detail}}}};
    HttpResponse response = HttpResponse::json(status, boost::json::serialize(body));
    if (status == ServiceUnavailable)
        response.headers.add("Retry-After", formatSeconds(retryAfter));
    return response;
}

} // namespace godwit
