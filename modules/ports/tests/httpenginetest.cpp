#include "loopback.h"

#include <godwit/ports/calleffect.h>
#include <godwit/ports/httpengine.h>
#include <godwit/ports/httpserver.h>

using namespace godwit;

namespace {

std::string response(const std::string &status, const std::string &request, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a late copy of the response to an earlier request, which was taken for the
// response to the current one: a request that ran was reported as not run.
TEST_CASE("HttpEngine drops a response that names another request")
{
    const std::string event =
            R"(data: {"model":"m","origin":{"engine":"e","version":"1","request":"r2","position":0}})"
            "\n\ndata: [DONE]\n\n";
    const std::string copy =
            GENERATE(response("503 Service Unavailable", "r1", R"({"error":{"code":"busy"}})"),
                     response("200 OK", "r1", "data: [DONE]\n\n"));
    boost::asio::io_context io;
    ClosingServer server(io, copy + response("200 OK", "r2", event), ClosingServer::Close::Fin);
    HttpClient client(io);
    HttpEngine engine(client, {.endpoint = server.endpoint()});
    EngineCall call;
    call.path = "/v1/completions";
    call.body = "{}";
    call.pin = {ModelId("m"), AdapterId(), VersionId("1")};
    call.request = RequestId("r2");
    int events = 0;
    std::optional<Outcome<EngineUsage>> result;
    EngineStreamHandlers handlers;
    handlers.onEvent = [&events](const EngineEvent &) { ++events; };
    handlers.onEnd = [&](Outcome<EngineUsage> outcome) { result = std::move(outcome); };
    const auto handle = engine.run(call, std::move(handlers));
    runUntil(io, [&] { return result.has_value(); });
    CHECK(succeeded(*result));
    CHECK(events == 1);
}

// Guards against a late copy of the refusal of another request without its id: a request that ran
// was reported as not run, and was run again at another engine.
TEST_CASE("HttpEngine believes no refusal that may belong to another request")
{
    const std::string body = R"({"error":{"code":"busy"}})";
    boost::asio::io_context io;
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    std::string requestId = "r2";
    const auto server = std::get<0>(capture([&] {
        return HttpServer::listen(
                io, options, [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
                    HttpResponse refusal = HttpResponse::json(503, body);
                    if (!requestId.empty())
                        refusal.headers.add("X-Request-Id", requestId);
                    reply->send(std::move(refusal));
                });
    }));
    HttpClient client(io);
    HttpEngine engine(client, {.endpoint = server->endpoint()});
    const auto run = [&] {
        EngineCall call;
        call.path = "/v1/completions";
        call.body = "{}";
        call.request = RequestId("r2");
        std::optional<Outcome<EngineUsage>> result;
        EngineStreamHandlers handlers;
        handlers.onEnd = [&](Outcome<EngineUsage> outcome) { result = std::move(outcome); };
        const auto handle = engine.run(call, std::move(handlers));
        runUntil(io, [&] { return result.has_value(); });
        return std::get<Error>(*result).code;
    };

    SECTION("one that states the id of the request is its own")
    {
        CHECK(run() == ResultCode::EngineBusy);
        CHECK(run() == ResultCode::EngineBusy);
    }
    SECTION("one without an id is its own on a connection without earlier requests only")
    {
        requestId.clear();
        CHECK(run() == ResultCode::EngineBusy);
        CHECK(mayHaveTakenEffect(run()));
    }
}
