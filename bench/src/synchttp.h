#pragma once

#include <godwit/ports/httpclient.h>
#include <godwit/wire/iothread.h>

#include <memory>
#include <string>

namespace godwit {

/// Blocking HTTP calls for the bench. Thread safe.
class SyncHttp
{
public:
    SyncHttp()
        : m_client(std::make_unique<HttpClient>(m_thread.io()))
    {}
    ~SyncHttp();
    SyncHttp(const SyncHttp &) = delete;
    SyncHttp &operator=(const SyncHttp &) = delete;

    Outcome<HttpResponse> call(HttpCall call);

    /// Body of a 200 response, or an empty text.
    std::string get(const HttpEndpoint &endpoint, const std::string &target);

    /// True if the response has status 2xx.
    bool put(const HttpEndpoint &endpoint, const std::string &target, std::string body);

private:
    IoThread m_thread;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace godwit
