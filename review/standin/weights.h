#pragma once

// A model engine, the origin of its weights and the configuration of their services.
#include "fleet.h"

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

constexpr int Pieces = 96;
constexpr std::size_t PieceBytes = 24576;
constexpr int Layers = 16;
/// Spoilt pieces that turned bad in this time before the engine took them are excused.
constexpr int ExcusedMs = 3000;
inline const std::string Model = "m-draft";

/// Two pieces of version 2 hold the same bytes if set.
inline std::atomic<bool> hasEqualPieces = false;

inline std::string pieceBytes(int version, int number)
{
    if (hasEqualPieces && version == 2 && number == 41)
        number = 40;
    std::uint64_t state = static_cast<std::uint64_t>(version * 1000 + number + 1);
    std::string bytes(PieceBytes, '\0');
    for (char &it : bytes) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        it = static_cast<char>(state >> 56);
    }
    return bytes;
}

inline json::array models(int version)
{
    if (version == 0)
        return {};
    return {json::object{{"name", Model}, {"version", version}, {"adapters", json::array()}}};
}

inline json::object layers(int version)
{
    return {{"from", 0}, {"to", version == 0 ? 0 : Layers}, {"version", version}};
}

class Engine
{
public:
    Engine(const std::string &ip, Record &record, std::string id)
        : m_record(record)
        , m_id(std::move(id))
        , m_server({ip, 0}, [this](const Message &request, Socket &socket) {
            return handle(request, socket);
        })
    {
        for (int i = 0; i < Pieces; ++i)
            m_staged[i] = pieceBytes(1, i);
    }

    const Address &address() const { return m_server.address(); }
    const std::string &id() const { return m_id; }

    std::string entry()
    {
        const std::lock_guard lock(m_mutex);
        return json::serialize(json::object{{"service", "draft-models"},
                                            {"address", address().text()},
                                            {"zone", "zwolle-hall"},
                                            {"version", "1"},
                                            {"slots", 16},
                                            {"state", "ready"},
                                            {"cold_ms", 0},
                                            {"seq", m_orders},
                                            {"born", m_born},
                                            {"phase", "both"},
                                            {"models", models(m_version)},
                                            {"layers", layers(m_version)}});
    }

    /// Number of pieces that the present check of version 2 has read.
    int checkReads()
    {
        const std::lock_guard lock(m_mutex);
        return m_checkReads;
    }

    void spoil(int piece)
    {
        const std::lock_guard lock(m_mutex);
        m_staged[piece][100] = static_cast<char>(m_staged[piece][100] ^ 1);
        m_spoiltAt[piece] = m_record.nowMs();
        m_record.write("engine: staged piece " + std::to_string(piece) + " turns bad");
    }

    int version()
    {
        const std::lock_guard lock(m_mutex);
        return m_version;
    }
    int badTokens()
    {
        const std::lock_guard lock(m_mutex);
        return m_badTokens;
    }
    int goodTokens()
    {
        const std::lock_guard lock(m_mutex);
        return m_goodTokens;
    }

private:
    bool handle(const Message &request, Socket &socket)
    {
        const std::string path = request.path();
        if (path == "/godwitrun/report")
            return socket.send(formatResponse(200, {}, report()));
        if (path == "/godwitrun/stage-put/" + Model)
            return put(request, socket);
        if (path == "/godwitrun/stage-get/" + Model)
            return get(request, socket);
        if (path == "/godwitrun/order")
            return order(request, socket);
        return serve(request, socket);
    }

    std::string report()
    {
        const std::lock_guard lock(m_mutex);
        return json::serialize(json::object{{"phase", "both"},
                                            {"models", models(m_version)},
                                            {"layers", layers(m_version)},
                                            {"busy", m_record.nowMs() < m_busyUntil},
                                            {"seq", m_orders},
                                            {"queued", 0},
                                            {"running", m_running},
                                            {"kv_used", 0},
                                            {"kv_total", 1640000},
                                            {"handles", 0},
                                            {"born", m_born}});
    }

    bool put(const Message &request, Socket &socket)
    {
        const std::lock_guard lock(m_mutex);
        const int piece = std::stoi(request.query("num"));
        m_staged[piece] = request.body;
        m_spoiltAt.erase(piece);
        m_checkReads = 0;
        return socket.send(formatResponse(200, {}, ""));
    }

    bool get(const Message &request, Socket &socket)
    {
        std::unique_lock lock(m_mutex);
        const std::string number = request.query("num");
        if (number.empty()) {
            json::array held;
            for (const auto &[piece, bytes] : m_staged)
                held.emplace_back(piece);
            return socket.send(
                    formatResponse(200, {}, json::serialize(json::object{{"held", held}})));
        }
        const auto it = m_staged.find(std::stoi(number));
        if (it == m_staged.end())
            return socket.send(formatResponse(404, {}, ""));
        const std::string bytes = it->second;
        // A check reads piece after piece; reads for other hosts come between.
        if (holdsVersion2() && (it->first == m_checkReads || it->first == 0))
            m_checkReads = it->first + 1;
        lock.unlock();
        sleepMs(6);
        return socket.send(formatResponse(200, {}, bytes));
    }

    bool holdsVersion2() const
    {
        return std::all_of(m_staged.begin(), m_staged.end(), [this](const auto &it) {
            return m_spoiltAt.count(it.first) || it.second == m_version2[it.first];
        });
    }

