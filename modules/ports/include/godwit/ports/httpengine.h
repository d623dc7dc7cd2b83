#pragma once

#include <godwit/ports/engineport.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/serviceoptions.h>

namespace godwit {

/// Engine with the OpenAI completions API (SSE) and a JSON admin API. Thread-safe; \a client must
/// outlive the adapter.
///
/// Completion requests carry the pin and the request in the headers X-Model, X-Adapter,
/// X-Model-Version, X-Request-Id, X-Attempt, X-Priority and X-Resume-Position. Each event carries
/// its origin in the members "model" and "origin" {engine, adapter, version, request, position}.
///
/// | call | request |
/// | --- | --- |
/// | order | POST /admin/orders |
/// | putWeights | PUT /admin/loads/LOAD?offset=N |
/// | finishLoad, abandonLoad | POST /admin/loads/LOAD/finish, DELETE /admin/loads/LOAD |
/// | readState, readLoad | GET /admin/state, GET /admin/load |
/// | readCacheEvents | GET /admin/cache/events?from=N |
/// | exportCache, importCache | GET /admin/cache/blocks/BLOCK, PUT /admin/cache/blocks |
class HttpEngine : public EnginePort
{
public:
    HttpEngine(HttpClient &client, ServiceOptions options);

    std::shared_ptr<CallHandle> run(EngineCall call, EngineStreamHandlers handlers) override;
    void order(const EngineOrder &order, Completion<std::string> done) override;
    std::shared_ptr<CallHandle> putWeights(std::string load, std::uint64_t offset,
                                           std::string bytes,
                                           Completion<std::uint64_t> done) override;
    void finishLoad(std::string load, Completion<EngineState> done) override;
    void abandonLoad(std::string load, Completion<Done> done) override;
    void readState(Completion<EngineState> done) override;
    void readLoad(Completion<EngineLoad> done) override;
    void readCacheEvents(std::uint64_t from, Completion<CacheEvents> done) override;
    std::shared_ptr<CallHandle> exportCache(const ModelPin &pin, std::string block,
                                            Completion<std::string> done) override;
    std::shared_ptr<CallHandle> importCache(std::string bytes, Completion<Done> done) override;

private:
    HttpClient &m_client;
    ServiceOptions m_options;
};

} // namespace godwit
