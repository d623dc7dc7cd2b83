#include <godwit/standin/fleetwire.h>

#include <godwit/base/digest.h>
#include <godwit/base/random.h>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr int RouteTimeoutMs = 6000;

struct KindInfo
{
    FleetRequestKind kind;
    const char *route;
    const char *name;
    std::string_view service;
    int attempts;
};

constexpr KindInfo Kinds[] = {
        {FleetRequestKind::Stream, "draft", "streaming", ModelService, 3},
        {FleetRequestKind::Booking, "book", "unsafe", BookingService, 2},
        {FleetRequestKind::Lookup, "look", "safe", BookingService, 3},
        {FleetRequestKind::LiveStream, "live", "streaming", ModelService, 2},
};

const KindInfo &infoOf(FleetRequestKind kind)
{
    return Kinds[static_cast<std::size_t>(kind)];
}

json::object routeOf(const KindInfo &info, const std::string &path)
{
    return {{"name", path},
            {"host", "soak.example"},
            {"prefix", '/' + path + '/'},
            {"kind", info.name},
            {"timeout_ms", RouteTimeoutMs},
            {"slo_ms", 400},
            {"target_gap_ms", 300},
            {"priority", 3},
            {"service", info.service},
            {"attempts", info.attempts},
            {"resumable", info.kind == FleetRequestKind::Stream}};
}

std::uint64_t queryNumber(const HttpRequest &request, const char *name)
{
    const std::string text = request.query(name).value_or("0");
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

json::array services(const std::string &origin)
{
    const json::object engine{{"slots", 8},
                              {"kv_capacity", 1'000'000},
                              {"stride", 1},
                              {"step_ms", 6.7},
                              {"per_seq_ms", 0.2},
                              {"read_per_s", 30'000},
                              {"layers", FleetLayerCount},
                              {"models", {{{"name", FleetModel}}}}};
    return {json::object{{"name", ModelService},
                         {"max_conns", 200},
                         {"engine", engine},
                         {"origin", origin},
                         {"zone", "zone-0"},
                         {"link_mbps", 50}},
            json::object{{"name", BookingService}, {"max_conns", 200}}};
}

} // namespace

HttpCall makeFleetCall(const HttpEndpoint &entry, const FleetAttempt &attempt)
{
    const KindInfo &info = infoOf(attempt.kind);
    HttpCall call;
    call.endpoint = entry;
    call.method = attempt.kind == FleetRequestKind::Lookup ? "GET" : "POST";
    call.target = '/' + (attempt.route.empty() ? info.route : attempt.route) + "/x";
    call.host = "soak.example";
    call.headers = {{"X-Attempt-Id", attempt.id},
                    {"X-Deadline-Ms", std::to_string(attempt.deadlineMs)},
                    {"Authorization", "Token " + attempt.key}};
    if (isStream(attempt.kind)) {
        call.headers.add("X-Model", FleetModel);
        call.headers.add("X-Token-Usage", "400,72");
    }
    if (attempt.kind != FleetRequestKind::Lookup)
        call.body = "order of " + attempt.id;
    if (!call.body.empty())
        call.body.resize(std::max(call.body.size(), attempt.bodyBytes), '.');
    call.idleTimeout = std::chrono::milliseconds(attempt.deadlineMs);
    return call;
}

std::string attemptIdOf(const HttpRequest &request)
{
    return std::string(request.headers.value("X-Attempt-Id"));
}

bool isSealedReply(const HttpHeaders &headers, std::string_view body, const std::string &attempt)
{
    return headers.value("X-Attempt-Id") == attempt
           && headers.value("X-Server-Seal") == attempt + '.' + std::to_string(body.size())
           && body.starts_with("answer to " + attempt + ' ');
}

std::string streamEvent(const std::string &attempt, std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attempt + ' ' + std::to_string(number)
           + "\n\n";
}

std::string configurationJson(const FleetConfiguration &configuration)
{
    json::array routes;
    for (const KindInfo &it : Kinds)
        routes.push_back(routeOf(it, it.route));
    for (const std::string &it : configuration.addedRoutes)
        routes.push_back(routeOf(infoOf(FleetRequestKind::Lookup), it));
    json::array customers;
    for (const FleetCustomer &it : configuration.customers)
        customers.push_back(
                json::object{{"name", it.name}, {"api_keys", json::value_from(it.keys)}});
    return json::serialize(json::object{{"version", configuration.version},
                                        {"routes", routes},
                                        {"services", services(configuration.origin)},
                                        {"limits", json::object{{"max_header_bytes", 16'384},
                                                                {"max_body_bytes", 1'000'000},
                                                                {"header_timeout_ms", 3000},
                                                                {"idle_timeout_ms", 10'000}}},
                                        {"tenants", customers}});
}

std::string versionJson(std::uint64_t version)
{
    return json::serialize(json::object{{"model", FleetModel}, {"version", version}});
}

std::string pieceBytes(std::uint64_t version, std::uint32_t number)
{
    Random random(version * FleetPieceCount + number);
    std::string bytes(FleetPieceSize, '\0');
    for (char &it : bytes)
        it = static_cast<char>(random());
    return bytes;
}

HttpResponse originResponse(const HttpRequest &request, std::uint64_t oldestVersion)
{
    const std::uint64_t version = queryNumber(request, "version");
    if (version < oldestVersion)
        return {410, {}, {}};
    if (request.path().starts_with("/godwitrun/piece/"))
        return {200,
                {},
                pieceBytes(version, static_cast<std::uint32_t>(queryNumber(request, "num")))};
    if (!request.path().starts_with("/godwitrun/manifest/"))
        return {404, {}, {}};
    json::array hashes;
    for (std::uint32_t piece = 0; piece < FleetPieceCount; ++piece)
        hashes.emplace_back(Digest::of(pieceBytes(version, piece)).toHex());
    return HttpResponse::json(200, json::serialize(json::object{{"model", FleetModel},
                                                                {"version", version},
                                                                {"chunk_bytes", FleetPieceSize},
                                                                {"layers", FleetLayerCount},
                                                                {"hashes", hashes}}));
}

} // namespace godwit::standin
