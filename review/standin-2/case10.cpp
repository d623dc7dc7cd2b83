// A request that crashes each engine that begins to run it, while its route moves between services.
#include "kit.h"

#include <boost/json.hpp>

#include <cstdlib>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Entries = 5;
constexpr int EnginesPerService = 4;
constexpr int SoundClients = 8;
constexpr std::uint64_t Events = 24;
const std::vector<std::string> Services{"draft-models", "draft-models-b", "draft-models-c"};
constexpr const char *PoisonBody = "label text for tape 4711 of set 12";

struct PoisonArrival
{
    std::string attempt;
    TimePoint at;
};

struct Ledger
{
    std::vector<PoisonArrival> arrivals;
    std::vector<TimePoint> crashes;
};

/// A model engine. Answers requests as a sound one does, until a request crashes it.
class Engine
{
public:
    Engine(Deployment &deployment, Ledger &ledger, int index, std::string service)
        : m_deployment(deployment)
        , m_ledger(ledger)
        , m_index(index)
        , m_service(std::move(service))
    {
        start();
    }

private:
    struct Run
    {
        std::shared_ptr<HttpReply> reply;
        std::uint64_t next = 1;
        bool isPoison = false;
        bool isClosed = false;
    };

    void start()
    {
        ++m_generation;
        m_id = "i-" + std::to_string(m_index) + "-" + std::to_string(m_generation);
        godwit::HttpServerOptions options;
        options.listen = {m_deployment.address(150 + m_index), 8740};
        auto outcome = godwit::capture([&] {
            return godwit::HttpServer::listen(
                    m_deployment.io(), options,
                    [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                        handle(request, reply);
                    });
        });
        m_server = std::move(std::get<0>(outcome));
        const boost::json::object record{
                {"service", m_service},
                {"address", godwit::toString(options.listen)},
                {"zone", "zwolle-hall"},
                {"version", "v1"},
                {"slots", 16},
                {"state", "ready"},
                {"cold_ms", 0},
                {"born", wallMs()},
                {"models",
                 boost::json::array{boost::json::object{{"name", Model}, {"version", 1}}}},
                {"layers", boost::json::object{{"from", 0}, {"to", 16}, {"version", 1}}}};
        m_deployment.store().put("servers/" + m_id, boost::json::serialize(record));
        m_deployment.record("engine " + m_id + " started");
    }

    void crash()
    {
        m_ledger.crashes.push_back(m_deployment.now());
        m_deployment.record("engine " + m_id + " crashes, " + std::to_string(m_runs.size() - 1)
                            + " other requests were running");
        m_runs.clear();
        m_server.reset();
        const std::string key = "servers/" + m_id;
        m_deployment.clock().after(seconds(3), [this, key] {
            m_deployment.store().remove(key);
            start();
        });
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        const std::string attempt(request.headers.value("X-Attempt-Id"));
        const std::string_view expected = request.headers.value("X-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            reply->send({421, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, {}});
            return;
        }
        const auto run = std::make_shared<Run>();
        run->reply = reply;
        run->isPoison = request.body == PoisonBody;
        const std::string last(request.headers.value("Last-Event-Id"));
        run->next = last.empty() ? 1 : std::stoull(last) + 1;
        if (run->isPoison) {
            m_ledger.arrivals.push_back({attempt, m_deployment.now()});
            m_deployment.record("request " + attempt
                                + " with the text that crashes engines reaches " + m_id
                                + (last.empty() ? "" : ", to go on after event " + last));
        }
        m_runs.insert(run);
        reply->onClosed([weak = std::weak_ptr(run)] {
            if (const auto it = weak.lock())
                it->isClosed = true;
        });
        const int generation = m_generation;
        m_deployment.clock().after(milliseconds(60), [this, run, attempt, generation] {
            if (generation != m_generation || !m_server || !m_runs.contains(run))
                return;
            // Like most engines, it drops a request whose connection has been closed.
            if (run->isClosed) {
                m_runs.erase(run);
                return;
            }
            if (run->isPoison && m_deployment.hasTrouble()) {
                crash();
                return;
            }
            run->reply->start(200, {{"Content-Type", "text/event-stream"},
                                    {"X-Attempt-Id", attempt},
                                    {"X-Server-Seal", "seal." + attempt},
                                    {"X-Weight-Versions", "1"}});
            step(run, generation);
        });
    }

    void step(const std::shared_ptr<Run> &run, int generation)
    {
        if (generation != m_generation || !m_server || !m_runs.contains(run))
            return;
        if (run->isClosed) {
            m_runs.erase(run);
            return;
        }
        run->reply->write(streamEvent(run->next));
        if (run->next++ == Events) {
            run->reply->finish();
            m_runs.erase(run);
            return;
        }
        m_deployment.clock().after(milliseconds(45),
                                   [this, run, generation] { step(run, generation); });
    }

