#include "callerrequest.h"

#include <godwit/ports/cacheblocks.h>

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

constexpr Duration DefaultDeadline = std::chrono::seconds(60);

HttpRequest completion(std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.add("X-Customer", "c1");
    request.body = std::move(body);
    return request;
}

Outcome<CallerRequest> parse(HttpRequest request)
{
    return capture([&] {
        return parseCallerRequest(std::move(request), RequestId("r"), DefaultDeadline);
    });
}

} // namespace

TEST_CASE("Requests of callers")
{
    SECTION("a completion names deployment, model and adapter")
    {
        const auto parsed = parse(completion(
                R"({"model":"d/m/a","stream":true,"max_tokens":7,"messages":[{"content":"hi"}]})"));
        REQUIRE(succeeded(parsed));
        const auto &request = std::get<0>(parsed);
        CHECK(request.deployment == DeploymentId("d"));
        CHECK(request.model == ModelId("m"));
        CHECK(request.adapter == AdapterId("a"));
        CHECK(request.isStreamed);
        CHECK(request.deadline == DefaultDeadline);
    }

    SECTION("a service call keeps path and query for the service")
    {
        HttpRequest request = completion("x");
        request.target = "/v1/services/booking/slots/7?day=2";
        const auto parsed = parse(request);
        REQUIRE(succeeded(parsed));
        CHECK(std::get<0>(parsed).target == "/slots/7?day=2");
        CHECK(std::get<0>(parsed).isPlain);
    }

    // Guards against different requests that share a poison record or pass as duplicates of each
    // other.
    SECTION("the content digest differs with body and target")
    {
        HttpRequest first = completion("x");
        first.target = "/v1/services/booking/a";
        HttpRequest second = first;
        second.target = "/v1/services/booking/b";
        HttpRequest third = first;
        third.body = "y";
        const auto digest = [](const HttpRequest &it) { return std::get<0>(parse(it)).content; };
        CHECK(digest(first) != digest(second));
        CHECK(digest(first) != digest(third));
    }

    // Guards against a prompt whose blocks differ from those in the engines' cache events.
    SECTION("the prompt is the text that an engine's cache covers")
    {
        const std::string body = R"({"model":"d/m","messages":[{"role":"user","content":"hi"}]})";
        const auto parsed = parse(completion(body));
        REQUIRE(succeeded(parsed));
        CHECK(std::get<0>(parsed).prompt == "user\nhi\n");
        CHECK(std::get<0>(parsed).prompt == promptText(body));
    }

    // Guards against invalid input that reaches a queue or a backend server.
    SECTION("invalid input is refused with a result code")
    {
        struct Row
        {
            const char *target;
            const char *field;
            std::string value;
            std::string body;
            ResultCode code;
        };
        const char *chat = "/v1/chat/completions";
        const std::string good = R"({"model":"d/m"})";
        const auto row = GENERATE_COPY(
                Row{chat, "X-A", "", "{", ResultCode::CallerRequestInvalid},
                Row{chat, "X-A", "", "[]", ResultCode::CallerRequestInvalid},
                Row{chat, "X-A", "", "{}", ResultCode::CallerRequestInvalid},
                Row{chat, "X-A", "", R"({"model":"m"})", ResultCode::CallerRequestInvalid},
                Row{chat, "X-A", "", R"({"model":"d/m/a/b"})", ResultCode::CallerRequestInvalid},
                Row{chat, "X-A", "", R"({"model":"/m"})", ResultCode::CallerRequestInvalid},
                Row{chat, "X-A", "", R"({"model":"d/m","stream":1})",
                    ResultCode::CallerRequestInvalid},
                Row{chat, "X-Deadline-Ms", "0", good, ResultCode::DeadlineInvalid},
                Row{chat, "X-Deadline-Ms", "-5", good, ResultCode::DeadlineInvalid},
                Row{chat, "X-Deadline-Ms", "1e9", good, ResultCode::DeadlineInvalid},
                Row{chat, "X-Deadline-Ms", "99999999999999999999", good,
                    ResultCode::DeadlineInvalid},
                Row{chat, "X-Priority", "high", good, ResultCode::CallerRequestInvalid},
                Row{chat, "Idempotency-Key", "a b", good, ResultCode::IdempotencyKeyInvalid},
                Row{chat, "Idempotency-Key", std::string(129, 'k'), good,
                    ResultCode::IdempotencyKeyInvalid},
                Row{"/v1/services/", "X-A", "", "", ResultCode::CallerRequestInvalid},
                Row{"/v1/unknown", "X-A", "", good, ResultCode::NotFound});
        HttpRequest request = completion(row.body);
        request.target = row.target;
        request.headers.add(row.field, row.value);
        const auto parsed = parse(request);
        REQUIRE_FALSE(succeeded(parsed));
        CHECK(std::get<1>(parsed).code == row.code);
    }

    SECTION("a request without a customer is refused")
    {
        HttpRequest request = completion(R"({"model":"d/m"})");
        request.headers = {};
        CHECK(std::get<1>(parse(request)).code == ResultCode::CustomerInvalid);
    }
}
