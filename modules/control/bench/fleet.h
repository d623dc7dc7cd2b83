#pragma once

#include "eventqueue.h"
#include "fakestore.h"

#include <godwit/base/random.h>
#include <godwit/control/configurationspread.h>
#include <godwit/control/configurationwriter.h>
#include <godwit/control/membership.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit::bench {

/// Control state machines of N processes in virtual time, connected by a message channel with loss
/// and delay and by one key of a fake key-value service. Messages are encoded and parsed as on the
/// wire, so that byte counts and CPU time are realistic.
class Fleet
{
public:
    struct Settings
    {
        std::size_t members = 10;
        std::size_t zones = 3;
        std::size_t entries = 3;
        double loss = 0;
        Duration minDelay = std::chrono::milliseconds(1);
        Duration maxDelay = std::chrono::milliseconds(10);
        Duration storeDelay = std::chrono::milliseconds(3);
        Duration watchPoll = std::chrono::seconds(5);
        Duration storeTimeout = std::chrono::seconds(1);
        double lostReplies = 0;   ///< Share of writes that take effect but whose reply is lost.
        double lateWrites = 0;    ///< Share of writes that take effect after their timeout.
        std::size_t sessions = 0; ///< Number of sessions from each entry process to hosts.
        std::uint64_t seed = 1;
    };

    struct Process
    {
        std::size_t index = 0;
        std::uint64_t generation = 0;
        HostId host;
        std::size_t zone = 0;
        bool up = false;
        TimePoint pausedUntil;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<ConfigurationDissemination> dissemination;
        bool membersDirty = false;
        bool timerSet = false;
        TimePoint timerAt;
        std::uint64_t watchGeneration = 0;
        std::uint64_t bytesSent = 0;
        std::uint64_t messagesSent = 0;
        std::uint64_t bytesByKind[3] = {0, 0, 0}; ///< By message kind: gossip, pushes, pulls.
    };

    /// Estimated bytes on the wire for each message in addition to its body: HTTP/2 frame headers,
    /// compressed header fields and TCP/IP headers.
    static constexpr std::size_t OverheadBytes = 120;

    explicit Fleet(Settings settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (std::size_t i = 0; i < settings.members; ++i) {
            processes.emplace_back();
            Process &p = processes.back();
            p.index = i;
            p.zone = i % settings.zones;
            p.host = HostId("host-" + std::to_string(i));
        }
        unreachableZones.assign(settings.zones, std::set<std::size_t>());
        for (Process &p : processes)
            startProcess(p);
        if (settings.sessions > 0)
            openSessions();
    }

    ProcessRole roleOf(const Process &p) const
    {
        return p.index < m_settings.entries ? ProcessRole::Entry : ProcessRole::Host;
    }