    Deployment &m_deployment;
    Ledger &m_ledger;
    int m_index;
    std::string m_service;
    int m_generation = 0;
    std::string m_id;
    std::unique_ptr<godwit::HttpServer> m_server;
    std::set<std::shared_ptr<Run>> m_runs;
};

void moveRoute(Deployment &deployment, std::size_t service)
{
    deployment.putConfiguration(4 + 5 * service, {}, {Key}, Services[service], Services);
}

/// Clients: some with sound requests, and one whose request comes again and again.
class Clients
{
public:
    explicit Clients(Deployment &deployment)
        : m_deployment(deployment)
    {}

    void start()
    {
        for (int i = 0; i < SoundClients; ++i)
            m_deployment.clock().after(milliseconds(97 * i), [this, i] { sendSound(i); });
        m_deployment.clock().after(seconds(3), [this] { sendPoison(); });
        for (std::size_t i = 1; i < Services.size() && std::getenv("MOVES") == nullptr; ++i)
            m_deployment.clock().after(seconds(18 + 14 * (i - 1)),
                                       [this, i] { moveRoute(m_deployment, i); });
        m_deployment.clock().after(seconds(54), [this] { m_deployment.stop(); });
    }

    int whole = 0;
    int cut = 0;
    int refused = 0;

private:
    godwit::HttpCall call(const std::string &id, int entry, const std::string &body) const
    {
        auto result = makeCall(m_deployment.entry(entry), "/levo940/2f", id, body, 6000);
        result.headers.add("X-Model", Model);
        result.headers.add("X-Token-Usage", "787,144");
        result.headers.add("X-Prompt-Prefix", "5c1e07a2:40," + id + ":747");
        return result;
    }

    void sendSound(int client)
    {
        const int number = ++m_number;
        const std::string id = "a" + std::to_string(10000 + number);
        send(m_deployment, call(id, number % Entries, "text " + id),
             [this, id, client](const Answer &answer) {
                 const bool isWhole = answer.isComplete && answer.status == 200;
                 if (isWhole)
                     ++whole;
                 else if (answer.status == 200 || answer.status == 0)
                     ++cut;
                 else
                     ++refused;
                 if (!isWhole)
                     m_deployment.record("sound request " + id + ": status "
                                         + std::to_string(answer.status)
                                         + (answer.isComplete ? "" : ", cut off"));
                 m_deployment.clock().after(milliseconds(100),
                                            [this, client] { sendSound(client); });
             });
    }

    void sendPoison()
    {
        const int number = ++m_poisonNumber;
        const std::string id = "b" + std::to_string(20000 + number);
        m_deployment.record("client sends request " + id + " to entry "
                            + std::to_string(number % Entries));
        send(m_deployment, call(id, number % Entries, PoisonBody),
             [this, id](const Answer &answer) {
                 m_deployment.record("request " + id + " is answered: status "
                                     + std::to_string(answer.status)
                                     + (answer.isComplete ? ", whole" : ", cut off"));
             });
        m_deployment.clock().after(milliseconds(1000), [this] { sendPoison(); });
    }

    Deployment &m_deployment;
    int m_number = 0;
    int m_poisonNumber = 0;
};

} // namespace

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    Ledger ledger;
    std::vector<std::unique_ptr<Engine>> engines;
    moveRoute(deployment, 0);
    deployment.store().put("op/version/" + std::string(Model),
                           "{\"model\":\"" + std::string(Model) + "\",\"version\":1}");
    int number = 0;
    for (const std::string &service : Services) {
        for (int i = 0; i < EnginesPerService; ++i)
            engines.push_back(std::make_unique<Engine>(deployment, ledger, number++, service));
    }
    for (int i = 0; i < Entries; ++i)
        deployment.startEntry(i, deployment.store().endpoint());
    Clients clients(deployment);
    bool isReady = false;
    deployment.whenReady(Entries, [&] {
        isReady = true;
        clients.start();
    });
    deployment.run(seconds(80));
    if (!isReady || clients.whole == 0)
        return 2;
    int late = 0;
    if (ledger.crashes.size() >= 3) {
        for (const PoisonArrival &it : ledger.arrivals)
            late += it.at > ledger.crashes[2] + ContactTime;
    }
    return deployment.finish(
            late > 3,
            std::to_string(ledger.crashes.size()) + " crashes of engines; " + std::to_string(late)
                    + " arrivals at engines later than contact_ms after the third (the "
                      "rule allows 3); sound streams: "
                    + std::to_string(clients.whole) + " whole, " + std::to_string(clients.cut)
                    + " cut off, " + std::to_string(clients.refused) + " refused or failed");
}
