#pragma once

#include <godwit/ports/httpcall.h>
#include <godwit/ports/httprequest.h>
#include <godwit/ports/httpresponse.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// What clients, backend servers and the operator of the users' platform send, as far as the
/// stand-ins need it.
namespace godwit::standin {

/// Kinds of request that the stand-in fleet serves.
enum class FleetRequestKind {
    Stream, ///< Of a model; may go on at another engine.
    Book,   ///< Must not run twice.
    Look,   ///< May be repeated.
};

/// One attempt of a client.
struct FleetAttempt
{
    std::string id;
    FleetRequestKind kind = FleetRequestKind::Look;
    std::string key;
    std::uint64_t deadlineMs = 0;
    std::string route; ///< First part of the path; empty for the usual one of the kind.
};

constexpr std::uint64_t FleetStreamEvents = 12;

HttpCall fleetCall(const HttpEndpoint &entry, const FleetAttempt &attempt);

/// Attempt that a forwarded request belongs to.
std::string attemptOf(const HttpRequest &request);

/// Whether \a headers and \a body are the whole response of one backend server to \a attempt.
bool isSealedAnswer(const HttpHeaders &headers, std::string_view body, const std::string &attempt);

/// Text of event \a number of a stream.
std::string streamEvent(const std::string &attempt, std::uint64_t number);

/// A customer and the keys that it may use.
struct FleetCustomer
{
    std::string name;
    std::vector<std::string> keys;
};

/// What the operator configures.
struct FleetConfiguration
{
    std::uint64_t version = 1;
    std::string origin;                ///< Address of the origin of weights.
    std::set<std::string> addedRoutes; ///< First parts of paths of further routes to look up.
    std::vector<FleetCustomer> customers;
};

std::string configurationText(const FleetConfiguration &configuration);

std::string versionText(std::uint64_t version);

constexpr std::string_view FleetModel = "soak-model";
constexpr std::string_view ModelService = "models";
constexpr std::string_view BookingService = "bookings";
constexpr const char *ConfigurationKey = "op/config";
constexpr const char *VersionKey = "op/version/soak-model";

constexpr std::uint32_t FleetPieces = 24;
constexpr std::uint32_t FleetPieceBytes = 8192;

/// Bytes of piece \a number of \a version.
std::string pieceBytes(std::uint64_t version, std::uint32_t number);

/// Answer of the origin of weights to \a request.
HttpResponse originResponse(const HttpRequest &request);

} // namespace godwit::standin