    /// Starts a new process on the host of \a p in place of the previous one.
    void startProcess(Process &p)
    {
        ++p.generation;
        ++p.watchGeneration;
        p.up = true;
        p.timerSet = false;
        p.pausedUntil = {};
        Member self;
        self.host = p.host;
        self.address = address(p.index);
        self.zone = ZoneId("zone-" + std::to_string(p.zone));
        self.role = roleOf(p);
        const auto ms = static_cast<std::uint64_t>(queue.now().time_since_epoch().count() / 1000);
        self.incarnation.value = ms * RefutationsPerProcess;
        p.membership =
                std::make_unique<Membership>(self, Membership::Settings{}, Random(m_random()));
        p.dissemination = std::make_unique<ConfigurationDissemination>(
                p.host, self.zone, ConfigurationDissemination::Settings{}, Random(m_random()));
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, processes.size()); ++i)
            seeds.push_back(address(i));
        // Membership and dissemination both start with the information from the seeds.
        perform(p, p.membership->start(queue.now(), seeds));
        p.membersDirty = true;
        scheduleTimer(p);
    }

    void stopProcess(Process &p)
    {
        p.up = false;
        ++p.generation;
        ++p.watchGeneration;
    }

    void pause(Process &p, Duration length) { p.pausedUntil = queue.now() + length; }

    void run(Duration length) { queue.runUntil(queue.now() + length); }

    /// Submits \a command through \a p. \a done is called with the result unless the process stops.
    void submit(Process &p, Command command, const std::string &operation,
                std::function<void(const WriteResult &)> done,
                std::optional<Revision> decidedOn = {})
    {
        CommandContext context;
        context.operation = OperationId(operation);
        context.who = "operator";
        context.when = queue.now().time_since_epoch().count() / 1000;
        context.decidedOn = decidedOn;
        context.hosts = p.membership->live(ProcessRole::Host);
        auto job = std::make_shared<WriteJob>();
        job->writer = std::make_unique<ConfigurationWriter>(
                std::move(command), context, p.dissemination->confirmed(),
                ConfigurationWriter::Settings{}, Random(m_random()));
        job->done = std::move(done);
        job->process = p.index;
        job->generation = p.generation;
        performWriter(job, job->writer->start(queue.now()));
    }

    void perform(Process &p, const std::vector<MembershipAction> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *gossip = std::get_if<SendGossip>(&action)) {
                auto message = gossip->message;
                message.configuration = p.dissemination->gossip(queue.now());
                send(p, gossip->address, 0, toJsonText(message));
            } else {
                p.membersDirty = true;
                if (onMemberChanged)
                    onMemberChanged(p, std::get<MemberChanged>(action));
            }
        }
    }

    void perform(Process &p, const std::vector<DisseminationAction> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *push = std::get_if<SendConfigurationPush>(&action)) {
                send(p, addressOf(push->to), 1, toJsonText(*push->message));
            } else if (const auto *pull = std::get_if<SendConfigurationPull>(&action)) {
                send(p, addressOf(pull->to), 2, toJsonText(pull->message));
            } else if (const auto *publish = std::get_if<PublishConfiguration>(&action)) {
                if (onPublish)
                    onPublish(p, *publish->configuration);
            } else if (std::holds_alternative<StartWatch>(action)) {
                startPoll(p.index, ++p.watchGeneration, 0);
            } else {
                ++p.watchGeneration;
            }
        }
    }

    /// True if messages from zone \a from reach zone \a to.
    bool connected(std::size_t from, std::size_t to) const
    {
        return from == to || !unreachableZones[from].contains(to);
    }

    /// Disconnects \a zone from all other zones, or connects it again.
    void partition(std::size_t zone, bool cut)
    {
        for (std::size_t other = 0; other < m_settings.zones; ++other) {
            if (other == zone)
                continue;
            if (cut) {
                unreachableZones[zone].insert(other);
                unreachableZones[other].insert(zone);
            } else {
                unreachableZones[zone].erase(other);
                unreachableZones[other].erase(zone);
            }
        }
    }

    const Settings &settings() const { return m_settings; }
    void setLoss(double loss) { m_settings.loss = loss; }
    Random &random() { return m_random; }

    /// Indexes of entry process and host.
    std::vector<std::pair<std::size_t, std::size_t>> sessionPairs;
    EventQueue queue;
    std::vector<Process> processes;
    /// For each zone, the zones that its messages do not reach.
    std::vector<std::set<std::size_t>> unreachableZones;
    FakeStore store; ///< Located in zone 0.
    bool storeUp = true;
    std::uint64_t watchCalls = 0;
    std::function<void(Process &, const Configuration &)> onPublish;
    std::function<void(Process &, const MemberChanged &)> onMemberChanged;

