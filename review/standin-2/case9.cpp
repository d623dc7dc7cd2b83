// A machine freezes while the order for the last layer is on its way, and a staged piece turns bad.
#include "kit.h"

#include <godwit/standin/fleetenginestandin.h>

#include <csignal>

namespace {

using namespace review;
using namespace godwit::standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Hosts = 9;
constexpr int Entries = 5;
constexpr int Clients = 60;
constexpr int Versions = 3; ///< Named one after the other.
constexpr Duration VersionInterval = seconds(14);
constexpr Duration Freeze = seconds(4);
/// What the rule excuses.
constexpr Duration Excused = seconds(3);
constexpr std::uint32_t BadPiece = FleetPieceCount - 1; ///< A piece of the last layer.

struct Machine
{
    std::unique_ptr<FleetEngineStandin> engine;
    std::size_t loads = 0; ///< Load orders that have ended.
};

} // namespace

int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    Clock &clock = deployment.clock();
    FleetLedger ledger;
    FleetConfiguration configuration;
    configuration.customers = {{Tenant, {Key}}};
    godwit::HttpServerOptions originOptions;
    originOptions.listen = {deployment.address(160), 8744};
    auto origin = godwit::capture([&] {
        return godwit::HttpServer::listen(
                deployment.io(), originOptions,
                [](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                    reply->send(originResponse(request));
                });
    });
    configuration.origin = godwit::toString(originOptions.listen);
    deployment.store().put(ConfigurationKey, configurationJson(configuration));
    deployment.store().put(VersionKey, versionJson(1));
    std::vector<Machine> machines(Hosts);
    // The first machine whose engine waits for its last layer freezes with that order.
    int frozen = -1;
    for (int i = 0; i < Hosts; ++i) {
        FleetEngineStandin::Options options;
        options.id = "i-" + std::to_string(i);
        options.service = std::string(ModelService);
        options.zone = "zwolle-hall";
        options.listen = {deployment.hostAddress(i), 8001};
        options.address = options.listen;
        options.startTimeMs = wallMs();
        options.version = 1;
        for (std::uint32_t piece = 0; piece < FleetPieceCount; ++piece)
            options.stagedPieces[piece] = {pieceBytes(1, piece), std::nullopt};
        const std::string name = "side-zwolle-hall-" + std::to_string(i);
        machines[i].engine = std::make_unique<
                FleetEngineStandin>(deployment.io(), options, ledger, [&, i, name] {
            Machine &machine = machines[i];
            deployment.store().put(machine.engine->recordKey(), machine.engine->recordJson(false));
            if (++machine.loads != 1 || frozen >= 0 || !deployment.hasTrouble())
                return;
            frozen = i;
            deployment.record("engine i-" + std::to_string(i)
                              + " holds all layers of the new version but the last");
            machine.engine->setOrderFault(FleetEngineStandin::OrderFault{Freeze, {BadPiece}});
        });
        auto started = godwit::capture([&]() -> godwit::Result<bool> {
            BOOST_LEAF_CHECK(machines[i].engine->start());
            return true;
        });
        if (!godwit::succeeded(started))
            return 2;
        deployment.store().put(machines[i].engine->recordKey(),
                               machines[i].engine->recordJson(false));
    }
    for (int i = 0; i < Entries; ++i)
        deployment.startEntry(i, deployment.store().endpoint());
    for (int i = 0; i < Hosts; ++i)
        deployment.startHost(i, deployment.store().endpoint(), {deployment.hostAddress(i), 8001},
                             std::string(ModelService));
    // The process freezes with its engine, as soon as that has the order.
    std::function<void()> watchFreeze = [&] {
        if (frozen >= 0 && frozen < Hosts && !machines[frozen].engine->options().orderFault) {
            const std::string name = "side-zwolle-hall-" + std::to_string(frozen);
            deployment.record("the machine of engine i-" + std::to_string(frozen)
                              + " freezes for 4 s, with the order on its way; piece "
                              + std::to_string(BadPiece) + " turns bad");
            deployment.signal(name, SIGSTOP);
            clock.after(Freeze, [&, name] { deployment.signal(name, SIGCONT); });
            frozen = Hosts; // No other machine freezes before the next version.
        }
        clock.after(milliseconds(1), watchFreeze);
    };
    watchFreeze();
    int number = 0;
    int served = 0;
    std::function<void()> ask = [&] {
        FleetAttempt attempt;
        attempt.id = "a" + std::to_string(10000 + ++number);
        attempt.kind = FleetRequestKind::Stream;
        attempt.key = Key;
        attempt.deadlineMs = 6000;
        send(deployment, makeFleetCall(deployment.entry(number % Entries), attempt),
             [&](const Answer &answer) {
                 served += answer.status == 200 && answer.isComplete;
                 clock.after(milliseconds(answer.status == 200 ? number * 37 % 200 : 100), ask);
             });
    };
    bool isReady = false;
    deployment.whenReady(Entries, [&] {
        isReady = true;
        for (int i = 0; i < Clients; ++i)
            ask();
        for (int i = 0; i < Versions; ++i) {
            clock.after(seconds(2) + i * VersionInterval, [&, i] {
                for (Machine &it : machines)
                    it.loads = 0;
                frozen = -1;
                deployment.store().put(VersionKey, versionJson(2 + i));
                deployment.record("version " + std::to_string(2 + i) + " is named");
            });
        }
        clock.after(seconds(4) + Versions * VersionInterval, [&] { deployment.stop(); });
    });
    deployment.run(seconds(90));
    int wrong = 0;
    int newest = 0;
    for (const FleetRun &run : ledger.runs) {
        newest += run.version > 1;
        for (const FleetWrongPiece &it : run.wrongPieces) {
            const bool isExcused = it.fault == FleetWrongPiece::Fault::Corrupt
                                   && it.takenAt - it.corruptSince <= Excused;
            if (isExcused)
                continue;
            ++wrong;
            deployment.record("request " + run.attempt + " runs at engine " + run.engine
                              + " with layer " + std::to_string(it.layer) + ", taken "
                              + std::to_string(godwit::toMilliseconds(it.takenAt - it.corruptSince))
                              + " ms after piece " + std::to_string(it.piece) + " had turned bad");
            break;
        }
    }
    if (!isReady || served == 0 || newest == 0 || (deployment.hasTrouble() && frozen < 0))
        return 2;
    return deployment.finish(wrong > 0, std::to_string(wrong)
                                                + " requests ran on a layer that was taken over "
                                                  "3 s after one of its pieces had turned bad; "
                                                + std::to_string(newest)
                                                + " ran on versions after the first in all");
}
