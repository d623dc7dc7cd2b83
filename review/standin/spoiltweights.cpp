// A host process freezes for four seconds while it checks the staged pieces before it orders the
// load, and meanwhile one of them turns bad in the engine's staging area. No token may be made with
// it: it turned bad more than three seconds before the engine took it.
#include "weights.h"

using namespace review;

namespace {

/// Of the nine, one freezes.
constexpr int Hosts = 9;
constexpr int FreezeMs = 4000;

int run(const CaseOptions &options)
{
    // The threads of the stand-ins use these until the program ends.
    Record &record = *new Record(options.recordFile);
    Store &store = *new Store(options.ip(9, 1), record);
    Server &origin = *new Server({options.ip(4, 1), 0}, handleOrigin);
    auto &engines = *new std::vector<std::unique_ptr<Engine>>;
    Processes processes(options.program, options.folder, record);
    const Machine edge{"edge-1", options.ip(1, 1)};
    std::vector<Machine> sides;
    store.put("op/config", configuration(origin.address()));
    for (int i = 1; i <= Hosts; ++i) {
        engines.push_back(
                std::make_unique<Engine>(options.ip(2, i), record, "i-draft-" + std::to_string(i)));
        sides.push_back(
                {"side-" + std::to_string(i), options.ip(2, i), false, engines.back()->address()});
    }
    const auto writeEntries = [&] {
        for (const auto &it : engines)
            store.put("servers/" + it->id(), it->entry());
    };
    writeEntries();
    processes.start(edge.name, settingsOf(edge, store.address()));
    for (const Machine &it : sides)
        processes.start(it.name, settingsOf(it, store.address()));
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
    if (options.trouble) {
        // The first host that is in the middle of its check freezes.
        std::size_t frozen = 0;
        const bool isChecking = waitFor(20'000, [&] {
            for (frozen = 0; frozen < engines.size(); ++frozen) {
                if (engines[frozen]->checkReads() >= 30)
                    return true;
            }
            return false;
        });
        if (!isChecking) {
            record.write("the pieces are not checked");
            return 2;
        }
        processes.signal(sides[frozen].name, SIGSTOP,
                         "freezes, its check has read "
                                 + std::to_string(engines[frozen]->checkReads()) + " pieces");
        sleepMs(200);
        engines[frozen]->spoil(12);
        sleepMs(FreezeMs - 200);
        processes.signal(sides[frozen].name, SIGCONT, "wakes");
    }
    const bool isLoaded = waitFor(25'000, [&] {
        return std::all_of(engines.begin(), engines.end(),
                           [](const auto &it) { return it->version() == 2; });
    });
    if (!isLoaded) {
        record.write("version 2 is not loaded everywhere");
        return 2;
    }
    sleepMs(400);
    writeEntries();
    sleepMs(1500);
    int bad = 0;
    int good = 0;
    for (int i = 0; i < 150 && bad < 5; ++i) {
        ask();
        bad = good = 0;
        for (const auto &it : engines) {
            bad += it->badTokens();
            good += it->goodTokens();
        }
    }
    record.write(std::to_string(bad) + " requests ran on spoilt weights, " + std::to_string(good)
                 + " on sound ones");
    if (bad + good < 4)
        return 2;
    return bad > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, run);
}
