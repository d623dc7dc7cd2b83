#include "callerrequest.h"

#include <godwit/base/json.h>
#include <godwit/ports/cacheblocks.h>
#include <godwit/requests/idempotency.h>

#include <array>
#include <charconv>

namespace godwit {

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxNameLength = 64;
constexpr std::array<std::pair<std::string_view, PriorityClass>, 3> PriorityNames{
        {{"interactive", PriorityClass::Interactive},
         {"booking", PriorityClass::Booking},
         {"draft", PriorityClass::Draft}}};

boost::leaf::error_id invalid(std::string detail)
{
    return fail(ResultCode::CallerRequestInvalid, std::move(detail));
}

Result<void> readCustomer(const HttpRequest &request, CallerRequest &result)
{
    std::string_view customer = request.headers.value("X-Customer");
    const auto authorization = request.headers.value("Authorization");
    if (customer.empty() && authorization.starts_with(BearerPrefix))
        customer = authorization.substr(BearerPrefix.size());
    if (customer.empty() || customer.size() > AdmissionQueue::MaxCustomerIdLength)
        return fail(ResultCode::CustomerInvalid,
                    "X-Customer or a bearer token must name the customer, at most 128 bytes");
    result.customer = CustomerId(std::string(customer));
    return {};
}

Result<void> readPriority(const HttpRequest &request, CallerRequest &result)
{
    const auto text = request.headers.value("X-Priority");
    if (text.empty())
        return {};
    for (const auto &[name, priority] : PriorityNames) {
        if (text == name) {
            result.priority = priority;
            result.hasPriority = true;
            return {};
        }
    }
    return invalid("X-Priority must be interactive, booking or draft");
}

Result<void> readDeadline(const HttpRequest &request, Duration defaultDeadline,
                          CallerRequest &result)
{
    result.deadline = defaultDeadline;
    const auto text = request.headers.value("X-Deadline-Ms");
    if (text.empty())
        return {};
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    const auto limit =
            std::chrono::milliseconds(AdmissionQueue::MaxDeadline / std::chrono::milliseconds(1));
    if (ec != std::errc() || end != text.data() + text.size() || ms <= 0 || ms > limit.count())
        return fail(ResultCode::DeadlineInvalid, "X-Deadline-Ms must be from 1 to 3600000");
    result.deadline = std::chrono::milliseconds(ms);
    return {};
}

Result<void> readIdempotencyKey(const HttpRequest &request, CallerRequest &result)
{
    const auto *key = request.headers.find("Idempotency-Key");
    if (!key)
        return {};
    result.key = IdempotencyKey(*key);
    if (!isValidIdempotencyKey(result.key))
        return fail(ResultCode::IdempotencyKeyInvalid,
                    "Idempotency-Key must be 1 to 128 printable ASCII characters without spaces");
    return {};
}

Result<void> readModelName(std::string_view name, CallerRequest &result)
{
    std::array<std::string, 3> parts;
    std::size_t count = 0;
    while (count < parts.size()) {
        const auto slash = name.find('/');
        parts[count++] = name.substr(0, slash);
        if (slash == std::string_view::npos) {
            name = {};
            break;
        }
        name.remove_prefix(slash + 1);
    }
    const bool isValid = name.empty() && count >= 2 && !parts[0].empty() && !parts[1].empty()
                         && parts[0].size() <= MaxNameLength && parts[1].size() <= MaxNameLength
                         && parts[2].size() <= MaxNameLength;
    if (!isValid)
        return invalid("model must be DEPLOYMENT/MODEL or DEPLOYMENT/MODEL/ADAPTER");
    result.deployment = DeploymentId(parts[0]);
    result.model = ModelId(parts[1]);
    result.adapter = AdapterId(parts[2]);
    return {};
}

Result<void> readCompletion(CallerRequest &result)
{
    boost::json::error_code ec;
    const auto json = boost::json::parse(result.body, ec);
    if (ec || !json.is_object())
        return invalid("the body is not a JSON object");
    const auto &body = json.get_object();
    const auto *model = body.if_contains("model");
    if (!model || !model->is_string())
        return invalid("the body has no member model with a string value");
    BOOST_LEAF_CHECK(readModelName(std::string_view(model->get_string()), result));
    if (const auto *stream = body.if_contains("stream")) {
        if (!stream->is_bool())
            return invalid("the member stream of the body must be true or false");
        result.isStreamed = stream->get_bool();
    }
    if (const auto *tokens = body.if_contains("max_tokens"); tokens && tokens->is_int64())
        result.maxTokens = static_cast<std::uint32_t>(
                std::clamp<std::int64_t>(tokens->get_int64(), 0, 1'000'000));
    // Cache events of the engines refer to blocks of this text, so both must use the same function.
    result.prompt = promptText(result.body);
    return {};
}

Result<void> readService(CallerRequest &result)
{
    std::string_view rest = std::string_view(result.target).substr(ServicePrefix.size());
    const auto slash = rest.find_first_of("/?");
    const auto name = rest.substr(0, slash);
    if (name.empty() || name.size() > MaxNameLength)
        return invalid("the path must be /v1/services/DEPLOYMENT/PATH");
    result.isPlain = true;
    result.deployment = DeploymentId(std::string(name));
    const auto path = slash == std::string_view::npos ? std::string_view("/") : rest.substr(slash);
    result.target = path.starts_with('/') ? std::string(path) : '/' + std::string(path);
    return {};
}

bool isCompletionPath(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace

Result<CallerRequest> parseCallerRequest(HttpRequest request, RequestId id,
                                         Duration defaultDeadline)
{
    CallerRequest result;
    result.id = std::move(id);
    result.method = request.method;
    result.target = request.target;
    result.contentType = std::string(request.headers.value("Content-Type"));
    result.traceparent = std::string(request.headers.value("traceparent"));
    result.body = std::move(request.body);
    BOOST_LEAF_CHECK(readCustomer(request, result));
    BOOST_LEAF_CHECK(readPriority(request, result));
    BOOST_LEAF_CHECK(readDeadline(request, defaultDeadline, result));
    BOOST_LEAF_CHECK(readIdempotencyKey(request, result));
    if (request.target.starts_with(ServicePrefix))
        BOOST_LEAF_CHECK(readService(result));
    else if (isCompletionPath(request.path()) && request.method == "POST")
        BOOST_LEAF_CHECK(readCompletion(result));
    else
        return fail(ResultCode::NotFound, "no such path: " + std::string(request.path()));
    result.content =
            Digest::of(result.deployment.value() + '\n' + result.target + '\n' + result.body);
    return result;
}

} // namespace godwit
