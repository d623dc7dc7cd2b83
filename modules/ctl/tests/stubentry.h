#pragma once

#include <godwit/language/operatorreply.h>
#include <godwit/language/operatorrequest.h>
#include <godwit/ports/httpserver.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace godwit {

/// Entry process with scripted replies: one handler per request; the last handler is repeated.
class StubEntry
{
public:
    /// A null handler closes the connection without a reply.
    using Handler = std::function<HttpResponse(const OperatorRequest &)>;

    explicit StubEntry(std::vector<Handler> script)
        : m_script(std::move(script))
    {
        auto outcome = capture([&] {
            return HttpServer::listen(m_io, {},
                                      [this](const HttpRequest &request, const auto &reply) {
                                          handle(request, *reply);
                                      });
        });
        REQUIRE(succeeded(outcome));
        m_server = std::move(std::get<0>(outcome));
        m_address = toString(m_server->endpoint());
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~StubEntry()
    {
        m_io.stop();
        m_thread.join();
        m_server.reset();
    }

    const std::string &address() const { return m_address; }

    std::vector<OperatorRequest> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    void handle(const HttpRequest &request, HttpReply &reply)
    {
        auto parsed = capture([&] { return parseOperatorRequest(request.body); });
        if (!succeeded(parsed) || request.target != "/v1/commands" || request.method != "POST") {
            reply.send({400, {}, "unexpected request"});
            return;
        }
        const std::lock_guard lock(m_mutex);
        const Handler &handler = m_script[std::min(m_requests.size(), m_script.size() - 1)];
        m_requests.push_back(std::get<0>(parsed));
        if (handler)
            reply.send(handler(m_requests.back()));
        else
            reply.abort();
    }

    boost::asio::io_context m_io;
    mutable std::mutex m_mutex;
    std::vector<Handler> m_script;
    std::vector<OperatorRequest> m_requests;
    std::unique_ptr<HttpServer> m_server;
    std::string m_address;
    std::thread m_thread;
};

} // namespace godwit