    bool order(const Message &request, Socket &socket)
    {
        const std::lock_guard lock(m_mutex);
        const auto body = json::parse(request.body);
        const int version = body.at("version").to_number<int>();
        if (body.at("expected").to_number<int>() != m_orders)
            return socket.send(formatResponse(409, {}, ""));
        ++m_orders;
        m_version = version;
        m_takenSpoilt.clear();
        m_busyUntil = m_record.nowMs() + 300;
        m_record.write("engine: accepts the order to load version " + std::to_string(version)
                       + " and takes the staged pieces");
        for (const auto &[piece, bytes] : m_staged) {
            if (bytes == pieceBytes(version, piece))
                continue;
            const auto spoilt = m_spoiltAt.find(piece);
            const int age = spoilt == m_spoiltAt.end() ? -1 : m_record.nowMs() - spoilt->second;
            m_record.write("engine: piece " + std::to_string(piece) + " is spoilt; it turned bad "
                           + std::to_string(age) + " ms before");
            if (age < 0 || age > ExcusedMs)
                m_takenSpoilt.insert(piece);
        }
        return socket.send(formatResponse(202, {}, ""));
    }

    bool serve(const Message &request, Socket &socket)
    {
        const std::string attempt = request.header("x-attempt-id");
        std::unique_lock lock(m_mutex);
        if (!request.header("x-expect-instance").empty()
            && request.header("x-expect-instance") != m_id)
            return socket.send(
                    formatResponse(421, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, ""));
        if (m_record.nowMs() < m_busyUntil)
            return socket.send(
                    formatResponse(503, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, ""));
        ++m_running;
        ++(m_takenSpoilt.empty() ? m_goodTokens : m_badTokens);
        if (!m_takenSpoilt.empty())
            m_record.write("BROKEN: engine makes tokens of " + attempt + " with version "
                           + std::to_string(m_version) + ", of which "
                           + std::to_string(m_takenSpoilt.size()) + " pieces are spoilt");
        const std::string version = std::to_string(m_version);
        lock.unlock();
        std::string body;
        for (int i = 1; i <= 5; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", event.size());
            body += std::string(size) + "\r\n" + event + "\r\n";
        }
        sleepMs(30);
        lock.lock();
        --m_running;
        lock.unlock();
        return socket.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: "
                           + attempt + "\r\nX-Server-Seal: s." + attempt
                           + "\r\nX-Weight-Versions: " + version
                           + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n");
    }

    Record &m_record;
    const std::string m_id;
    std::mutex m_mutex;
    std::map<int, std::string> m_staged;
    std::map<int, int> m_spoiltAt;
    std::set<int> m_takenSpoilt;
    std::vector<std::string> m_version2 = [] {
        std::vector<std::string> pieces;
        for (int i = 0; i < Pieces; ++i)
            pieces.push_back(pieceBytes(2, i));
        return pieces;
    }();
    std::uint64_t m_born = wallMs();
    int m_version = 1;
    int m_orders = 0;
    int m_busyUntil = 0;
    int m_running = 0;
    int m_checkReads = 0;
    int m_badTokens = 0;
    int m_goodTokens = 0;
    Server m_server;
};

inline std::string configuration(const Address &origin)
{
    const json::object engine{
            {"slots", 16},          {"kv_capacity", 1640000},
            {"stride", 6},          {"step_ms", 6.73},
            {"per_seq_ms", 0.0219}, {"read_per_s", 30600},
            {"layers", Layers},     {"models", json::array{json::object{{"name", Model}}}}};
    return json::serialize(json::object{
            {"version", 4},
            {"routes", json::array{json::object{{"name", "r-draft"},
                                                {"host", "draft.example"},
                                                {"prefix", "/draft/"},
                                                {"kind", "streaming"},
                                                {"timeout_ms", 6000},
                                                {"slo_ms", 400},
                                                {"target_gap_ms", 300},
                                                {"priority", 1},
                                                {"service", "draft-models"},
                                                {"attempts", 2},
                                                {"sticky", true},
                                                {"resumable", true}}}},
            {"services",
             json::array{
                     json::object{{"name", "draft-models"}, {"max_conns", 204}, {"engine", engine}},
                     json::object{{"name", "works-admin"},
                                  {"max_conns", 48},
                                  {"origin", origin.text()},
                                  {"zone", "zwolle-hall"},
                                  {"link_mbps", 7.3}}}},
            {"limits", json::object{{"max_header_bytes", 16384},
                                    {"max_body_bytes", 1000000},
                                    {"header_timeout_ms", 3000},
                                    {"idle_timeout_ms", 10000}}}});
}

/// The newest version that was named; the origin has it and the one before.
inline std::atomic<int> newestVersion = 1;

inline bool handleOrigin(const Message &request, Socket &socket)
{
    const int version = std::stoi("0" + request.query("version"));
    if (version <= newestVersion - 2)
        return socket.send(formatResponse(410, {}, ""));
    if (request.path() == "/godwitrun/piece/" + Model) {
        sleepMs(27); // 7.3 Mbit/s
        return socket.send(
                formatResponse(200, {}, pieceBytes(version, std::stoi(request.query("num")))));
    }
    json::array hashes;
    for (int i = 0; i < Pieces; ++i)
        hashes.emplace_back(sha256(pieceBytes(version, i)));
    return socket.send(formatResponse(200, {{"Content-Type", "application/json"}},
                                      json::serialize(json::object{{"model", Model},
                                                                   {"version", version},
                                                                   {"chunk_bytes", PieceBytes},
                                                                   {"layers", Layers},
                                                                   {"hashes", hashes}})));
}

} // namespace review
