#pragma once

#include "fleet.h"

#include <godwit/control/authorlease.h>
#include <godwit/control/orderreconciler.h>
#include <godwit/control/placementrepair.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit::bench {

/// Findings of one run. If the lists are empty, all guarantees held.
struct FaultReport
{
    /// Revisions that decreased, or accepted changes that were lost.
    std::vector<std::string> reverts;
    std::vector<std::string> torn;    ///< Documents that took effect without having been stored.
    std::vector<std::string> authors; ///< Orders of two processes that one engine obeyed.
    /// Changes not in effect, engines not repaired or commands not decided after the end of the
    /// faults.
    std::vector<std::string> late;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t undecided = 0;
    std::uint64_t orders = 0;
    std::uint64_t repairs = 0;

    bool failed() const
    {
        return !reverts.empty() || !torn.empty() || !authors.empty() || !late.empty();
    }
};

/// Tests dissemination and writers of a small fleet under concurrent operators, pauses, lost and
/// late replies, outages, partitions, and crashes and replacements of processes.
class ConfigurationFaultRun
{
public:
    explicit ConfigurationFaultRun(std::uint64_t seed)
        : m_random(seed * 2 + 1)
        , m_fleet(settings(seed))
    {
        m_fleet.onPublish = [this](Fleet::Process &p, const Configuration &c) { published(p, c); };
        for (std::size_t i = 0; i < m_fleet.settings().entries; ++i)
            createRepair(i);
        repairTick();
    }

