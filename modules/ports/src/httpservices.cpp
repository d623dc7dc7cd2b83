#include "servicecall.h"

#include <godwit/ports/httphostlist.h>
#include <godwit/ports/httporigin.h>
#include <godwit/ports/httpplainservice.h>
#include <godwit/ports/httprequest.h>
#include <godwit/ports/httpweightstore.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr std::uint64_t HostListLimit = 16UL * 1024 * 1024;
constexpr std::uint64_t ManifestLimit = 16UL * 1024 * 1024;
/// Minimum body limit of a range read: an error reply may be larger than the requested range.
constexpr std::uint64_t ErrorBodyLimit = 64UL * 1024;

} // namespace

HttpHostList::HttpHostList(HttpClient &client, ServiceOptions options)
    : m_client(client)
    , m_options(std::move(options))
{}

void HttpHostList::fetch(Completion<HostList> done)
{
    HttpCall call = makeServiceCall(m_options, "GET", "/hosts");
    call.bodyLimit = HostListLimit;
    call.retryable = true;
    callJson<HostList>(m_client, std::move(call), std::move(done));
}

std::string toString(const ModelPin &pin)
{
    return pin.model.value() + '/' + (pin.adapter.empty() ? "base" : pin.adapter.value()) + '/'
           + pin.version.value();
}

HttpWeightStore::HttpWeightStore(HttpClient &client, ServiceOptions options)
    : m_client(client)
    , m_options(std::move(options))
{}

std::shared_ptr<CallHandle> HttpWeightStore::fetchManifest(const ModelPin &pin,
                                                           Completion<std::string> done)
{
    const std::string adapter = pin.adapter.empty() ? "base" : pin.adapter.value();
    HttpCall call = makeServiceCall(m_options, "GET",
                                    "/manifests/" + percentEncode(pin.model.value()) + '/'
                                            + percentEncode(adapter) + '/'
                                            + percentEncode(pin.version.value()));
    call.bodyLimit = ManifestLimit;
    call.retryable = true;
    return callService<std::string>(m_client, std::move(call), std::move(done),
                                    [](HttpResponse &response) -> Outcome<std::string> {
                                        return std::move(response.body);
                                    });
}

HttpOrigin::HttpOrigin(HttpClient &client, ServiceOptions options)
    : m_client(client)
    , m_options(std::move(options))
{}

std::shared_ptr<CallHandle> HttpOrigin::readRange(std::string object, std::uint64_t offset,
                                                  std::uint64_t length,
                                                  Completion<std::string> done)
{
    HttpCall call = makeServiceCall(m_options, "GET", "/objects/" + percentEncode(object));
    call.headers.add("Range",
                     "bytes=" + std::to_string(offset) + '-'
                             + std::to_string(offset + std::max<std::uint64_t>(length, 1) - 1));
    call.bodyLimit = std::max(length, ErrorBodyLimit);
    call.retryable = true;
    return callService<std::string>(m_client, std::move(call), std::move(done),
                                    [length](HttpResponse &response) -> Outcome<std::string> {
                                        if (response.body.size() != length)
                                            return Error{
                                                    ResultCode::PlatformBadReply,
                                                    "expected a range of " + std::to_string(length)
                                                            + " bytes, received "
                                                            + std::to_string(response.body.size())};
                                        return std::move(response.body);
                                    });
}

HttpPlainService::HttpPlainService(HttpClient &client, ServiceOptions options)
    : m_client(client)
    , m_options(std::move(options))
{}

std::shared_ptr<CallHandle> HttpPlainService::forward(PlainCall plain,
                                                      Completion<HttpResponse> done)
{
    HttpCall call = makeServiceCall(m_options, std::move(plain.method), std::move(plain.target));
    call.headers = std::move(plain.headers);
    if (!plain.key.empty())
        call.headers.add("Idempotency-Key", plain.key.value());
    call.body = std::move(plain.body);
    call.idleTimeout = plain.timeout;
    return m_client.call(std::move(call), std::move(done));
}

} // namespace godwit
