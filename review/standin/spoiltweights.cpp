// A host process freezes for four seconds while it checks the staged pieces before it orders the
// load, and meanwhile one of them turns bad in the engine's staging area. No token may be made with
// it: it turned bad more than three seconds before the engine took it.
#include "weights.h"

using namespace review;

namespace {

constexpr int FreezeMs = 4000;

int run(const CaseOptions &options)
{
    // The threads of the stand-ins use these until the program ends.
    Record &record = *new Record(options.recordFile);
    Store &store = *new Store(options.ip(9, 1), record);
    Server &origin = *new Server({options.ip(4, 1), 0}, handleOrigin);
    Engine &engine = *new Engine(options.ip(2, 1), record, "i-draft-1");
    store.put("op/config", configuration(origin.address()));
    store.put("servers/" + engine.id(), engine.entry());

    Processes processes(options.program, options.folder, record);
    const Machine edge{"edge-1", options.ip(1, 1)};
    const Machine side{"side-1", options.ip(2, 1), false, engine.address()};
    processes.start(edge.name, settingsOf(edge, store.address()));
    processes.start(side.name, settingsOf(side, store.address()));
    if (!waitFor(15'000, [&] { return isReady(edge); })) {
        record.write("the entry machine is not ready");
        return 2;
    }
    int number = 0;
    const auto ask = [&] {
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
    };
    ask();
    sleepMs(2000);
    newestVersion = 2;
    store.put("op/version/" + Model,
              json::serialize(json::object{{"model", Model}, {"version", 2}}));
    record.write("operator: version 2 is named");
    const auto refresh = [&] { store.put("servers/" + engine.id(), engine.entry()); };
    if (options.trouble) {
        if (!waitFor(20'000, [&] { return engine.checkReads() > 0; })) {
            record.write("the pieces are not checked");
            return 2;
        }
        sleepMs(300);
        processes.signal(side.name, SIGSTOP,
                         "freezes, after " + std::to_string(engine.checkReads())
                                 + " reads of staged pieces");
        sleepMs(200);
        engine.spoil(12);
        sleepMs(FreezeMs - 200);
        processes.signal(side.name, SIGCONT, "wakes");
    }
    if (!waitFor(20'000, [&] { return engine.version() == 2; })) {
        record.write("version 2 is not loaded");
        return 2;
    }
    sleepMs(400);
    refresh();
    sleepMs(1500);
    for (int i = 0; i < 5; ++i)
        ask();
    record.write(std::to_string(engine.badTokens()) + " requests ran on spoilt weights, "
                 + std::to_string(engine.goodTokens()) + " on sound ones");
    if (engine.badTokens() + engine.goodTokens() < 4)
        return 2;
    return engine.badTokens() > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, run);
}
