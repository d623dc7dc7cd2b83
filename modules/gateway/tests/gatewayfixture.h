#pragma once

#include "virtualscheduler.h"

#include <godwit/gateway/gateway.h>

#include <chrono>
#include <string>
#include <vector>

namespace godwit::test {

using namespace std::chrono_literals;

/// Protocol with short header names: id, key, patience, last, parts (single letters).
class TestProtocol : public CallerProtocol
{
public:
    bool identifiesRequests = false; ///< Responses carry the header "echo" with the request's id.

    Result<ClientRequest> readRequest(HttpRequest http) const override
    {
        ClientRequest request;
        request.id = RequestId(std::string(http.headers.value("id")));
        if (request.id.empty())
            return fail(ResultCode::CallerRequestInvalid, "no id");
        request.method = http.method;
        request.target = http.target;
        request.host = http.headers.value("Host");
        request.body = http.body;
        request.key = http.headers.value("key");
        request.model = ModelId(std::string(http.headers.value("model")));
        for (const char part : http.headers.value("parts"))
            request.promptParts.emplace_back(1, part);
        const std::string *clientTimeout = http.headers.find("patience");
        request.clientTimeout =
                std::chrono::milliseconds(clientTimeout ? std::stoi(*clientTimeout) : 2000);
        return request;
    }
    HttpCall forward(const ClientRequest &request,
                     const AttemptParameters &parameters) const override
    {
        HttpCall call;
        call.endpoint = parameters.endpoint;
        call.target = request.target;
        call.headers.add("backend", parameters.backend.value());
        call.headers.add("customer", parameters.customer.value());
        call.headers.add("priority", std::to_string(parameters.priority.value_or(5)));
        call.headers.add("left", std::to_string(parameters.remainingTime.count()));
        if (identifiesRequests)
            call.correlation = HttpCorrelation{"echo", request.id.value()};
        if (parameters.lastEventId)
            call.headers.add("last", *parameters.lastEventId);
        if (parameters.weightsVersion)
            call.headers.add("weights", std::to_string(*parameters.weightsVersion));
        return call;
    }
    BackendResponseHead readResponse(int status, const HttpHeaders &headers) const override
    {
        BackendResponseHead head;
        head.status = status;
        head.sealed = headers.find("seal") != nullptr;
        head.notExecuted = headers.find("not-run") != nullptr || status == 421;
        head.otherProcess = status == 421;
        head.impliesNotExecuted = status == 421 || status == 503;
        head.isEventStream = headers.find("events") != nullptr;
        head.isEncoded = headers.find("encoded") != nullptr;
        if (const std::string *ms = headers.find("cold"))
            head.coldFor = std::chrono::milliseconds(std::stoi(*ms));
        if (const std::string *version = headers.find("weights"))
            head.weightsVersion = std::stoull(*version);
        return head;
    }
    BackendAvailability readAvailability(int status, const HttpHeaders &headers) const override
    {
        BackendAvailability availability;
        availability.leaving = headers.find("leaving") != nullptr;
        const std::string *pause = headers.find("pause");
        if (status == 503 && pause)
            availability.retryAfter = std::chrono::milliseconds(std::stoi(*pause));
        return availability;
    }
};

/// Records the response that the client receives.
class ClientView : public HttpReply
{
public:
    int status = 0;
    std::string body;
    HttpHeaders headers;
    bool finished = false;
    bool aborted = false;
    std::function<void()> closed;

    void send(HttpResponse response) override
    {
        status = response.status;
        body = response.body;
        headers = response.headers;
        finished = true;
    }
    void start(int code, HttpHeaders) override { status = code; }
    std::size_t write(std::string data) override
    {
        body += data;
        return 0;
    }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    std::size_t queuedBytes() const override { return 0; }
    void onDrained(std::function<void()>) override {}
    void onClosed(std::function<void()> callback) override { closed = callback; }
};

/// A call that has reached a backend server.
struct BackendCall : public CallHandle
{
    HttpCall call;
    HttpStreamHandlers handlers;
    bool sent = true; ///< Bytes of the request may have left.
    bool cancelled = false;