private:
    struct WriteJob
    {
        std::unique_ptr<ConfigurationWriter> writer;
        std::function<void(const WriteResult &)> done;
        std::size_t process = 0;
        std::uint64_t generation = 0;
    };

    static std::string address(std::size_t index)
    {
        return "10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250 + 1)
               + ":7000";
    }

    std::string addressOf(const HostId &host) const
    {
        return address(std::stoul(host.value().substr(5)));
    }

    static std::size_t indexOf(const std::string &address)
    {
        const auto dot = address.rfind('.');
        const auto before = address.rfind('.', dot - 1);
        return std::stoul(address.substr(before + 1)) * 250 + std::stoul(address.substr(dot + 1))
               - 1;
    }

    Duration delay()
    {
        const auto span =
                static_cast<std::uint64_t>((m_settings.maxDelay - m_settings.minDelay).count() + 1);
        return m_settings.minDelay + Duration(static_cast<std::int64_t>(m_random.below(span)));
    }

    void send(Process &from, const std::string &to, int kind, std::string body)
    {
        from.bytesSent += body.size() + OverheadBytes;
        from.bytesByKind[kind] += body.size() + OverheadBytes;
        ++from.messagesSent;
        const std::size_t target = indexOf(to);
        if (target >= processes.size() || m_random.chance(m_settings.loss)
            || !connected(from.zone, processes[target].zone))
            return;
        queue.after(delay(), [this, source = from.index, target, kind, body = std::move(body)] {
            deliver(source, target, kind, body);
        });
    }

    void deliver(std::size_t source, std::size_t target, int kind, const std::string &body)
    {
        Process &p = processes[target];
        if (!p.up)
            return;
        if (queue.now() < p.pausedUntil) {
            queue.at(p.pausedUntil, [=, this] { deliver(source, target, kind, body); });
            return;
        }
        receive(p, processes[source].host, kind, body);
        scheduleTimer(p);
    }

    void receive(Process &p, const HostId &from, int kind, const std::string &body)
    {
        const TimePoint now = queue.now();
        if (kind == 0) {
            const auto message = capture([&] { return parseJson<GossipMessage>(body); });
            if (!succeeded(message))
                return;
            perform(p, p.membership->onMessage(now, std::get<0>(message)));
            perform(p, p.dissemination->onGossip(now, from, std::get<0>(message).configuration));
        } else if (kind == 1) {
            const auto push = capture([&] { return parseJson<ConfigurationPush>(body); });
            if (succeeded(push))
                perform(p, p.dissemination->onPush(now, from, std::get<0>(push)));
        } else {
            const auto pull = capture([&] { return parseJson<ConfigurationPull>(body); });
            if (succeeded(pull))
                perform(p, p.dissemination->onPull(now, from, std::get<0>(pull)));
        }
    }

    void scheduleTimer(Process &p)
    {
        TimePoint next = p.membership->nextTimer();
        if (const auto dissemination = p.dissemination->nextTimer())
            next = std::min(next, *dissemination);
        // Changes of members are passed on in batches after this time.
        if (p.membersDirty)
            next = std::min(next, queue.now() + std::chrono::milliseconds(100));
        next = std::max(next, queue.now());
        if (p.timerSet && p.timerAt <= next)
            return;
        p.timerSet = true;
        p.timerAt = next;
        queue.at(next, [this, next, index = p.index, generation = p.generation] {
            if (processes[index].timerAt == next)
                tick(index, generation);
        });
    }

    void tick(std::size_t index, std::uint64_t generation)
    {
        Process &p = processes[index];
        if (!p.up || p.generation != generation || !p.timerSet)
            return;
        if (queue.now() < p.pausedUntil) {
            queue.at(p.pausedUntil, [this, index, generation] { tick(index, generation); });
            return;
        }
        p.timerSet = false;
        const TimePoint now = queue.now();
        if (p.membership->nextTimer() <= now)
            perform(p, p.membership->onTimer(now));
        if (std::exchange(p.membersDirty, false))
            perform(p,
                    p.dissemination->onMembers(now, p.membership->live(), p.membership->known()));
        perform(p, p.dissemination->onTimer(now));
        scheduleTimer(p);
    }

    bool reachesStore(const Process &p) const { return storeUp && connected(p.zone, 0); }

    /// Long poll: returns when the store revision of the key has changed, or after watchPoll.
    void startPoll(std::size_t index, std::uint64_t generation, std::uint64_t seen)
    {
        Process &p = processes[index];
        if (!p.up || p.watchGeneration != generation)
            return;
        ++watchCalls;
        const TimePoint end = queue.now() + m_settings.watchPoll;
        queue.after(m_settings.storeDelay, [=, this] { checkPoll(index, generation, seen, end); });
    }

    void checkPoll(std::size_t index, std::uint64_t generation, std::uint64_t seen, TimePoint end)
    {
        Process &p = processes[index];
        if (!p.up || p.watchGeneration != generation)
            return;
        if (!reachesStore(p)) {
            queue.after(std::chrono::seconds(1), [=, this] { startPoll(index, generation, seen); });
            return;
        }
        if (store.revision() == seen && queue.now() < end) {
            queue.after(std::chrono::milliseconds(20),
                        [=, this] { checkPoll(index, generation, seen, end); });
            return;
        }
        const std::uint64_t calls = store.calls;
        StorageReply reply = store.read();
        store.calls = calls; // The poll is already counted in watchCalls.
        if (reply.storedRevision == seen && seen != 0)
            reply.value.clear();
        queue.after(m_settings.storeDelay, [=, this] {
            Process &q = processes[index];
            if (!q.up || q.watchGeneration != generation)
                return;
            if (queue.now() >= q.pausedUntil) {
                perform(q, q.dissemination->onWatch(queue.now(), reply));
                scheduleTimer(q);
            }
            startPoll(index, generation,
                      queue.now() >= q.pausedUntil ? reply.storedRevision : seen);
        });
    }

    void performWriter(const std::shared_ptr<WriteJob> &job,
                       const std::vector<WriterAction> &actions)
    {
        Process &p = processes[job->process];
        for (const auto &action : actions) {
            if (const auto *read = std::get_if<ReadConfiguration>(&action)) {
                storeRead(job, read->call);
            } else if (const auto *write = std::get_if<WriteConfiguration>(&action)) {
                storeWrite(job, *write);
            } else if (const auto *wake = std::get_if<WakeWriter>(&action)) {
                wakeAt(job, wake->at);
            } else {
                const auto &result = std::get<FinishWrite>(action).result;
                if (result.stored && result.decision == WriteDecision::Accepted)
                    perform(p, p.dissemination->onStored(queue.now(), result.stored));
                job->done(result);
            }
        }
    }

    bool isCurrent(const std::shared_ptr<WriteJob> &job) const
    {
        const Process &p = processes[job->process];
        return p.up && p.generation == job->generation;
    }

    void wakeAt(const std::shared_ptr<WriteJob> &job, TimePoint at)
    {
        queue.at(at, [=, this] {
            if (!isCurrent(job))
                return;
            if (queue.now() < processes[job->process].pausedUntil)
                wakeAt(job, processes[job->process].pausedUntil);
            else
                performWriter(job, job->writer->onTimer(queue.now()));
        });
    }

    void reply(const std::shared_ptr<WriteJob> &job, std::uint64_t call, bool isWrite,
               const StorageReply &reply, Duration after)
    {
        queue.at(std::max(queue.now() + after, processes[job->process].pausedUntil), [=, this] {
            if (!isCurrent(job))
                return;
            performWriter(job, isWrite ? job->writer->onWrite(queue.now(), call, reply)
                                       : job->writer->onRead(queue.now(), call, reply));
        });
    }

    void storeRead(const std::shared_ptr<WriteJob> &job, std::uint64_t call)
    {
        queue.after(m_settings.storeDelay, [=, this] {
            if (!reachesStore(processes[job->process])) {
                reply(job, call, false, {StorageStatus::Unreachable, 0, {}}, m_settings.storeDelay);
                return;
            }
            reply(job, call, false, store.read(), m_settings.storeDelay);
        });
    }

    void storeWrite(const std::shared_ptr<WriteJob> &job, const WriteConfiguration &write)
    {
        const bool late = m_random.chance(m_settings.lateWrites);
        const bool lost = late || m_random.chance(m_settings.lostReplies);
        const Duration latency =
                late ? m_settings.storeTimeout
                                + Duration(static_cast<std::int64_t>(m_random.below(3'000'000)))
                     : m_settings.storeDelay;
        if (lost)
            reply(job, write.call, true, {StorageStatus::Timeout, 0, {}}, m_settings.storeTimeout);
        queue.after(latency, [=, this] {
            if (!storeUp || !connected(processes[job->process].zone, 0)) {
                if (!lost)
                    reply(job, write.call, true, {StorageStatus::Unreachable, 0, {}},
                          m_settings.storeDelay);
                return;
            }
            const StorageReply result = store.write(write.expected, write.value);
            if (!lost)
                reply(job, write.call, true, result, m_settings.storeDelay);
        });
    }

    /// Opens sessions between entry processes and hosts: a heartbeat every 500 ms over TCP, where a
    /// lost packet adds 200 ms, and silence after 1.5 s.
    void openSessions()
    {
        for (std::size_t entry = 0; entry < m_settings.entries; ++entry) {
            for (std::size_t i = 0; i < m_settings.sessions; ++i) {
                const std::size_t hosts = processes.size() - m_settings.entries;
                const std::size_t host =
                        m_settings.entries + (entry * m_settings.sessions + i) % hosts;
                sessionPairs.emplace_back(entry, host);
                m_lastHeartbeat.push_back(queue.now());
                const auto phase = Duration(static_cast<std::int64_t>(m_random.below(500'000)));
                queue.after(phase, [this, id = sessionPairs.size() - 1] { heartbeat(id); });
            }
        }
    }

    void heartbeat(std::size_t id)
    {
        const auto [entry, host] = sessionPairs[id];
        Process &a = processes[entry];
        Process &b = processes[host];
        const bool joined = connected(a.zone, b.zone) && connected(b.zone, a.zone);
        if (a.up && b.up && joined && queue.now() >= b.pausedUntil) {
            Duration latency = delay() + delay();
            while (m_random.chance(m_settings.loss * 2))
                latency += std::chrono::milliseconds(200);
            queue.after(latency, [this, id] {
                m_lastHeartbeat[id] = queue.now();
                const auto [from, to] = sessionPairs[id];
                reportTraffic(from, to, TrafficEvidence::Heard);
                reportTraffic(to, from, TrafficEvidence::Heard);
            });
        }
        if (a.up && queue.now() - m_lastHeartbeat[id] > std::chrono::milliseconds(1500))
            reportTraffic(entry, host, TrafficEvidence::Silent);
        queue.after(std::chrono::milliseconds(500), [this, id] { heartbeat(id); });
    }

    void reportTraffic(std::size_t at, std::size_t about, TrafficEvidence evidence)
    {
        Process &p = processes[at];
        if (!p.up || queue.now() < p.pausedUntil)
            return;
        perform(p, p.membership->onTraffic(queue.now(), processes[about].host, evidence));
        scheduleTimer(p);
    }

    Settings m_settings;
    Random m_random;
    std::vector<TimePoint> m_lastHeartbeat; ///< Time of the last heartbeat of each session.
};

} // namespace godwit::bench
