// A key is taken away; six seconds later the store comes back from a copy that is older than that,
// and a machine is added in the same second. Requests with the key must not run.
#include "fleet.h"

#include <boost/json.hpp>

namespace json = boost::json;
using namespace review;

namespace {

constexpr int RevokeMs = 5000;

std::string configuration(int version, const std::vector<std::string> &keys)
{
    json::array apiKeys;
    for (const std::string &it : keys)
        apiKeys.emplace_back(it);
    return json::serialize(json::object{
            {"version", version},
            {"routes", json::array{json::object{{"name", "r-look"},
                                                {"host", "desk.example"},
                                                {"prefix", "/look/"},
                                                {"kind", "safe"},
                                                {"timeout_ms", 800},
                                                {"slo_ms", 200},
                                                {"target_gap_ms", 0},
                                                {"priority", 2},
                                                {"service", "order-desk"},
                                                {"attempts", 2}}}},
            {"services", json::array{json::object{{"name", "order-desk"}, {"max_conns", 51}}}},
            {"limits", json::object{{"max_header_bytes", 16384},
                                    {"max_body_bytes", 1000000},
                                    {"header_timeout_ms", 3000},
                                    {"idle_timeout_ms", 10000}}},
            {"tenants", json::array{json::object{{"name", "library"}, {"api_keys", apiKeys}},
                                    json::object{{"name", "archive"},
                                                 {"api_keys", json::array{"key-archive"}}}}}});
}

int run(const CaseOptions &options)
{
    // The threads of the stand-ins use these until the program ends.
    Record &record = *new Record(options.recordFile);
    Store &store = *new Store(options.ip(9, 1), record);

    std::mutex &mutex = *new std::mutex;
    auto &runs = *new std::map<std::string, int>; // By attempt: when it ran.
    static const std::string engineId = "i-desk-1";
    Server &engine = *new Server({options.ip(3, 1), 0}, [&](const Message &request,
                                                            Socket &socket) {
        const std::string attempt = request.header("x-attempt-id");
        const std::string expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != engineId)
            return socket.send(formatResponse(421, {{"X-Attempt-Id", attempt}}, ""));
        {
            const std::lock_guard lock(mutex);
            runs[attempt] = record.nowMs();
        }
        record.write("engine: runs " + attempt + " for tenant " + request.header("x-tenant"));
        sleepMs(20);
        return socket.send(formatResponse(
                200, {{"X-Attempt-Id", attempt}, {"X-Server-Seal", "s." + attempt}}, "found"));
    });
    const auto writeEngine = [&] {
        store.put("servers/" + engineId,
                  json::serialize(json::object{{"service", "order-desk"},
                                               {"address", engine.address().text()},
                                               {"zone", "zwolle-hall"},
                                               {"version", "1"},
                                               {"slots", 6},
                                               {"state", "ready"},
                                               {"cold_ms", 0},
                                               {"seq", 1},
                                               {"born", 1700000000000}}));
    };
    const std::string withKey = configuration(4, {"key-library", "key-lost"});
    const std::string withoutKey = configuration(7, {"key-library"});
    store.put("op/config", withKey);
    writeEngine();

    Processes processes(options.program, options.folder, record);
    const Machine first{"edge-1", options.ip(1, 1)};
    const Machine added{"edge-2", options.ip(1, 2)};
    processes.start(first.name, settingsOf(first, store.address()));
    if (!waitFor(15'000, [&] { return isReady(first); })) {
        record.write("the first machine is not ready");
        return 2;
    }

    int number = 0;
    std::map<std::string, int> lostKeySent; // Attempts with the key: when they were sent.
    const auto ask = [&](const Machine &machine, const std::string &key) {
        const std::string attempt = "a" + std::to_string(++number);
        if (key == "key-lost")
            lostKeySent[attempt] = record.nowMs();
        const Answer answer = sendRequest(machine.front(), "GET /look/1",
                                          {{"Host", "desk.example"},
                                           {"X-Attempt-Id", attempt},
                                           {"X-Deadline-Ms", "1500"},
                                           {"Authorization", "Token " + key},
                                           {"Connection", "close"}},
                                          "", 2000);
        record.write("client: " + attempt + " with " + key + " to " + machine.name + ": status "
                     + std::to_string(answer.status));
        return answer.status;
    };

    for (int i = 0; i < 5; ++i) {
        if (ask(first, "key-lost") != 200 || ask(first, "key-library") != 200)
            return 2;
        sleepMs(100);
    }
    store.copy();
    sleepMs(500);
    store.put("op/config", withoutKey);
    const int revokedAt = record.nowMs();
    record.write("operator: configuration 7 without key-lost is acknowledged");
    while (record.nowMs() < revokedAt + RevokeMs + 1000) {
        ask(first, "key-lost");
        ask(first, "key-library");
        sleepMs(250);
    }

    if (options.trouble) {
        store.goAway();
        sleepMs(300);
        store.comeBackFromCopy();
    }
    const int backAt = record.nowMs();
    processes.start(added.name, settingsOf(added, store.address()));
    bool isRewritten = false;
    while (record.nowMs() < backAt + 6000) {
        if (options.trouble && !isRewritten && record.nowMs() >= backAt + 1000) {
            isRewritten = true;
            store.put("op/config", withoutKey);
            writeEngine();
            record.write("operator and engine: what they wrote is written again");
        }
        ask(added, "key-lost");
        ask(added, "key-library");
        ask(first, "key-lost");
        sleepMs(100);
    }

    int broken = 0;
    int served = 0;
    const std::lock_guard lock(mutex);
    for (const auto &[attempt, at] : runs) {
        const auto sent = lostKeySent.find(attempt);
        if (sent != lostKeySent.end() && sent->second > revokedAt + RevokeMs) {
            ++broken;
            record.write("BROKEN: " + attempt + " was sent "
                         + std::to_string(sent->second - revokedAt)
                         + " ms after its key was taken away, and ran");
        }
        served += sent == lostKeySent.end();
    }
    record.write(std::to_string(broken) + " requests with the revoked key ran too late, "
                 + std::to_string(served) + " requests with the other key ran");
    if (served < 40)
        return 2;
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, run);
}
