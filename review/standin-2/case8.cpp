// The first requests on an added route crash the engines that begin to run them. Then they stay
// away.
#include "kit.h"

#include <boost/json.hpp>

#include <cstdlib>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Entries = 2;
constexpr int EnginesPerService = 4;
constexpr int SoundClients = 8; ///< Half of them on the added route.
constexpr std::uint64_t Events = 24;
const std::vector<std::string> Services{"draft-models", "note-models"};
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

/// Requests of one route in the time that is judged.
struct Counts
{
    int sent = 0;
    int served = 0;
};

class Clients
{
public:
    explicit Clients(Deployment &deployment)
        : m_deployment(deployment)
    {}

    void start()
    {
        for (int i = 0; i < SoundClients; i += 2)
            after(milliseconds(97 * i), [this, i] { sendSound(i); });
        after(seconds(5), [this] {
            m_deployment.putConfiguration(9, {}, {Key}, LlmService, Services, Services[1]);
        });
        // The request comes once a second for some time, at either machine, and then no more.
        for (int i = 0; i < 13; ++i)
            after(seconds(8 + i), [this, i] { sendPoison(i % Entries); });
        // Sound requests of the added route follow later, when all engines have been back for a
        // while.
        for (int i = 1; i < SoundClients; i += 2)
            after(seconds(24) + milliseconds(97 * i), [this, i] { sendSound(i); });
        after(seconds(30), [this] { m_isJudged = true; });
        after(seconds(66), [this] { m_deployment.stop(); });
    }

    Counts first; ///< Of the route that was there from the beginning.
    Counts added;

private:
    void after(Duration delay, std::function<void()> function)
    {
        m_deployment.clock().after(delay, std::move(function));
    }

    godwit::HttpCall call(const std::string &id, int entry, bool isAdded,
                          const std::string &body) const
    {
        auto result = makeCall(m_deployment.entry(entry), isAdded ? "/nuvo12/2f" : "/levo940/2f",
                               id, body, 6000);
        result.headers.add("X-Model", Model);
        result.headers.add("X-Token-Usage", "607,72");
        // 40 tokens that all requests of a kind share, and those of the request itself.
        result.headers.add("X-Prompt-Prefix",
                           std::string(isAdded ? "7a2f00c1" : "5c1e07a2") + ":40," + id + ":567");
        return result;
    }

    void sendSound(int client)
    {
        const bool isAdded = client % 2 == 1;
        const int number = ++m_number;
        const std::string id = "a" + std::to_string(10000 + number);
        const bool isJudged = m_isJudged;
        Counts &counts = isAdded ? added : first;
        counts.sent += isJudged;
        send(m_deployment, call(id, number / 2 % Entries, isAdded, "text " + id),
             [this, id, client, isAdded, isJudged, &counts](const Answer &answer) {
                 const bool isServed = answer.isComplete && answer.status == 200;
                 counts.served += isJudged && isServed;
                 if (isAdded)
                     m_deployment.record("sound request " + id + " on the added route: status "
                                         + std::to_string(answer.status)
                                         + (answer.isComplete ? "" : ", cut off"));
                 // Clients do as Retry-After says.
                 const double wait = answer.retryAfter.empty() ? 0.3 : std::stod(answer.retryAfter);
                 after(godwit::fromSeconds(wait), [this, client] { sendSound(client); });
             });
    }

    void sendPoison(int entry)
    {
        const std::string id = "b" + std::to_string(20000 + ++m_poisonNumber);
        m_deployment.record("client sends request " + id + " to entry " + std::to_string(entry));
        send(m_deployment, call(id, entry, true, PoisonBody), [this, id](const Answer &answer) {
            m_deployment.record("request " + id + " is answered: status "
                                + std::to_string(answer.status)
                                + (answer.isComplete ? ", whole" : ", cut off"));
        });
    }

    Deployment &m_deployment;
    int m_number = 0;
    int m_poisonNumber = 0;
    bool m_isJudged = false;
};

} // namespace

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    Ledger ledger;
    std::vector<std::unique_ptr<Engine>> engines;
    deployment.putConfiguration(4, {}, {Key}, LlmService, Services);
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
    deployment.run(seconds(90));
    const Counts &first = clients.first;
    const Counts &added = clients.added;
    if (!isReady || first.served == 0 || added.sent < 20)
        return 2;
    const double firstShare = static_cast<double>(first.served) / first.sent;
    const double addedShare = static_cast<double>(added.served) / added.sent;
    return deployment.finish(addedShare < firstShare / 4,
                             std::to_string(ledger.crashes.size())
                                     + " crashes of engines, the last 9 s or more before the time "
                                       "that is judged; first route: "
                                     + std::to_string(first.served) + " of "
                                     + std::to_string(first.sent)
                                     + " served; added route: " + std::to_string(added.served)
                                     + " of " + std::to_string(added.sent) + " served");
}
