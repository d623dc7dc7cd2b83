#pragma once

#include <godwit/base/result.h>
#include <godwit/gateway/backendavailability.h>
#include <godwit/gateway/backendload.h>
#include <godwit/gateway/clientrequest.h>
#include <godwit/ports/httpcall.h>
#include <godwit/ports/httpendpoint.h>
#include <godwit/ports/httprequest.h>

#include <optional>

namespace godwit {

/// Parameters of one attempt at a backend server, chosen by the gateway.
struct AttemptParameters
{
    HttpEndpoint endpoint;
    BackendId backend; ///< Any other process at the endpoint must refuse the request.
    Duration remainingTime{0};
    CustomerId customer;                    ///< Empty on anonymous routes.
    std::optional<std::uint32_t> priority;  ///< 0 is the most urgent.
    std::optional<std::string> lastEventId; ///< Event after which the stream resumes.
    /// Version of the weights that produced the start of the stream; a backend server with another
    /// version must refuse the request.
    std::optional<std::uint64_t> weightsVersion;

    friend bool operator==(const AttemptParameters &, const AttemptParameters &) = default;
};

/// Status and headers of the response of a backend server.
struct BackendResponseHead
{
    int status = 0;
    bool sealed = false;      ///< Carries the signature of a backend server.
    bool notExecuted = false; ///< The backend server reports that it did not execute the request.
    /// The status tells clients that the request was not executed, whether or not the backend
    /// server reports it.
    bool impliesNotExecuted = false;
    bool otherProcess = false; ///< Not executed because another process listens at the address.
    bool isEventStream = false;
    /// Has a content coding, so the body is not the one that the backend server wrote.
    bool isEncoded = false;
    std::optional<BackendLoad> load;
    std::optional<Duration> coldFor;             ///< How much longer the backend server is cold.
    std::optional<std::uint64_t> weightsVersion; ///< Version that answers the request.
    HttpHeaders headers;                         ///< Those that are passed on to the client.

    friend bool operator==(const BackendResponseHead &, const BackendResponseHead &) = default;
};

/// Translates between the HTTP messages of clients and backend servers and the types of the
/// gateway. Contains no policy.
class CallerProtocol
{
public:
    CallerProtocol() = default;
    CallerProtocol(const CallerProtocol &) = delete;
    CallerProtocol &operator=(const CallerProtocol &) = delete;
    virtual ~CallerProtocol() = default;

    /// Fails with CallerRequestInvalid.
    virtual Result<ClientRequest> readRequest(HttpRequest request) const = 0;

    virtual HttpCall forward(const ClientRequest &request,
                             const AttemptParameters &terms) const = 0;

    virtual BackendResponseHead readResponse(int status, const HttpHeaders &headers) const = 0;

    /// Reads what any response of a backend server, also an interim one, states about itself.
    virtual BackendAvailability readAvailability(int status, const HttpHeaders &headers) const = 0;
};

} // namespace godwit
