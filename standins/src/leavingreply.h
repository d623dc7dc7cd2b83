#pragma once

#include <godwit/ports/httpreply.h>

#include <memory>
#include <utility>

namespace godwit::standin {

/// Reply of an engine that leaves: adds the header that states so to \a reply.
class LeavingReply : public HttpReply
{
public:
    explicit LeavingReply(std::shared_ptr<HttpReply> reply)
        : m_reply(std::move(reply))
    {}

    void send(HttpResponse response) override
    {
        addStatement(response.headers);
        m_reply->send(std::move(response));
    }
    void start(int status, HttpHeaders headers) override
    {
        addStatement(headers);
        m_reply->start(status, std::move(headers));
    }
    std::size_t write(std::string data) override { return m_reply->write(std::move(data)); }
    void finish() override { m_reply->finish(); }
    void abort() override { m_reply->abort(); }
    std::size_t queuedBytes() const override { return m_reply->queuedBytes(); }
    void onDrained(std::function<void()> callback) override
    {
        m_reply->onDrained(std::move(callback));
    }
    void onClosed(std::function<void()> callback) override
    {
        m_reply->onClosed(std::move(callback));
    }

private:
    static void addStatement(HttpHeaders &headers) { headers.add("Server-Leaving", "1"); }

    std::shared_ptr<HttpReply> m_reply;
};

} // namespace godwit::standin
