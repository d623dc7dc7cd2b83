#pragma once

#include <godwit/ports/httpclient.h>
#include <godwit/wire/iothread.h>

#include <memory>
#include <string>

namespace godwit {

/// Blocking HTTP client. Thread-safe.
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

    /// Returns the body if the status is 200, otherwise an empty string.
    std::string get(const HttpEndpoint &endpoint, const std::string &target);

    /// Returns whether the status is 2xx.
    bool put(const HttpEndpoint &endpoint, const std::string &target, std::string body);

private:
    IoThread m_thread;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace godwit
