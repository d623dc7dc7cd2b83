#include "gatewayfixture.h"
#include "loopback.h"

#include <godwit/ports/httpclient.h>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>

using namespace godwit;
using namespace godwit::test;

namespace {

using tcp = boost::asio::ip::tcp;

std::string response(const std::string &statusLine, const std::string &headers,
                     const std::string &body = "")
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string rejection(const std::string &statusLine, const std::string &id)
{
    return response(statusLine, "not-run: 1\r\nServer: desk\r\necho: " + id + "\r\n");
}

std::string answer(const std::string &id)
{
    return response("200 OK", "Server: desk\r\nseal: s\r\necho: " + id + "\r\n", "mine");
}

/// Server that keeps its connections open and lets a function choose the response to each request,
/// given the request and the bytes that were sent on its connection before.
class KeptConnectionServer
{
public:
    using Respond = std::function<std::string(const std::string &request, const std::string &sent)>;

    KeptConnectionServer(boost::asio::io_context &io, Respond respond)
        : m_io(io)
        , m_acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_respond(std::move(respond))
    {
        accept();
    }

    HttpEndpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    struct Connection
    {
        explicit Connection(boost::asio::io_context &io)
            : socket(io)
        {}

        tcp::socket socket;
        std::array<char, 4096> request{};
        std::string sent;
    };

    void accept()
    {
        const auto connection = std::make_shared<Connection>(m_io);
        m_acceptor.async_accept(connection->socket, [this, connection](const auto &ec) {
            if (ec)
                return;
            read(connection);
            accept();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(
                boost::asio::buffer(connection->request),
                [this, connection](const auto &ec, std::size_t n) {
                    if (ec)
                        return;
                    const std::string bytes =
                            m_respond(std::string(connection->request.data(), n), connection->sent);
                    connection->sent += bytes;
                    boost::system::error_code unused;
                    boost::asio::write(connection->socket, boost::asio::buffer(bytes), unused);
                    read(connection);
                });
    }

    boost::asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    Respond m_respond;
};

/// A gateway that sends its requests with an HttpClient.
struct ConnectedGateway
{
    boost::asio::io_context io;
    HttpClient client{io};
    VirtualScheduler scheduler;
    TestProtocol protocol;
    MetricsRegistry registry;
    GatewayMetrics metrics{registry};
    Gateway gateway{Fixture::options(),
                    {scheduler, protocol, metrics,
                     [this](HttpCall call, HttpStreamHandlers handlers) {
                         return client.stream(std::move(call), std::move(handlers));
                     }},
                    Random(5)};

    ConnectedGateway()
    {
        protocol.identifiesRequests = true;
        gateway.setConfiguration(std::make_shared<const RouteTable>(Fixture::configuration(1)));
        gateway.onConfigurationConfirmed(scheduler.now());
    }

    void addBackend(const std::string &id, const HttpEndpoint &endpoint)
    {
        gateway.backends().update({BackendId(id), "desk", endpoint, {}, 6, false, 1, {}, {}},
                                  scheduler.now());
    }

    std::shared_ptr<ClientView> book(const std::string &id)
    {
        auto view = std::make_shared<ClientView>();
        HttpRequest request;
        request.method = "POST";
        request.target = "/book/x";
        request.headers = {{"id", id}, {"Host", "h"}, {"key", "k"}, {"patience", "300"}};
        gateway.handle(std::move(request), view);
        return view;
    }

    void waitFor(const ClientView &view)
    {
        runUntil(io, [&] { return view.finished || view.aborted; });
    }
};

} // namespace

// Guards against a booking that runs twice: a server that has restarted at its address under a new
// id rejects it under the old one, and a copy of that rejection arrives after it was sent again to
// the new one.
TEST_CASE("Gateway takes no copy of a rejection for the response to a later attempt at its address")
{
    const std::string statusLine = GENERATE("421 Other", "503 Busy");
    ConnectedGateway it;
    int runs = 0;
    const KeptConnectionServer server(it.io,
                                      [&](const std::string &request, const std::string &sent) {
                                          if (request.find("backend: old") != std::string::npos)
                                              return rejection(statusLine, "r1");
                                          ++runs;
                                          return sent + answer("r1");
                                      });
    const KeptConnectionServer other(it.io, [&](const std::string &, const std::string &) {
        ++runs;
        return answer("r1");
    });
    it.addBackend("old", server.endpoint());
    const auto view = it.book("r1");
    it.addBackend("new", server.endpoint());

    SECTION("while another server could run it")
    {
        runUntil(it.io, [&] { return runs > 0; });
        it.addBackend("other", other.endpoint());
        it.waitFor(*view);
        CHECK(runs == 1);
        CHECK(view->status == 200);
    }
    // The status would promise the client that the request has not run.
    SECTION("while no other server could")
    {
        it.waitFor(*view);
        CHECK(runs == 1);
        CHECK(view->status == 200);
    }
}

// Guards against a booking that runs twice: the beginning of a copy of another rejection and the
// response that follows it on the connection read as one rejection that states its id.
TEST_CASE("Gateway takes no response that runs together with a part of another one for a rejection")
{
    const std::string copy =
            rejection(GENERATE("421 Other", "503 Busy", "429 Too Many Requests"), "r0");
    const std::size_t headSize = copy.find("Content-Length");
    for (std::size_t n = 1; n < headSize; ++n) {
        CAPTURE(copy.substr(0, n));
        ConnectedGateway it;
        int runs = 0;
        const KeptConnectionServer server(it.io, [&](const std::string &, const std::string &sent) {
            if (sent.empty())
                return answer("r0");
            ++runs;
            return copy.substr(0, n) + answer("r1");
        });
        const KeptConnectionServer other(it.io, [&](const std::string &, const std::string &) {
            ++runs;
            return answer("r1");
        });
        it.addBackend("first", server.endpoint());
        it.waitFor(*it.book("r0"));
        const auto view = it.book("r1");
        it.addBackend("other", other.endpoint());
        it.waitFor(*view);
        CHECK(runs == 1);
        CHECK((view->status == 502 || view->status == 504));
    }
}
