// A key that was taken away works again at a process that starts while the store is a copy.
#include "kit.h"

#include <boost/json.hpp>

#include <csignal>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Entries = 2;
constexpr int Restarted = 1; ///< The entry process that is restarted.
constexpr const char *TakenKey = "bvk9m68k7b2ex5wa5xwy";
constexpr Duration RevokeTime = seconds(5);
/// Times since the key was taken away.
constexpr Duration StoreAway = seconds(3);
constexpr Duration StoreBack = seconds(4);
constexpr Duration Rewritten = seconds(8);
constexpr Duration End = seconds(13);

struct Run
{
    std::string attempt;
    TimePoint at;
};

/// A booking server that answers at once.
class Server
{
public:
    Server(Deployment &deployment, std::vector<Run> &runs)
        : m_deployment(deployment)
        , m_runs(runs)
    {
        godwit::HttpServerOptions options;
        options.listen = {m_deployment.address(150), 8740};
        auto outcome = godwit::capture([&] {
            return godwit::HttpServer::listen(
                    m_deployment.io(), options,
                    [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                        const std::string attempt(request.headers.value("X-Attempt-Id"));
                        m_runs.push_back({attempt, m_deployment.now()});
                        reply->send({200,
                                     {{"X-Attempt-Id", attempt}, {"X-Server-Seal", "s." + attempt}},
                                     "booked"});
                    });
        });
        m_server = std::move(std::get<0>(outcome));
    }

    /// Writes its entry, as a server does about every heartbeat.
    void beat()
    {
        const boost::json::object record{{"service", DeskService},
                                         {"address", godwit::toString(m_server->endpoint())},
                                         {"zone", "zwolle-hall"},
                                         {"version", "v1"},
                                         {"slots", 6},
                                         {"state", "ready"},
                                         {"cold_ms", 0},
                                         {"born", m_born},
                                         {"seq", ++m_beats}};
        m_deployment.store().put("servers/i-desk-1", boost::json::serialize(record));
        m_deployment.clock().after(milliseconds(1200), [this] { beat(); });
    }

private:
    Deployment &m_deployment;
    std::vector<Run> &m_runs;
    std::unique_ptr<godwit::HttpServer> m_server;
    std::uint64_t m_born = wallMs();
    int m_beats = 0;
};

} // namespace

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    Clock &clock = deployment.clock();
    std::vector<Run> runs;
    std::map<std::string, TimePoint> sentWithTakenKey;
    Server server(deployment, runs);
    deployment.putConfiguration(4, {}, {Key, TakenKey}, LlmService, {});
    server.beat();
    for (int i = 0; i < Entries; ++i)
        deployment.startEntry(i, deployment.store().endpoint());
    bool isReady = false;
    std::optional<TimePoint> takenAt;
    int served = 0;
    int number = 0;
    std::function<void(int)> ask = [&](int entry) {
        const std::string id = "a" + std::to_string(10000 + ++number);
        auto call = makeCall(deployment.entry(entry), "/filo73/2f", id, "tape 12", 1500);
        godwit::HttpHeaders headers;
        for (const auto &[name, value] : call.headers) {
            if (name != "Authorization")
                headers.add(name, value);
        }
        headers.add("Authorization", std::string("Token ") + TakenKey);
        call.headers = headers;
        if (takenAt)
            sentWithTakenKey[id] = deployment.now();
        send(deployment, std::move(call), [&, id, entry](const Answer &answer) {
            served += answer.status == 200 && !takenAt;
            if (takenAt)
                deployment.record("request " + id + " with the key to entry "
                                  + std::to_string(entry) + ": status "
                                  + std::to_string(answer.status));
            clock.after(milliseconds(100), [&, entry] { ask(entry); });
        });
    };
    deployment.whenReady(Entries, [&] {
        isReady = true;
        for (int i = 0; i < Entries; ++i)
            ask(i);
        clock.after(seconds(2), [&] {
            deployment.store().copy();
            deployment.record("the store is copied");
            deployment.putConfiguration(9, {}, {Key}, LlmService, {});
            takenAt = deployment.now();
            deployment.record("the key has been taken away");
        });
        if (deployment.hasTrouble()) {
            clock.after(seconds(2) + StoreAway, [&] {
                deployment.record("the store is away, and entry 1 is killed");
                deployment.store().rejectNextCalls = 1'000'000;
                deployment.signal("edge-zwolle-hall-" + std::to_string(Restarted), SIGKILL);
            });
            clock.after(seconds(2) + StoreBack, [&] {
                deployment.store().rejectNextCalls = 0;
                deployment.store().restore();
                deployment.record("the store is back from the copy");
                deployment.startEntry(Restarted, deployment.store().endpoint());
            });
            clock.after(seconds(2) + Rewritten,
                        [&] { deployment.putConfiguration(9, {}, {Key}, LlmService, {}); });
        }
        clock.after(seconds(2) + End, [&] { deployment.stop(); });
    });
    deployment.run(seconds(60));
    if (!isReady || served == 0 || !takenAt)
        return 2;
    int late = 0;
    for (const Run &it : runs) {
        const auto sent = sentWithTakenKey.find(it.attempt);
        late += sent != sentWithTakenKey.end() && sent->second > *takenAt + RevokeTime;
    }
    return deployment.finish(late > 0, std::to_string(late)
                                               + " requests ran that were sent with the key later "
                                                 "than revoke_ms after it had been taken away");
}
