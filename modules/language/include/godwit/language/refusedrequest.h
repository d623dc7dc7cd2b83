#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/language/reportederror.h>

#include <cstdint>
#include <string>

namespace godwit {

/// Record of a request that was refused or failed. Entry processes keep the most recent records.
struct RefusedRequest
{
    RequestId request;
    HostId entry; ///< Host of the entry process that refused it.
    CustomerId customer;
    DeploymentId deployment;
    ModelId model;
    std::int64_t when = 0; ///< Wall clock, milliseconds since 1970.
    ReportedError reason;
    std::string runState; ///< As in the error body: not_run, ran or unknown.

    friend bool operator==(const RefusedRequest &, const RefusedRequest &) = default;
};

template <>
struct JsonFields<RefusedRequest>
{
    static constexpr auto table = std::tuple{field("request", &RefusedRequest::request),
                                             field("entry", &RefusedRequest::entry),
                                             field("customer", &RefusedRequest::customer),
                                             field("deployment", &RefusedRequest::deployment),
                                             field("model", &RefusedRequest::model),
                                             field("when", &RefusedRequest::when),
                                             field("reason", &RefusedRequest::reason),
                                             field("run_state", &RefusedRequest::runState)};
};

} // namespace godwit
