#pragma once

// A small blocking HTTP/1.1 server and client for the stand-ins of the review. One thread serves
// one connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// A request or a response. Header names are in lower case.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< The body has arrived as a whole.

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }
    bool hasHeader(const std::string &name) const
    {
        return std::any_of(headers.begin(), headers.end(),
                           [&](const auto &it) { return it.first == name; });
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    std::string path() const
    {
        const std::string t = target();
        return t.substr(0, t.find('?'));
    }
    std::string query(const std::string &name) const
    {
        const std::string t = target();
        auto at = t.find('?');
        while (at != std::string::npos) {
            const auto end = t.find('&', at + 1);
            const std::string field = t.substr(at + 1, end - at - 1);
            if (field.compare(0, name.size() + 1, name + '=') == 0)
                return decode(field.substr(name.size() + 1));
            at = end;
        }
        return {};
    }
    int status() const
    {
        const auto at = startLine.find(' ');
        return at == std::string::npos ? 0 : std::atoi(startLine.c_str() + at + 1);
    }

    static std::string decode(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
};

/// A connected socket with a read buffer.
class Socket
{
public:
    explicit Socket(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Socket() { close(); }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Whether the peer has closed the connection.
    bool isClosedByPeer()
    {
        char byte = 0;
        const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads more bytes into the buffer. Returns false at the end, on an error or a time-out.
    bool fill(int timeoutMs)
    {
        pollfd poller{m_fd, POLLIN, 0};
        if (::poll(&poller, 1, timeoutMs) <= 0)
            return false;
        char bytes[65536];
        const auto n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    /// Reads one message; none if the connection ended before its head was complete.
    std::optional<Message> read(int timeoutMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeoutMs))
                return std::nullopt;
        }
        Message message;
        std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.startLine = head.substr(0, at);
        for (at += 2; at < head.size();) {
            const auto lineEnd = head.find("\r\n", at);
            const std::string line = head.substr(at, lineEnd - at);
            const auto colon = line.find(':');
            auto from = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(lowerCase(line.substr(0, colon)),
                                         from == std::string::npos ? "" : line.substr(from));
            at = lineEnd + 2;
        }
        if (message.hasHeader("content-length")) {
            const auto length =
                    static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
            while (m_buffer.size() < length && fill(timeoutMs)) {
            }
            message.complete = m_buffer.size() >= length;
            message.body = m_buffer.substr(0, length);
            m_buffer.erase(0, length);
        } else if (message.header("transfer-encoding") == "chunked") {
            message.complete = readChunks(message.body, timeoutMs);
        } else {
            message.complete = true;
        }
        return message;
    }

private:
    bool readChunks(std::string &body, int timeoutMs)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(timeoutMs))
                    return false;
            }
            const auto length = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + length + 2) {
                if (!fill(timeoutMs)) {
                    body += m_buffer.substr(end + 2, length);
                    return false;
                }
            }
            body += m_buffer.substr(end + 2, length);
            m_buffer.erase(0, end + 2 + length + 2);
            if (length == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_buffer;
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Serves each connection on a thread of its own until the process ends.
class Server
{
public:
    /// Answers one request on the socket. Returns whether the connection stays open.
    using Handler = std::function<bool(const Message &, Socket &)>;

    Server(const Address &listen, Handler handler)
        : m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = toSockaddr(listen);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_fd, 256) != 0)
            throw std::runtime_error("cannot listen on " + listen.text());
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = {listen.ip, ntohs(address.sin_port)};
        std::thread([this] { accept(); }).detach();
    }

    const Address &address() const { return m_address; }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            std::thread([this, fd] {
                Socket socket(fd);
                while (const auto request = socket.read(600'000)) {
                    if (!request->complete || !m_handler(*request, socket))
                        return;
                }
            }).detach();
        }
    }

    Handler m_handler;
    int m_fd = -1;
    Address m_address;
};

inline std::string formatResponse(int status,
                                  std::vector<std::pair<std::string, std::string>> headers,
                                  const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Opens a connection; null if it is refused or takes longer than \a timeoutMs.
inline std::unique_ptr<Socket> connectTo(const Address &address, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{timeoutMs / 1000, timeoutMs % 1000 * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in peer = toSockaddr(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Socket>(fd);
}

} // namespace review
