// New weights are named of which two pieces hold the same bytes. Right after that all processes are
// killed, and started again. A quarter of the requests at least must be served 12 s after that, as
// before.
#include "weights.h"

using namespace review;

namespace {

constexpr int RecoveryMs = 12'000;

int run(const CaseOptions &options)
{
    // The threads of the stand-ins use these until the program ends.
    Record &record = *new Record(options.recordFile);
    const char *distinct = std::getenv("DISTINCT");
    hasEqualPieces = options.trouble && !(distinct && std::string(distinct) == "1");
    Store &store = *new Store(options.ip(9, 1), record);
    Server &origin = *new Server({options.ip(4, 1), 0}, handleOrigin);
    auto &engines = *new std::vector<std::unique_ptr<Engine>>;
    Processes processes(options.program, options.folder, record);
    const Machine edge{"edge-1", options.ip(1, 1)};
    std::vector<Machine> sides;
    for (int i = 1; i <= 2; ++i) {
        engines.push_back(
                std::make_unique<Engine>(options.ip(2, i), record, "i-draft-" + std::to_string(i)));
        sides.push_back(
                {"side-" + std::to_string(i), options.ip(2, i), false, engines.back()->address()});
    }
    // Each engine writes its entry again when it changes.
    std::vector<std::string> entries(engines.size());
    const auto writeEntries = [&] {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if (std::exchange(entries[i], engines[i]->entry()) != engines[i]->entry())
                store.put("servers/" + engines[i]->id(), engines[i]->entry());
        }
    };
    store.put("op/config", configuration(origin.address()));
    writeEntries();
    const auto startAll = [&] {
        processes.start(edge.name, settingsOf(edge, store.address()));
        for (const Machine &it : sides)
            processes.start(it.name, settingsOf(it, store.address()));
    };
    startAll();
    if (!waitFor(15'000, [&] { return isReady(edge); })) {
        record.write("the entry machine is not ready");
        return 2;
    }
    int number = 0;
    // Asks ten times a second and returns the share that was served.
    const auto ask = [&](int forMs) {
        const int end = record.nowMs() + forMs;
        int sent = 0;
        int served = 0;
        while (record.nowMs() < end) {
            const std::string attempt = "a" + std::to_string(++number);
            const Answer answer = sendRequest(edge.front(), "POST /draft/1",
                                              {{"Host", "draft.example"},
                                               {"X-Attempt-Id", attempt},
                                               {"X-Deadline-Ms", "6000"},
                                               {"X-Model", Model},
                                               {"X-Token-Usage", "600,72"},
                                               {"X-Prompt-Prefix", "a1:40,b" + attempt + ":560"},
                                               {"Connection", "close"}},
                                              "draft", 7000);
            record.write("client: " + attempt + ": status " + std::to_string(answer.status));
            ++sent;
            served += answer.status == 200 && answer.complete;
            writeEntries();
            sleepMs(100);
        }
        record.write("served " + std::to_string(served) + " of " + std::to_string(sent));
        return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
    };
    const double before = ask(4000);
    if (options.trouble) {
        newestVersion = 2;
        store.put("op/version/" + Model,
                  json::serialize(json::object{{"model", Model}, {"version", 2}}));
        record.write("operator: version 2 is named");
    }
    processes.kill(edge.name);
    for (const Machine &it : sides)
        processes.kill(it.name);
    sleepMs(800);
    startAll();
    record.write("all machines are back");
    const int backAt = record.nowMs();
    while (record.nowMs() < backAt + RecoveryMs) {
        ask(1000);
    }
    const double after = ask(20'000);
    if (before < 0.25)
        return 2;
    if (after < 0.25)
        record.write("BROKEN: less than a quarter of the requests is served after recovery_s");
    return after < 0.25 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, run);
}