    void cancel() override { cancelled = true; }
    bool cancelUnsent() override
    {
        cancelled |= !sent;
        return !sent;
    }
    std::string backend() const { return std::string(call.headers.value("backend")); }
    void head(int status, HttpHeaders headers) { handlers.onHeader(status, headers); }
    void data(std::string_view bytes) { handlers.onData(bytes); }
    void complete() { handlers.onEnd(std::monostate()); }
    void fail(ResultCode code) { handlers.onEnd(Error{code, "test"}); }
    void respond(int status, const std::string &body)
    {
        head(status, {{"seal", "s"}});
        data(body);
        complete();
    }
    void reject(int status)
    {
        head(status, {{"not-run", "1"}});
        complete();
    }
};

struct Fixture
{
    explicit Fixture(const GatewayOptions &given = options())
        : gatewayOptions(given)
    {}

    GatewayOptions gatewayOptions;
    VirtualScheduler scheduler;
    TestProtocol protocol;
    MetricsRegistry registry;
    GatewayMetrics metrics{registry};
    std::vector<std::shared_ptr<BackendCall>> backendCalls;
    std::vector<CrashReport> crashReports;
    Gateway gateway{gatewayOptions,
                    {scheduler, protocol, metrics,
                     [this](HttpCall call, HttpStreamHandlers handlers) {
                         auto backendCall = std::make_shared<BackendCall>();
                         backendCall->call = std::move(call);
                         backendCall->handlers = std::move(handlers);
                         backendCalls.push_back(backendCall);
                         return backendCall;
                     },
                     [this](const CrashReport &report) { crashReports.push_back(report); }},
                    Random(5)};

    static GatewayOptions options()
    {
        GatewayOptions it;
        it.retryBudget = {0.2, 1600, 10s};
        it.maxKeyAge = 4s;
        return it;
    }

    static GatewayConfiguration configuration(std::uint64_t version)
    {
        GatewayConfiguration it;
        it.version = version;
        it.routes = {route("/safe/", RouteKind::Safe), route("/book/", RouteKind::Unsafe),
                     route("/stream/", RouteKind::Streaming)};
        it.routes.back().resumable = true;
        it.customers = {{CustomerId("dairy"), {"k"}, std::nullopt},
                        {CustomerId("mill"), {"l"}, std::nullopt}};
        return it;
    }

    static Route route(const std::string &prefix, RouteKind kind)
    {
        Route it;
        it.host = "h";
        it.prefix = prefix;
        it.kind = kind;
        it.timeout = 2s;
        it.objective = 200ms;
        it.maxEventGap = 300ms;
        it.maxAttempts = 2;
        it.targets = {{"desk", 1}};
        return it;
    }

    void configure()
    {
        gateway.setConfiguration(std::make_shared<const RouteTable>(configuration(1)));
        gateway.onConfigurationConfirmed(scheduler.now());
        for (int i = 1; i <= 3; ++i)
            gateway.backends().update({BackendId("b" + std::to_string(i)),
                                       "desk",
                                       {"10.0.0." + std::to_string(i), 80},
                                       ZoneId("z"),
                                       6,
                                       false,
                                       1,
                                       {},
                                       std::nullopt},
                                      scheduler.now());
    }

    std::shared_ptr<ClientView> sendRequest(const std::string &target, const std::string &key = "k",
                                            Duration clientTimeout = 2s)
    {
        auto view = std::make_shared<ClientView>();
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.headers = {{"id", "r1"},
                           {"Host", "h"},
                           {"key", key},
                           {"patience", std::to_string(clientTimeout / 1ms)}};
        gateway.handle(std::move(request), view);
        return view;
    }
};

} // namespace godwit::test
