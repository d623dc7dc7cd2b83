#include "loopback.h"

#include <godwit/ports/httpengine.h>

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
