#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/ids.h>
#include <godwit/base/result.h>
#include <godwit/base/time.h>
#include <godwit/ports/httprequest.h>
#include <godwit/requests/admissionqueue.h>

#include <string>

namespace godwit {

/// A request of a caller that has passed all checks that do not depend on the configuration.
struct CallerRequest
{
    RequestId id;
    DeploymentId deployment;
    ModelId model;     ///< Empty for a plain service.
    AdapterId adapter; ///< Empty for the base model.
    CustomerId customer;
    PriorityClass priority = PriorityClass::Interactive;
    bool hasPriority = false; ///< If not, the customer configuration decides.
    Duration deadline{0};     ///< From arrival.
    IdempotencyKey key;       ///< Empty if the caller gave none.
    bool isPlain = false;
    bool isStreamed = false;
    std::string method;
    std::string target; ///< Path and query for the backend server.
    std::string contentType;
    std::string traceparent;
    std::string body;
    Digest content;     ///< Of deployment, target and body.
    std::string prompt; ///< Text that the prefix cache blocks of engines refer to.
    std::uint32_t maxTokens = 0;

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/// Parses a request of the caller API:
///
/// - `POST /v1/chat/completions` and `POST /v1/completions`; the member "model" of the body is
///   `DEPLOYMENT/MODEL` or `DEPLOYMENT/MODEL/ADAPTER`.
/// - any method on `/v1/services/DEPLOYMENT/PATH`, forwarded to a plain service.
///
/// Header fields: `Idempotency-Key`, `X-Customer` (or a bearer token that names the customer),
/// `X-Priority` (interactive, booking or draft), `X-Deadline-Ms`, `traceparent`.
///
/// Fails with CallerRequestInvalid, CustomerInvalid, DeadlineInvalid or IdempotencyKeyInvalid.
Result<CallerRequest> parseCallerRequest(HttpRequest request, RequestId id,
                                         Duration defaultDeadline);

} // namespace godwit