    FaultReport run()
    {
        m_fleet.run(std::chrono::seconds(6));
        prepare();
        const TimePoint end = m_fleet.queue.now() + std::chrono::seconds(40);
        while (m_fleet.queue.now() < end) {
            injectFault();
            m_fleet.run(Duration(static_cast<std::int64_t>(200'000 + m_random.below(1'800'000))));
        }
        heal();
        check();
        return m_report;
    }

private:
    struct Operation
    {
        Command command;
        std::optional<Revision> decidedOn;
        std::optional<WriteResult> result;
        std::size_t submissions = 0;
    };

    static Fleet::Settings settings(std::uint64_t seed)
    {
        Fleet::Settings settings;
        Random random(seed);
        settings.members = 8;
        settings.zones = 3;
        settings.entries = 3;
        settings.loss = random.uniform() * 0.05;
        settings.lostReplies = 0.1;
        settings.lateWrites = 0.05;
        settings.seed = seed;
        return settings;
    }

    Duration seconds(std::uint64_t from, std::uint64_t to)
    {
        return Duration(static_cast<std::int64_t>(from * 1'000'000
                                                  + m_random.below((to - from) * 1'000'000)));
    }

    void published(Fleet::Process &p, const Configuration &c)
    {
        auto &last = m_lastPublished[{p.index, p.generation}];
        if (c.revision <= last)
            m_report.reverts.push_back("process " + std::to_string(p.index) + " went from "
                                       + std::to_string(last.value) + " to "
                                       + std::to_string(c.revision.value));
        last = c.revision;
        const auto &history = m_fleet.store.history;
        if (c.revision.value > history.size() || history[c.revision.value - 1] != toJsonText(c))
            m_report.torn.push_back("process " + std::to_string(p.index) + " at revision "
                                    + std::to_string(c.revision.value));
        if (p.index < m_repairs.size() && m_repairs[p.index])
            m_repairs[p.index]->onConfiguration(m_fleet.queue.now(),
                                                std::make_shared<const Configuration>(c));
    }

    void createRepair(std::size_t index)
    {
        PlacementRepair::Settings settings;
        settings.repairDelay = std::chrono::seconds(8);
        settings.retryDelay = std::chrono::seconds(3);
        m_repairs.resize(std::max(m_repairs.size(), index + 1));
        m_repairs[index] = std::make_unique<PlacementRepair>(m_fleet.processes[index].host,
                                                             settings, Random(m_random()));
    }

    void repairTick()
    {
        const TimePoint now = m_fleet.queue.now();
        for (std::size_t i = 0; i < m_repairs.size(); ++i) {
            Fleet::Process &p = m_fleet.processes[i];
            if (!p.up || now < p.pausedUntil)
                continue;
            m_repairs[i]->onMembers(now, p.membership->live(ProcessRole::Entry),
                                    p.membership->live(ProcessRole::Host));
            const bool safe =
                    p.dissemination->staleness(now).isSafe(ControlAction::RepairPlacement);
            for (auto &submit : m_repairs[i]->onTimer(now, safe))
                submitOperation(p, submit.operation.value(), submit.command, {}, true);
        }
        m_fleet.queue.after(std::chrono::milliseconds(500), [this] { repairTick(); });
    }

    void submitOperation(Fleet::Process &p, const std::string &id, const Command &command,
                         std::optional<Revision> decidedOn, bool repair = false)
    {
        auto &operation = m_operations[id];
        operation.command = command;
        operation.decidedOn = decidedOn;
        ++operation.submissions;
        m_fleet.submit(
                p, command, id,
                [this, id, repair](const WriteResult &result) {
                    m_operations[id].result = result;
                    m_report.accepted += result.decision == WriteDecision::Accepted ? 1 : 0;
                    m_report.refused += result.decision == WriteDecision::Refused ? 1 : 0;
                    m_report.undecided += result.decision == WriteDecision::Undecided ? 1 : 0;
                    m_report.repairs +=
                            repair && result.decision == WriteDecision::Accepted ? 1 : 0;
                },
                decidedOn);
    }

    void prepare()
    {
        const DeploymentId d("d");
        const ModelId m("m");
        const std::vector<Command> commands{
                CreateDeployment{d, {}}, CreateModel{m, d},
                CreateVersion{m, {}, VersionId("v1"), {Digest::of("1"), 1}},
                LoadModel{d, m, {}, VersionId("v1"), 2, {}}};
        for (std::size_t i = 0; i < commands.size(); ++i) {
            submitOperation(m_fleet.processes[0], "prepare" + std::to_string(i), commands[i], {});
            m_fleet.run(std::chrono::milliseconds(2500));
        }
    }

    Fleet::Process &entry()
    {
        return m_fleet.processes[m_random.below(m_fleet.settings().entries)];
    }

    void injectFault()
    {
        auto &any = m_fleet.processes[m_random.below(m_fleet.processes.size())];
        switch (m_random.below(9)) {
        case 0:
            m_fleet.pause(any, seconds(1, 15));
            break;
        case 1:
            if (any.up)
                m_fleet.stopProcess(any);
            m_fleet.queue.after(seconds(0, 12), [this, index = any.index] { restart(index); });
            break;
        case 2:
            m_fleet.storeUp = false;
            m_fleet.queue.after(seconds(1, 15), [this] { m_fleet.storeUp = true; });
            break;
        case 3: {
            const std::size_t zone = m_random.below(m_fleet.settings().zones);
            m_fleet.partition(zone, true);
            m_fleet.queue.after(seconds(1, 15), [this, zone] { m_fleet.partition(zone, false); });
            break;
        }
        default:
            submitConflicting();
        }
    }

    void restart(std::size_t index)
    {
        Fleet::Process &p = m_fleet.processes[index];
        if (p.up)
            return;
        if (index < m_repairs.size())
            createRepair(index);
        m_fleet.startProcess(p);
    }

    /// Submits concurrent commands for the same object; some carry the revision on which they are
    /// based.
    void submitConflicting()
    {
        const HostId host("x" + std::to_string(m_random.below(2)));
        const std::uint64_t operators = 1 + m_random.below(3);
        for (std::uint64_t i = 0; i < operators; ++i) {
            Fleet::Process &p = entry();
            if (!p.up || m_fleet.queue.now() < p.pausedUntil)
                continue;
            const Command command =
                    m_random.chance(0.5) ? Command(DrainHost{host}) : Command(ReturnHost{host});
            std::optional<Revision> seen;
            if (m_random.chance(0.5))
                seen = p.dissemination->applied();
            submitOperation(p, "op" + std::to_string(m_nextOperation++), command, seen);
        }
    }

    void heal()
    {
        m_fleet.storeUp = true;
        for (std::size_t zone = 0; zone < m_fleet.settings().zones; ++zone)
            m_fleet.partition(zone, false);
        for (auto &p : m_fleet.processes) {
            p.pausedUntil = std::min(p.pausedUntil, m_fleet.queue.now());
            restart(p.index);
        }
        m_fleet.run(std::chrono::seconds(16)); // Lets faults that are still scheduled end.
        for (auto &[id, operation] : m_operations) {
            if (!operation.result || operation.result->decision == WriteDecision::Undecided)
                submitOperation(m_fleet.processes[0], id, operation.command, operation.decidedOn);
        }
        m_fleet.run(std::chrono::seconds(20));
    }

    /// Returns the revision at which each operation was stored.
    std::map<std::string, std::uint64_t> storedOperations()
    {
        std::map<std::string, std::uint64_t> found;
        std::uint64_t expected = 0;
        for (const std::string &text : m_fleet.store.history) {
            const auto parsed = capture([&] { return parseConfiguration(text); });
            if (!succeeded(parsed) || std::get<0>(parsed).revision.value != ++expected) {
                m_report.reverts.push_back("stored revision " + std::to_string(expected)
                                           + " is not a document that follows");
                return found;
            }
            for (const auto &[id, record] : std::get<0>(parsed).operations) {
                const auto [it, fresh] = found.emplace(id.value(), record.revision.value);
                if (!fresh && it->second != record.revision.value)
                    m_report.reverts.push_back("operation " + id.value() + " applied twice");
            }
        }
        return found;
    }

    void check()
    {
        const auto stored = storedOperations();
        for (const auto &[id, operation] : m_operations) {
            const auto it = stored.find(id);
            if (!operation.result || operation.result->decision == WriteDecision::Undecided) {
                m_report.late.push_back("operation " + id + " is not decided");
                continue;
            }
            const bool accepted = operation.result->decision == WriteDecision::Accepted;
            if (accepted && (it == stored.end() || it->second != operation.result->revision.value))
                m_report.reverts.push_back("accepted operation " + id + " is not stored");
            if (!accepted && it != stored.end())
                m_report.reverts.push_back("refused operation " + id + " is stored");
        }
        const std::uint64_t newest = m_fleet.store.history.size();
        for (auto &p : m_fleet.processes) {
            if (p.dissemination->applied().value != newest)
                m_report.late.push_back("process " + std::to_string(p.index) + " is at revision "
                                        + std::to_string(p.dissemination->applied().value) + " of "
                                        + std::to_string(newest));
        }
    }

    Random m_random;
    Fleet m_fleet;
    FaultReport m_report;
    std::vector<std::unique_ptr<PlacementRepair>> m_repairs;
    std::map<std::pair<std::size_t, std::uint64_t>, Revision> m_lastPublished;
    std::map<std::string, Operation> m_operations;
    std::uint64_t m_nextOperation = 0;
};

/// Processes of one host, consecutive or overlapping, that send orders to two engines: one checks
/// fencing numbers, the other does not.
class AuthorFaultRun
{
public:
    /// Even seeds run one process at a time; with odd seeds a paused process may resume while its
    /// replacement runs. In half of the runs both engines check fencing numbers, so that no process
    /// waits for the lease of the previous one.
    explicit AuthorFaultRun(std::uint64_t seed)
        : m_random(seed)
        , m_overlap(seed % 2 == 1)
        , m_outage(seed % 4 < 2 ? OutageOrders::Stop : OutageOrders::Continue)
    {
        m_lease.waitsForPreviousLease = seed % 8 < 4;
        if (!m_lease.waitsForPreviousLease)
            m_engines[1].checksFencing = true;
    }

    FaultReport run()
    {
        startProcess();
        const TimePoint end = m_queue.now() + std::chrono::seconds(150);
        while (m_queue.now() < end) {
            injectFault();
            m_queue.runUntil(m_queue.now() + seconds(1, 8));
        }
        m_storeUp = true;
        m_queue.runUntil(m_queue.now() + std::chrono::seconds(60));
        checkEnd();
        return m_report;
    }

private:
    struct Engine
    {
        bool checksFencing = false;
        ObservedEngine state;
        FencingNumber highest;
        FencingNumber lastObeyed;
        std::map<FencingNumber, std::size_t> authors;
    };

    struct Process
    {
        std::size_t id = 0;
        bool up = true;
        TimePoint pausedUntil;
        std::unique_ptr<AuthorLease> lease;
        std::vector<std::unique_ptr<OrderReconciler>> reconcilers;
    };

    Duration seconds(std::uint64_t from, std::uint64_t to)
    {
        return Duration(static_cast<std::int64_t>(from * 1'000'000
                                                  + m_random.below((to - from) * 1'000'000)));
    }

    DesiredEngine desired(const Engine &engine) const
    {
        DesiredEngine desired;
        desired.loads.insert({ModelId("m"), {}, VersionId("v" + std::to_string(m_version))});
        desired.checksFencing = engine.checksFencing;
        desired.outageOrders = m_outage;
        return desired;
    }

    void startProcess()
    {
        auto p = std::make_unique<Process>();
        p->id = m_processes.size();
        p->lease = std::make_unique<AuthorLease>("process-" + std::to_string(p->id), m_lease,
                                                 Random(m_random()));
        for (std::size_t i = 0; i < m_engines.size(); ++i)
            p->reconcilers.push_back(std::make_unique<OrderReconciler>(OrderReconciler::Settings{},
                                                                       Random(m_random())));
        m_processes.push_back(std::move(p));
        Process &process = *m_processes.back();
        perform(process, process.lease->start(m_queue.now()));
        tick(process);
    }

    void injectFault()
    {
        ++m_version;
        Process &newest = *m_processes.back();
        switch (m_random.below(5)) {
        // A pause, in some cases longer than the lease; a replacement may start meanwhile.
        case 0:
            newest.pausedUntil = m_queue.now() + seconds(1, 30);
            if (m_overlap && m_random.chance(0.7))
                m_queue.after(seconds(0, 5), [this] { startProcess(); });
            break;
        case 1:
            newest.up = false;
            m_queue.after(std::chrono::milliseconds(100) + seconds(0, 3),
                          [this] { startProcess(); });
            m_queue.runUntil(m_queue.now() + std::chrono::seconds(4));
            break;
        case 2:
            m_storeUp = false;
            m_queue.after(seconds(2, 30), [this] { m_storeUp = true; });
            break;
        case 3:
            m_lossyUntil = m_queue.now() + seconds(2, 10);
            break;
        default:
            break;
        }
    }

    void tick(Process &p)
    {
        if (!p.up)
            return;
        if (m_queue.now() < p.pausedUntil) {
            m_queue.at(p.pausedUntil, [this, &p] { tick(p); });
            return;
        }
        const TimePoint now = m_queue.now();
        bool wanted = false;
        // Orders come before the lease timer, since a resumed process may act before its timers
        // have run.
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            p.reconcilers[i]->onDesired(now, desired(m_engines[i]));
            perform(p, i, p.reconcilers[i]->onTimer(now, *p.lease));
            wanted = wanted || p.reconcilers[i]->needsLease();
        }
        perform(p, p.lease->onTimer(now));
        perform(p, p.lease->setOrdersPending(now, wanted));
        m_queue.after(std::chrono::milliseconds(250), [this, &p] { tick(p); });
    }

    /// Runs \a run in \a p after \a delay, and not while \a p is paused.
    template <typename Function>
    void runInProcess(Process &p, Duration delay, Function run)
    {
        m_queue.at(std::max(m_queue.now() + delay, p.pausedUntil), [this, &p, run] {
            if (!p.up)
                return;
            if (m_queue.now() < p.pausedUntil)
                runInProcess(p, Duration(0), run);
            else
                run();
        });
    }

    void perform(Process &p, const std::vector<LeaseAction> &actions)
    {
        for (const auto &action : actions) {
            const Duration latency =
                    Duration(static_cast<std::int64_t>(1000 + m_random.below(5000)));
            const bool lossy = m_queue.now() < m_lossyUntil;
            if (const auto *read = std::get_if<ReadAuthor>(&action)) {
                m_queue.after(latency, [this, &p, call = read->call, latency] {
                    const StorageReply reply =
                            m_storeUp ? m_store.read()
                                      : StorageReply{StorageStatus::Unreachable, 0, {}};
                    runInProcess(p, latency, [this, &p, call, reply] {
                        perform(p, p.lease->onRead(m_queue.now(), call, reply));
                    });
                });
                continue;
            }
            const auto write = std::get<WriteAuthor>(action);
            const bool lost = lossy && m_random.chance(0.5);
            const Duration late = lossy && m_random.chance(0.3) ? seconds(0, 4) : Duration(0);
            m_queue.after(latency + late, [this, &p, write, latency, lost] {
                const StorageReply reply =
                        m_storeUp ? m_store.write(write.expected, write.value)
                                  : StorageReply{StorageStatus::Unreachable, 0, {}};
                if (!lost)
                    runInProcess(p, latency, [this, &p, call = write.call, reply] {
                        perform(p, p.lease->onWrite(m_queue.now(), call, reply));
                    });
            });
        }
    }

    void perform(Process &p, std::size_t engine, const std::vector<ReconcilerAction> &actions)
    {
        for (const auto &action : actions) {
            if (std::holds_alternative<ReadEngine>(action)) {
                const ObservedEngine state = m_engines[engine].state;
                runInProcess(p, std::chrono::milliseconds(5), [this, &p, engine, state] {
                    p.reconcilers[engine]->onState(m_queue.now(), state);
                });
                continue;
            }
            ++m_report.orders;
            // With overlapping processes an order may arrive late. A single process runs next to
            // the engine, and its connections end with it.
            const Duration latency =
                    m_overlap ? seconds(0, 2) : Duration(std::chrono::milliseconds(20));
            const auto order = std::get<SendEngineOrder>(action).order;
            m_queue.after(latency, [this, &p, engine, order] { deliverOrder(p, engine, order); });
        }
    }

    void deliverOrder(Process &p, std::size_t index, const ModelOrder &order)
    {
        Engine &engine = m_engines[index];
        const bool stale = order.fencing < engine.highest;
        const bool obey = !(engine.checksFencing && stale);
        engine.highest = std::max(engine.highest, order.fencing);
        if (obey) {
            const bool guaranteed =
                    engine.checksFencing || !m_overlap || m_outage == OutageOrders::Stop;
            if (order.fencing < engine.lastObeyed && guaranteed)
                m_report.authors.push_back("engine " + std::to_string(index) + " obeyed "
                                           + std::to_string(order.fencing.value) + " after "
                                           + std::to_string(engine.lastObeyed.value));
            engine.lastObeyed = std::max(engine.lastObeyed, order.fencing);
            const auto [author, fresh] = engine.authors.emplace(order.fencing, p.id);
            if (!fresh && author->second != p.id)
                m_report.authors.push_back("two processes have fencing number "
                                           + std::to_string(order.fencing.value));
            applyOrder(engine, order);
        }
        runInProcess(p, std::chrono::milliseconds(100), [this, &p, index, obey] {
            p.reconcilers[index]->onOrderDone(m_queue.now(), obey);
        });
    }

    static void applyOrder(Engine &engine, const ModelOrder &order)
    {
        if (order.kind == ModelOrderKind::SwitchRole)
            engine.state.role = order.role;
        std::erase_if(engine.state.loads, [&](const LoadedModel &load) {
            return order.kind != ModelOrderKind::SwitchRole && load.model == order.item.model
                   && load.adapter == order.item.adapter;
        });
        if (order.kind == ModelOrderKind::Load)
            engine.state.loads.insert(order.item);
    }

    void checkEnd()
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines[i].state.loads != desired(m_engines[i]).loads)
                m_report.late.push_back("engine " + std::to_string(i)
                                        + " is not in its desired state");
        }
    }

    Random m_random;
    bool m_overlap;
    AuthorLease::Settings m_lease;
    OutageOrders m_outage;
    EventQueue m_queue;
    FakeStore m_store;
    bool m_storeUp = true;
    TimePoint m_lossyUntil;
    std::uint64_t m_version = 1;
    std::vector<Engine> m_engines{Engine{true, {}, {}, {}, {}}, Engine{}};
    std::vector<std::unique_ptr<Process>> m_processes;
    FaultReport m_report;
};

} // namespace godwit::bench
