#pragma once

#include <godwit/ports/httpclient.h>
#include <godwit/ports/plainserviceport.h>
#include <godwit/ports/serviceoptions.h>

namespace godwit {

/// Forwards calls to a plain service over HTTP/1.1. Thread-safe; \a client must outlive the
/// adapter.
class HttpPlainService : public PlainServicePort
{
public:
    HttpPlainService(HttpClient &client, ServiceOptions options);

    std::shared_ptr<CallHandle> forward(PlainCall call, Completion<HttpResponse> done) override;

private:
    HttpClient &m_client;
    ServiceOptions m_options;
};

} // namespace godwit
