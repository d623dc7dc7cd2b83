#include "servicecall.h"

namespace godwit {

namespace {

struct ErrorName
{
    std::string_view name;
    ResultCode code;
};

/// Error codes of the admin API of engines.
constexpr ErrorName ErrorNames[] = {
        {"stale_fencing", ResultCode::OrderStale},
        {"busy", ResultCode::EngineBusy},
        {"not_loaded", ResultCode::NotFound},
        {"weights_refused", ResultCode::WeightsRefused},
};

constexpr std::size_t MaxDetailLength = 200; ///< Bytes of a remote error message copied to Error.

ResultCode resultCodeForStatus(int status)
{
    if (status == 404)
        return ResultCode::NotFound;
    if (status == 429)
        return ResultCode::PlatformRefused;
    if (status >= 400 && status < 500)
        return ResultCode::PlatformRejected;
    if (status >= 500 && status < 600)
        return ResultCode::PlatformFailed;
    return ResultCode::PlatformBadReply;
}

std::string stringMember(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(boost::json::string_view(name.data(), name.size()));
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

std::string toSingleLine(std::string text)
{
    text.resize(std::min(text.size(), MaxDetailLength));
    for (char &c : text) {
        if (static_cast<unsigned char>(c) < ' ')
            c = ' ';
    }
    return text;
}

} // namespace

HttpCall makeServiceCall(const ServiceOptions &options, std::string method, std::string target)
{
    HttpCall call;
    call.endpoint = options.endpoint;
    call.method = std::move(method);
    call.target = std::move(target);
    call.connectTimeout = options.connectTimeout;
    call.idleTimeout = options.replyTimeout;
    return call;
}

std::optional<Error> errorFromResponse(const HttpResponse &response)
{
    if (response.status >= 200 && response.status < 300)
        return std::nullopt;
    Error error{resultCodeForStatus(response.status),
                "HTTP status " + std::to_string(response.status)};
    boost::json::error_code ec;
    const auto json = boost::json::parse(response.body, ec);
    if (ec || !json.is_object())
        return error;
    const auto *nested = json.get_object().if_contains("error");
    const auto &object = nested && nested->is_object() ? nested->get_object() : json.get_object();
    const std::string name = stringMember(object, "code");
    for (const ErrorName &named : ErrorNames) {
        if (named.name == name)
            error.code = named.code;
    }
    error.detail = toSingleLine(error.detail + ": " + stringMember(object, "message"));
    return error;
}

} // namespace godwit
