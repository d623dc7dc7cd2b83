#pragma once

#include <godwit/ports/httpcall.h>
#include <godwit/ports/httprequest.h>
#include <godwit/ports/httpresponse.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Messages of the clients, the backend servers and the operator of the external platform, as far
/// as the stand-ins need them.
namespace godwit::standin {

/// Kinds of requests served by the simulated fleet.
enum class FleetRequestKind {
    Stream,     ///< Streamed model response; can be resumed on another engine.
    Booking,    ///< Must not be executed twice.
    Lookup,     ///< Idempotent; can be retried.
    LiveStream, ///< Streamed model response that must not be executed twice, nor resumed.
};

constexpr bool isStream(FleetRequestKind kind)
{
    return kind == FleetRequestKind::Stream || kind == FleetRequestKind::LiveStream;
}

constexpr bool runsAtMostOnce(FleetRequestKind kind)
{
    return kind == FleetRequestKind::Booking || kind == FleetRequestKind::LiveStream;
}

/// One attempt of a client to run a request.
struct FleetAttempt
{
    std::string id;
    FleetRequestKind kind = FleetRequestKind::Lookup;
    std::string key;
    std::uint64_t deadlineMs = 0;
    std::string route;         ///< First path segment; empty for the default of the kind.
    std::size_t bodyBytes = 0; ///< At least; for kinds that have a body.
};

constexpr std::uint64_t FleetStreamEventCount = 12;

HttpCall makeFleetCall(const HttpEndpoint &entry, const FleetAttempt &attempt);

/// Returns the id of the attempt that a forwarded request belongs to.
std::string attemptIdOf(const HttpRequest &request);

/// Returns whether \a headers and \a body are a complete reply of one backend server to \a attempt.
bool isSealedReply(const HttpHeaders &headers, std::string_view body, const std::string &attempt);

/// Returns event \a number of the stream for \a attempt in server-sent event format.
std::string streamEvent(const std::string &attempt, std::uint64_t number);

/// A customer with its API keys.
struct FleetCustomer
{
    std::string name;
    std::vector<std::string> keys;
};

/// Configuration written by the operator.
struct FleetConfiguration
{
    std::uint64_t version = 1;
    std::string origin;                ///< Address of the weight origin.
    std::set<std::string> addedRoutes; ///< First path segments of additional Lookup routes.
    std::vector<FleetCustomer> customers;
};

std::string configurationJson(const FleetConfiguration &configuration);

std::string versionJson(std::uint64_t version);

/// Identifies the request that a response belongs to.
constexpr std::string_view AttemptIdHeader = "X-Attempt-Id";
constexpr std::string_view FleetModel = "soak-model";
constexpr std::string_view ModelService = "models";
constexpr std::string_view BookingService = "bookings";
constexpr const char *ConfigurationKey = "op/config";
constexpr const char *ServerPrefix = "servers/";
constexpr const char *VersionKey = "op/version/soak-model";

constexpr std::uint32_t FleetPieceCount = 24;
constexpr std::uint32_t FleetPieceSize = 8192;
/// Does not divide FleetPieceCount, so that neighbouring layers share a piece.
constexpr std::uint32_t FleetLayerCount = 5;

/// Returns the content of piece \a number of weight version \a version.
std::string pieceBytes(std::uint64_t version, std::uint32_t number);

/// Returns the response of the weight origin to \a request. It provides no version older than
/// \a oldestVersion.
HttpResponse originResponse(const HttpRequest &request, std::uint64_t oldestVersion = 0);

} // namespace godwit::standin
