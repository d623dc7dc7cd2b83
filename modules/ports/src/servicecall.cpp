#include "servicecall.h"

namespace godwit {

namespace {

struct NamedError
{
    std::string_view name;
    ResultCode code;
};

/// Codes of the admin API of engines.
constexpr NamedError NamedErrors[] = {
        {"stale_fencing", ResultCode::OrderStale},
        {"busy", ResultCode::EngineBusy},
        {"not_loaded", ResultCode::NotFound},
        {"weights_refused", ResultCode::WeightsRefused},
};

constexpr std::size_t DetailLimit = 200; ///< Bytes of a foreign message that an Error quotes.

ResultCode codeOfStatus(int status)
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

std::string textOf(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(boost::json::string_view(name.data(), name.size()));
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

std::string oneLine(std::string text)
{
    text.resize(std::min(text.size(), DetailLimit));
    for (char &c : text) {
        if (static_cast<unsigned char>(c) < ' ')
            c = ' ';
    }
    return text;
}

} // namespace

HttpCall serviceCall(const ServiceOptions &options, std::string method, std::string target)
{
    HttpCall call;
    call.endpoint = options.endpoint;
    call.method = std::move(method);
    call.target = std::move(target);
    call.connectTimeout = options.connectTimeout;
    call.idleTimeout = options.replyTimeout;
    return call;
}

std::optional<Error> errorOf(const HttpResponse &response)
{
    if (response.status >= 200 && response.status < 300)
        return std::nullopt;
    Error error{codeOfStatus(response.status), "HTTP status " + std::to_string(response.status)};
    boost::json::error_code ec;
    const auto json = boost::json::parse(response.body, ec);
    if (ec || !json.is_object())
        return error;
    const auto *nested = json.get_object().if_contains("error");
    const auto &object = nested && nested->is_object() ? nested->get_object() : json.get_object();
    const std::string name = textOf(object, "code");
    for (const NamedError &named : NamedErrors) {
        if (named.name == name)
            error.code = named.code;
    }
    error.detail = oneLine(error.detail + ": " + textOf(object, "message"));
    return error;
}

} // namespace godwit
