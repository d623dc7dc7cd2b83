#pragma once

#include <godwit/ports/hostlistport.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/serviceoptions.h>

namespace godwit {

/// Reads the host list with GET /hosts as JSON. Thread-safe; \a client must outlive the adapter.
class HttpHostList : public HostListPort
{
public:
    HttpHostList(HttpClient &client, ServiceOptions options);

    void fetch(Completion<HostList> done) override;

private:
    HttpClient &m_client;
    ServiceOptions m_options;
};

} // namespace godwit
