#pragma once

#include <godwit/base/ids.h>
#include <godwit/gateway/route.h>
#include <godwit/ports/httpendpoint.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// How an engine processes its requests.
struct EngineProfile
{
    std::uint32_t slots = 1;           ///< Requests that run at once.
    std::uint64_t kvCacheTokens = 0;   ///< Tokens of all running requests together.
    std::uint32_t tokensPerPass = 1;   ///< Tokens of a request that one pass produces.
    Duration stepTime{0};              ///< Time of one token step of an otherwise idle engine.
    Duration stepTimePerRequest{0};    ///< Added for each request that runs.
    double prefillTokensPerSecond = 0; ///< Rate at which prompts are read.
    std::uint32_t layers = 1;          ///< Of the model.
    std::vector<ModelId> models;       ///< That the engines of the service serve.

    friend bool operator==(const EngineProfile &, const EngineProfile &) = default;
};

/// Where the weights of a service's models come from.
struct WeightOrigin
{
    HttpEndpoint endpoint;
    ZoneId zone;
    double bytesPerSecond = 0;
    std::uint32_t connections = 1; ///< That it accepts from all callers together.

    friend bool operator==(const WeightOrigin &, const WeightOrigin &) = default;
};

/// Backend servers of one kind.
struct ServiceDescription
{
    std::string name;
    std::uint32_t connections = 0; ///< That one backend server accepts; 0 if not known.
    std::optional<EngineProfile> engine;
    std::optional<WeightOrigin> origin;

    friend bool operator==(const ServiceDescription &, const ServiceDescription &) = default;
};

/// An owner of requests with its keys.
struct CustomerAccess
{
    CustomerId customer;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Takes precedence over that of the route.

    friend bool operator==(const CustomerAccess &, const CustomerAccess &) = default;
};

/// What clients may send, and how long they may take. 0 stands for "not limited".
struct CallerLimits
{
    std::uint32_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    Duration headerTimeout{0}; ///< For the headers of one request.
    Duration idleTimeout{0};   ///< Between two requests.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// What the operator has configured. A version holds the whole configuration.
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
