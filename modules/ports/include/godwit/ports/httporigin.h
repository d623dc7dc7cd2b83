#pragma once

#include <godwit/ports/httpclient.h>
#include <godwit/ports/originport.h>
#include <godwit/ports/serviceoptions.h>

namespace godwit {

/// Reads ranges of objects with GET /objects/NAME and a Range header. Thread-safe; \a client must
/// outlive the adapter.
class HttpOrigin : public OriginPort
{
public:
    HttpOrigin(HttpClient &client, ServiceOptions options);

    std::shared_ptr<CallHandle> readRange(std::string object, std::uint64_t offset,
                                          std::uint64_t length,
                                          Completion<std::string> done) override;

private:
    HttpClient &m_client;
    ServiceOptions m_options;
};

} // namespace godwit
