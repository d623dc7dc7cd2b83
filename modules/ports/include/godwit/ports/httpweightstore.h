#pragma once

#include <godwit/ports/httpclient.h>
#include <godwit/ports/serviceoptions.h>
#include <godwit/ports/weightstoreport.h>

namespace godwit {

/// Reads manifests with GET /manifests/MODEL/ADAPTER/VERSION, with ADAPTER "base" for a base model.
/// Thread-safe; \a client must outlive the adapter.
class HttpWeightStore : public WeightStorePort
{
public:
    HttpWeightStore(HttpClient &client, ServiceOptions options);

    std::shared_ptr<CallHandle> fetchManifest(const ModelPin &pin,
                                              Completion<std::string> done) override;

private:
    HttpClient &m_client;
    ServiceOptions m_options;
};

} // namespace godwit
