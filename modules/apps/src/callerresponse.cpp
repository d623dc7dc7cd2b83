#include "callerresponse.h"

#include "runmessages.h"

#include <cmath>

namespace godwit {

namespace {

struct StatusOfCode
{
    ResultCode code;
    int status;
};

constexpr StatusOfCode StatusTable[] = {
        {ResultCode::CallerRequestInvalid, 400},    {ResultCode::CustomerInvalid, 400},
        {ResultCode::DeadlineInvalid, 400},         {ResultCode::IdempotencyKeyInvalid, 400},
        {ResultCode::IdempotencyBodyMismatch, 422}, {ResultCode::NotFound, 404},
        {ResultCode::DeploymentUnknown, 404},       {ResultCode::CustomerDenied, 403},
        {ResultCode::PoisonSuspected, 422},         {ResultCode::QueueFull, 429},
        {ResultCode::DeadlineUnreachable, 503},     {ResultCode::DeadlineExceeded, 504},
};

int statusOf(ResultCode code)
{
    for (const auto &row : StatusTable) {
        if (row.code == code)
            return row.status;
    }
    return 503;
}

} // namespace

std::string errorBody(const RequestId &id, const Error &error, RunState state, Duration retryAfter)
{
    boost::json::object detail{{"code", static_cast<int>(error.code)},
                               {"name", resultCodeName(error.code)},
                               {"message", error.detail},
                               {"request", id.value()},
                               {"run_state", toJson(state)}};
    if (retryAfter > Duration::zero())
        detail["retry_after_s"] = std::ceil(toSeconds(retryAfter));
    return boost::json::serialize(boost::json::object{{"error", detail}});
}

HttpResponse errorResponse(const RequestId &id, const Error &error, RunState state,
                           Duration retryAfter)
{
    auto response =
            HttpResponse::json(statusOf(error.code), errorBody(id, error, state, retryAfter));
    response.headers.add("X-Request-Id", id.value());
    if (retryAfter > Duration::zero())
        response.headers.add("Retry-After",
                             std::to_string(static_cast<int>(std::ceil(toSeconds(retryAfter)))));
    return response;
}

std::string completionText(std::string_view data, std::string &finishReason)
{
    boost::json::error_code ec;
    const auto json = boost::json::parse(boost::json::string_view(data.data(), data.size()), ec);
    const auto *choices =
            !ec && json.is_object() ? json.get_object().if_contains("choices") : nullptr;
    if (!choices || !choices->is_array() || choices->get_array().empty()
        || !choices->get_array()[0].is_object())
        return {};
    const auto &choice = choices->get_array()[0].get_object();
    if (const auto *reason = choice.if_contains("finish_reason"); reason && reason->is_string())
        finishReason = std::string(reason->get_string());
    const auto *delta = choice.if_contains("delta");
    const auto *text = delta && delta->is_object() ? delta->get_object().if_contains("content")
                                                   : choice.if_contains("text");
    return text && text->is_string() ? std::string(text->get_string()) : std::string();
}

} // namespace godwit
