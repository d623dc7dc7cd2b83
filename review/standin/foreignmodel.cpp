// Two services have engines, each a model of its own. New weights of one model are named. An engine
// of the other service must not be ordered to hold them beside its own: its memory is too small.
#include "weights.h"

using namespace review;

namespace {

constexpr int LayerMb = 4540;
constexpr int EngineMb = 100'000;

/// An engine that holds each model that it is ordered to load.
class MultiEngine
{
public:
    MultiEngine(const std::string &ip, Record &record, std::string id, std::string service,
                const std::string &model)
        : m_record(record)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_server({ip, 0}, [this](const Message &request, Socket &socket) {
            return handle(request, socket);
        })
    {
        m_models[model] = 1;
        for (int i = 0; i < Pieces; ++i)
            m_staged[model][i] = pieceBytes(1, i);
    }

    const Address &address() const { return m_server.address(); }
    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }

    std::string entry()
    {
        const std::lock_guard lock(m_mutex);
        json::object body = state();
        body["service"] = m_service;
        body["address"] = address().text();
        body["zone"] = "zwolle-hall";
        body["version"] = "1";
        body["slots"] = 16;
        body["state"] = "ready";
        body["cold_ms"] = 0;
        return json::serialize(body);
    }

    int version(const std::string &model)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_models.find(model);
        return it == m_models.end() ? 0 : it->second;
    }

    bool isOverloaded()
    {
        const std::lock_guard lock(m_mutex);
        return m_isOverloaded;
    }

private:
    json::object state()
    {
        json::array held;
        for (const auto &[name, version] : m_models)
            held.push_back(json::object{
                    {"name", name}, {"version", version}, {"adapters", json::array()}});
        return {{"phase", "both"},
                {"models", held},
                {"seq", m_orders},
                {"born", m_born},
                {"busy", m_record.nowMs() < m_busyUntil},
                {"queued", 0},
                {"running", 0}};
    }

    bool handle(const Message &request, Socket &socket)
    {
        const std::lock_guard lock(m_mutex);
        const std::string path = request.path();
        const std::string model = path.substr(path.rfind('/') + 1);
        const std::string number = request.query("num");
        if (path == "/godwitrun/report")
            return socket.send(formatResponse(200, {}, json::serialize(state())));
        if (path.find("/stage-put/") != std::string::npos) {
            m_staged[model][std::stoi(number)] = request.body;
            return socket.send(formatResponse(200, {}, ""));
        }
        if (path.find("/stage-get/") != std::string::npos && number.empty()) {
            json::array held;
            for (const auto &[piece, bytes] : m_staged[model])
                held.emplace_back(piece);
            return socket.send(
                    formatResponse(200, {}, json::serialize(json::object{{"held", held}})));
        }
        if (path.find("/stage-get/") != std::string::npos) {
            const auto it = m_staged[model].find(std::stoi(number));
            return socket.send(it == m_staged[model].end() ? formatResponse(404, {}, "")
                                                           : formatResponse(200, {}, it->second));
        }
        if (path == "/godwitrun/order")
            return order(request, socket);
        return false;
    }

    bool order(const Message &request, Socket &socket)
    {
        const auto body = json::parse(request.body);
        const std::string model(body.at("model").as_string());
        const int version = body.at("version").to_number<int>();
        if (body.at("expected").to_number<int>() != m_orders || m_record.nowMs() < m_busyUntil)
            return socket.send(formatResponse(409, {}, ""));
        ++m_orders;
        m_models[model] = version;
        m_busyUntil = m_record.nowMs() + 300;
        const int needed = static_cast<int>(m_models.size()) * Layers * LayerMb;
        m_record.write("engine " + m_id + " of " + m_service + ": ordered to load version "
                       + std::to_string(version) + " of " + model + "; holds "
                       + std::to_string(m_models.size()) + " models, "
                       + std::to_string(m_models.size() * Layers) + " layers, "
                       + std::to_string(needed) + " of " + std::to_string(EngineMb) + " MB");
        if (needed > EngineMb) {
            m_isOverloaded = true;
            m_record.write("BROKEN: engine " + m_id
                           + " is ordered to hold more layers than its mb");
        }
        return socket.send(formatResponse(202, {}, ""));
    }

    Record &m_record;
    const std::string m_id;
    const std::string m_service;
    std::mutex m_mutex;
    std::map<std::string, std::map<int, std::string>> m_staged;
    std::map<std::string, int> m_models;
    std::uint64_t m_born = wallMs();
    int m_orders = 0;
    int m_busyUntil = 0;
    bool m_isOverloaded = false;
    Server m_server;
};

