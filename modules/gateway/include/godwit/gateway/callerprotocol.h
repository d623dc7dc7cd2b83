#pragma once

#include <godwit/base/result.h>
#include <godwit/gateway/backendload.h>
#include <godwit/gateway/clientrequest.h>
#include <godwit/ports/httpcall.h>
#include <godwit/ports/httpendpoint.h>
#include <godwit/ports/httprequest.h>

#include <optional>

namespace godwit {

/// What the gateway decides about one attempt at a backend server.
struct AttemptParameters
{
    HttpEndpoint endpoint;
    BackendId backend; ///< Another process at the endpoint must not run the request.
    Duration remainingTime{0};
    CustomerId customer;                    ///< Empty on routes without keys.
    std::optional<std::uint32_t> priority;  ///< 0 is the most urgent.
    std::optional<std::string> lastEventId; ///< Event after which a stream goes on.
    /// Of the weights with which the stream began; a backend server with others must not run it.
    std::optional<std::uint64_t> weightsVersion;

    friend bool operator==(const AttemptParameters &, const AttemptParameters &) = default;
};

/// Status and headers of a backend server's response.
struct BackendResponseHead
{
    int status = 0;
    bool sealed = false;       ///< It bears the signature of a backend server.
    bool notExecuted = false;  ///< The backend server states that it did not run the request.
    bool otherProcess = false; ///< Not run, because another process has the address.
    bool isEventStream = false;
    bool isEncoded = false; ///< The body is not the one that the backend server wrote.
    std::optional<BackendLoad> load;
    std::optional<std::uint64_t> weightsVersion; ///< Of the model that answers.
    HttpHeaders headers;                         ///< That the client gets.

    friend bool operator==(const BackendResponseHead &, const BackendResponseHead &) = default;
};

/// Translates between the messages of clients and backend servers and the types of the gateway.
/// Decides nothing.
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
};

} // namespace godwit
