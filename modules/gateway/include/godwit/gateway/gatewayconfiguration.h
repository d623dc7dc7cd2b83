#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/gateway/route.h>
#include <godwit/ports/httpendpoint.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Performance model of an engine.
struct EngineProfile
{
    std::uint32_t slots = 1;         ///< Maximum number of concurrent requests.
    std::uint64_t kvCacheTokens = 0; ///< Capacity in tokens, shared by all running requests.
    std::uint32_t tokensPerPass = 1; ///< Tokens that one pass generates per request.
    Duration stepTime{0};            ///< Time of one token step on an otherwise idle engine.
    Duration stepTimePerRequest{0};  ///< Added to stepTime for each running request.
    double prefillTokensPerSecond = 0;
    std::uint32_t layers = 1;    ///< Of the model.
    std::vector<ModelId> models; ///< Served by the engines of the service.

    friend bool operator==(const EngineProfile &, const EngineProfile &) = default;
};

/// Origin server of the weights of the models of a service.
struct WeightOrigin
{
    HttpEndpoint endpoint;
    ZoneId zone;
    double bytesPerSecond = 0;
    std::uint32_t maxConnections = 1; ///< Of all its clients together.

    friend bool operator==(const WeightOrigin &, const WeightOrigin &) = default;
};

/// A group of interchangeable backend servers.
struct ServiceDescription
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< Of one backend server; 0 if unknown.
    std::optional<EngineProfile> engine;
    std::optional<WeightOrigin> origin;
    Duration coldPeriod{0}; ///< For which a backend server is cold after its start.
    /// Requests per second that a cold backend server tolerates; 0 means that it has no limit.
    double warmupPerSecond = 0;

    friend bool operator==(const ServiceDescription &, const ServiceDescription &) = default;
};

/// API keys, priority and regions of a customer.
struct CustomerAccess
{
    CustomerId customer;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
    /// As for a Route. If both name regions, a request must stay in those that both name.
    std::vector<RegionId> allowedRegions = {};

    friend bool operator==(const CustomerAccess &, const CustomerAccess &) = default;
};

/// Limits on the requests and connections of clients; 0 means unlimited.
struct CallerLimits
{
    std::uint32_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    Duration headerTimeout{0}; ///< For receiving the headers of one request.
    Duration idleTimeout{0};   ///< Between two requests.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// Configuration set by the operator. Each version is complete.
struct GatewayConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceDescription> services;
    std::vector<CustomerAccess> customers;
    CallerLimits limits;

    friend bool operator==(const GatewayConfiguration &, const GatewayConfiguration &) = default;
};

} // namespace godwit