json::object engineOf(const std::string &model)
{
    return {{"slots", 16},
            {"kv_capacity", 100000},
            {"stride", 6},
            {"step_ms", 6.73},
            {"per_seq_ms", 0.0219},
            {"read_per_s", 30600},
            {"layers", Layers},
            {"layer_mb", LayerMb},
            {"mb", EngineMb},
            {"chunks", Pieces},
            {"chunk_bytes", PieceBytes},
            {"models", json::array{json::object{{"name", model}}}}};
}

json::object routeOf(const std::string &name, const std::string &service)
{
    return {{"name", "r-" + name},
            {"host", name + ".example"},
            {"prefix", "/" + name + "/"},
            {"kind", "streaming"},
            {"timeout_ms", 6000},
            {"slo_ms", 400},
            {"target_gap_ms", 300},
            {"priority", 1},
            {"service", service},
            {"attempts", 2},
            {"sticky", true},
            {"resumable", true}};
}

bool sendWeights(const Message &request, Socket &socket)
{
    const int version = std::stoi("0" + request.query("version"));
    const std::string path = request.path();
    const std::string model = path.substr(path.rfind('/') + 1);
    if (path.find("/piece/") != std::string::npos)
        return socket.send(
                formatResponse(200, {}, pieceBytes(version, std::stoi(request.query("num")))));
    json::array hashes;
    for (int i = 0; i < Pieces; ++i)
        hashes.emplace_back(sha256(pieceBytes(version, i)));
    return socket.send(formatResponse(200, {{"Content-Type", "application/json"}},
                                      json::serialize(json::object{{"model", model},
                                                                   {"version", version},
                                                                   {"chunk_bytes", PieceBytes},
                                                                   {"layers", Layers},
                                                                   {"hashes", hashes}})));
}

int run(const CaseOptions &options)
{
    Record &record = *new Record(options.recordFile);
    Store &store = *new Store(options.ip(9, 1), record);
    Server &origin = *new Server({options.ip(4, 1), 0}, sendWeights);
    MultiEngine &draft =
            *new MultiEngine(options.ip(2, 1), record, "i-draft-1", "draft-models", "m-draft");
    MultiEngine &label =
            *new MultiEngine(options.ip(2, 2), record, "i-label-1", "label-models", "m-label");
    store.put("op/config",
              json::serialize(json::object{
                      {"version", 4},
                      {"routes", json::array{routeOf("draft", "draft-models"),
                                             routeOf("label", "label-models")}},
                      {"services", json::array{json::object{{"name", "draft-models"},
                                                            {"max_conns", 204},
                                                            {"engine", engineOf("m-draft")}},
                                               json::object{{"name", "label-models"},
                                                            {"max_conns", 204},
                                                            {"engine", engineOf("m-label")}},
                                               json::object{{"name", "works-admin"},
                                                            {"max_conns", 48},
                                                            {"origin", origin.address().text()},
                                                            {"zone", "zwolle-hall"},
                                                            {"link_mbps", 7.3}}}},
                      {"limits", json::object{{"max_header_bytes", 16384},
                                              {"max_body_bytes", 1000000},
                                              {"header_timeout_ms", 3000},
                                              {"idle_timeout_ms", 10000}}}}));
    Processes processes(options.program, options.folder, record);
    int number = 0;
    for (MultiEngine *it : {&draft, &label}) {
        store.put("servers/" + it->id(), it->entry());
        const Machine machine{"side-" + std::to_string(++number), options.ip(2, number), false,
                              it->address()};
        std::string settings = settingsOf(machine, store.address());
        const std::string usual = "service = \"draft-models\"";
        settings.replace(settings.find(usual), usual.size(), "service = \"" + it->service() + '"');
        processes.start(machine.name, settings);
    }
    sleepMs(3000);
    if (options.trouble) {
        store.put("op/version/m-label",
                  json::serialize(json::object{{"model", "m-label"}, {"version", 2}}));
        record.write("operator: version 2 of m-label is named");
    }
    const bool isLoaded =
            waitFor(20'000, [&] { return !options.trouble || label.version("m-label") == 2; });
    if (!isLoaded) {
        record.write("version 2 of m-label is not loaded by its own engine");
        return 2;
    }
    sleepMs(10'000);
    record.write(draft.isOverloaded() ? "an engine of draft-models holds m-label"
                                      : "each engine holds the model of its service");
    return draft.isOverloaded() || label.isOverloaded() ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, run);
}
