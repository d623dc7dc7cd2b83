#include "faultrun.h"

#include <godwit/base/random.h>
#include <godwit/requests/peerclock.h>
#include <godwit/requests/requesttracker.h>
#include <godwit/requests/slothost.h>
#include <godwit/requests/slotrouter.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>

namespace godwit::test {

namespace {

using namespace std::chrono_literals;

constexpr int Entries = 2;
constexpr int Hosts = 3;
constexpr int KeyValue = Entries + Hosts;
constexpr int Nodes = KeyValue + 1;
constexpr int Callers = 18;
constexpr Duration RunTime = 120s;
constexpr Duration FaultsUntil = 45s;
constexpr Duration EntryTick = 50ms;
constexpr Duration HostTick = 25ms;
constexpr Duration Heartbeat = 500ms;
constexpr Duration SilentAfter = 1500ms;
constexpr Duration CallTime = 8s;
constexpr Duration ResendFor = 25s;
constexpr std::size_t ResponseLength = 160;
constexpr int Chunks = 4;
const DeploymentId Deployment("bookings");
const WallTime WallStart(std::chrono::seconds(1'800'000'000));

HostId hostName(int host)
{
    return HostId("h" + std::to_string(host));
}

int hostNumber(const HostId &host)
{
    return host.value()[1] - '0';
}

/// The response of an idempotent request, which a resumed stream reproduces.
std::string responseOf(const RequestId &request, const VersionId &version)
{
    std::string text;
    for (int i = 0; text.size() < ResponseLength; ++i)
        text += request.value() + '/' + version.value() + '/' + std::to_string(i) + ' ';
    text.resize(ResponseLength);
    return text;
}

Pin pinOf(int version)
{
    return {ModelId("m"), AdapterId(), VersionId("v" + std::to_string(version))};
}

struct Process
{
    bool isAlive = true;
    bool isPaused = false;
    std::uint64_t incarnation = 1;
    double rate = 1.0;
    Duration offset{0};
    Duration skew{0};
    std::vector<std::function<void()>> backlog;
};

struct Host
{
    std::unique_ptr<AttemptTable> attempts;
    std::unique_ptr<SlotHost> slots;
    int version = 1;
    std::uint64_t backendGeneration = 1;
};

/// One request at an entry.
struct Call
{
    explicit Call(RequestTracker::Spec spec)
        : tracker(std::move(spec))
    {}

    RequestTracker tracker;
    int caller = 0;
    int entry = 0;
    bool isExtra = false; ///< Sent beside another call of the same caller.
    IdempotencyKey key;
    Digest body;
    std::string text;
    struct Sent
    {
        int host = 0;
        AttemptTerms terms;
        TimePoint at;
    };
    std::map<AttemptKey, Sent> sent;
};

struct Entry
{
    SlotRouter router;
    std::array<PeerClock, Hosts> clocks;
    std::array<TimePoint, Hosts> heardAt{};
    std::map<RequestId, std::unique_ptr<Call>> calls;
};

struct Caller
{
    IdempotencyKey key; ///< Empty: idempotent request.
    int sends = 0;
    int entry = 0;
    Duration firstSentAt{0};
    bool isDone = false;
    bool isAnswered = false;
};

struct Execution
{
    RequestId request;
    Duration at;
};

struct Stored
{
    std::uint64_t revision = 0;
    std::string value;
};

class FaultRun
{
public:
    FaultRun(std::uint64_t seed, const SlotSettings &settings);
    FaultRunResult run();

private:
    // Virtual time and the message channel.
    void after(Duration delay, std::function<void()> function);
    void inProcess(int node, Duration delay, std::function<void()> function);
    void deliver(int node, std::function<void()> function);
    void send(int from, int to, std::function<void()> function);
    Instant clock(int node) const;
    Duration between(Duration from, Duration to);

    // Faults.
    void planFaults();
    void injectFault();
    void kill(int node, Duration downFor);
    void pause(int node, Duration span);
    void cut(int from, int to, Duration span);
    void partition(Duration span);
    void misjudgeHost(int gone, Duration span);
    void crashBackend(int host);

    // Hosts.
    void startHost(int host);
    void tickHost(int host);
    void heartbeat(int host);
    void apply(int host, SlotActions actions);
    void dispatch(int host, const SlotDispatch &order);
    void backendRun(int host, const IdempotencyKey &key, const RequestId &request);
    void receiveRun(int host, const Call &call, const AttemptKey &key, const AttemptTerms &terms,
                    std::uint64_t resumeAt);
    void runIdempotent(int host, const AttemptKey &key, const AttemptTerms &terms, const Pin &pin,
                       std::uint64_t resumeAt);
    void streamChunk(int host, const AttemptKey &key, std::uint64_t generation, std::size_t at);
    void finishStream(int host, const AttemptKey &key, std::uint64_t generation);
    void receiveWithdraw(int host, const AttemptKey &key, const IdempotencyKey &idempotencyKey,
                         const AttemptTerms &terms);
    void replyToEntry(int host, const AttemptKey &key, ResultCode code, RunState state,
                      const Pin &pin, std::string body, std::uint64_t length);

    // Key-value service.
    void callStorage(int host, const SlotStorageCall &call);
    SlotStorageReply execute(const SlotStorageCall &call);

    // Entries.
    void startEntry(int entry);
    void tickEntry(int entry);
    void startAttempt(int entry, const RequestId &request);
    void handle(Call &call, RequestTracker::Actions actions);
    Call *callOf(const RequestId &request);

    // Callers.
    void sendCall(int caller);
    void open(int caller, int entry, bool isExtra);
    void resend(int caller);
    void answered(Call &call, const RequestTracker::FinalResponse &final);
    void checkResponse(const Call &call);
    void checkNotRun(const Call &call, const RequestTracker::FinalResponse &final);
    void problem(std::uint64_t &counter, const std::string &what);
    void checkEnd();

    Random m_random;
    SlotSettings m_settings;
    FaultRunResult m_result;
    Duration m_now{0};
    std::uint64_t m_sequence = 0;
    struct Event
    {
        Duration at;
        std::uint64_t sequence;
        std::function<void()> function;
        bool operator<(const Event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };
    std::priority_queue<Event> m_events;

    double m_loss = 0;
    double m_duplication = 0;
    double m_slow = 0;
    double m_replyLoss = 0;
    std::array<Process, Nodes> m_processes;
    std::array<std::array<Duration, Nodes>, Nodes> m_cutUntil{};
    Duration m_storageDownUntil{0};
    Duration m_storageSlowUntil{0};
    bool m_storageSwallows = false;
    int m_version = 1;

    std::array<Host, Hosts> m_hosts;
    std::array<Entry, Entries> m_entries;
    std::array<Caller, Callers> m_callers;
    std::map<std::string, Stored> m_storage;
    std::uint64_t m_revision = 0;
    std::uint64_t m_nextRequest = 1;
    std::map<RequestId, int> m_entryOf;
    struct OpenCall
    {
        Duration deadline;
        int caller = 0;
        bool isExtra = false;
    };
    std::map<RequestId, OpenCall> m_openCalls; ///< Without a final response.
    std::map<IdempotencyKey, std::vector<Execution>> m_ledger;
    std::map<RequestId, int> m_executions;
};

FaultRun::FaultRun(std::uint64_t seed, const SlotSettings &settings)
    : m_random(seed)
    , m_settings(settings)
{
    const auto rate = [&](double chance, double most) {
        return m_random.chance(chance) ? m_random.uniform() * most : 0.0;
    };
    m_loss = rate(0.5, 0.1);
    m_duplication = rate(0.5, 0.2);
    m_slow = rate(0.5, 0.1);
    m_replyLoss = rate(0.5, 0.2);
    for (Process &process : m_processes) {
        process.rate = 0.95 + 0.1 * m_random.uniform();
        process.offset = between(1'000s, 100'000s);
        process.skew = between(-90ms, 90ms);
    }
}

FaultRunResult FaultRun::run()
{
    for (int entry = 0; entry < Entries; ++entry)
        startEntry(entry);
    for (int host = 0; host < Hosts; ++host)
        startHost(host);
    for (int caller = 0; caller < Callers; ++caller) {
        m_callers[caller].entry = static_cast<int>(m_random.below(Entries));
        after(between(2s, FaultsUntil), [this, caller] { sendCall(caller); });
    }
    planFaults();
    while (!m_events.empty() && m_events.top().at <= RunTime) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.function();
    }
    checkEnd();
    return m_result;
}

void FaultRun::after(Duration delay, std::function<void()> function)
{
    m_events.push({m_now + delay, m_sequence++, std::move(function)});
}

/// Timer of the current process of \a node; it dies with the process.
void FaultRun::inProcess(int node, Duration delay, std::function<void()> function)
{
    const std::uint64_t incarnation = m_processes[node].incarnation;
    after(delay, [this, node, incarnation, function = std::move(function)] {
        if (m_processes[node].incarnation == incarnation)
            deliver(node, function);
    });
}

void FaultRun::deliver(int node, std::function<void()> function)
{
    Process &process = m_processes[node];
    if (!process.isAlive)
        return;
    if (process.isPaused)
        process.backlog.push_back(std::move(function));
    else
        function();
}

void FaultRun::send(int from, int to, std::function<void()> function)
{
    if (m_now < m_cutUntil[from][to] || m_random.chance(m_loss))
        return;
    const int copies = m_random.chance(m_duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Duration delay = between(1ms, 6ms);
        if (m_random.chance(m_slow))
            delay += between(0ms, m_random.chance(0.2) ? 15s : 1s);
        after(delay, [this, to, function] { deliver(to, function); });
    }
}

Instant FaultRun::clock(int node) const
{
    const Process &process = m_processes[node];
    const Duration local(
            static_cast<std::int64_t>(static_cast<double>(m_now.count()) * process.rate));
    return {TimePoint(process.offset + local), WallStart + m_now + process.skew};
}

Duration FaultRun::between(Duration from, Duration to)
{
    return from + Duration(m_random.below(static_cast<std::uint64_t>((to - from).count())));
}

void FaultRun::planFaults()
{
    // Faults come in groups, so that two or more are in force at the same time.
    const std::uint64_t groups = 1 + m_random.below(3);
    for (std::uint64_t group = 0; group < groups; ++group) {
        const Duration at = between(4s, FaultsUntil);
        const std::uint64_t size = 2 + m_random.below(3);
        for (std::uint64_t i = 0; i < size; ++i)
            after(at + between(0s, 4s), [this] { injectFault(); });
    }
}

void FaultRun::injectFault()
{
    ++m_result.faults;
    const int host = Entries + static_cast<int>(m_random.below(Hosts));
    const int entry = static_cast<int>(m_random.below(Entries));
    switch (m_random.below(13)) {
    case 0:
        kill(host, between(500ms, 20s));
        break;
    case 1:
        pause(host, between(200ms, 12s));
        break;
    case 2:
        pause(host, between(5s, 40s));
        break;
    case 3:
        if (m_random.chance(0.5))
            kill(entry, between(500ms, 5s));
        else
            pause(entry, between(200ms, 10s));
        break;
    case 4:
        cut(static_cast<int>(m_random.below(Nodes)), static_cast<int>(m_random.below(Nodes)),
            between(1s, 20s));
        break;
    case 5:
        // Cuts one host off from the key-value service in one direction.
        if (m_random.chance(0.5))
            cut(host, KeyValue, between(1s, 20s));
        else
            cut(KeyValue, host, between(1s, 20s));
        break;
    case 6:
    case 7:
        m_storageDownUntil = std::max(m_storageDownUntil, m_now + between(1s, 25s));
        m_storageSwallows = m_random.chance(0.5);
        break;
    case 8:
        if (m_random.chance(0.5))
            m_storageSlowUntil = m_now + between(1s, 20s);
        else
            crashBackend(host - Entries);
        break;
    case 9:
    case 10:
        partition(between(3s, 30s));
        break;
    case 11:
        misjudgeHost(static_cast<int>(m_random.below(Hosts)), between(1s, 20s));
        break;
    default:
        ++m_version;
        for (int i = 0; i < Hosts; ++i)
            after(between(0s, 5s), [this, i, v = m_version] { m_hosts[i].version = v; });
    }
}

void FaultRun::kill(int node, Duration downFor)
{
    Process &process = m_processes[node];
    if (!process.isAlive)
        return;
    process.isAlive = false;
    process.isPaused = false;
    process.backlog.clear();
    ++process.incarnation;
    if (node < Entries) {
        // The load balancer breaks the connections of the callers.
        std::erase_if(m_openCalls, [&](const auto &open) {
            if (m_entryOf[open.first] != node)
                return false;
            if (!open.second.isExtra)
                after(100ms, [this, caller = open.second.caller] { resend(caller); });
            return true;
        });
        m_entries[node].calls.clear();
    }
    after(downFor, [this, node] {
        m_processes[node].isAlive = true;
        if (node < Entries)
            startEntry(node);
        else
            startHost(node - Entries);
    });
}

void FaultRun::pause(int node, Duration span)
{
    if (!m_processes[node].isAlive || m_processes[node].isPaused)
        return;
    m_processes[node].isPaused = true;
    const std::uint64_t incarnation = m_processes[node].incarnation;
    after(span, [this, node, incarnation] {
        Process &process = m_processes[node];
        if (process.incarnation != incarnation)
            return;
        process.isPaused = false;
        // The order in which a resumed process sees what has arrived is not fixed.
        auto backlog = std::exchange(process.backlog, {});
        for (std::size_t i = backlog.size(); i > 1; --i)
            std::swap(backlog[i - 1], backlog[m_random.below(i)]);
        for (auto &function : backlog)
            deliver(node, std::move(function));
    });
}

void FaultRun::cut(int from, int to, Duration span)
{
    m_cutUntil[from][to] = std::max(m_cutUntil[from][to], m_now + span);
}

/// The others take \a gone for replaced, and later see it again.
void FaultRun::misjudgeHost(int gone, Duration span)
{
    for (int host = 0; host < Hosts; ++host) {
        if (host == gone)
            continue;
        const auto set = [this, host](const std::vector<HostId> &names) {
            if (m_processes[Entries + host].isAlive)
                m_hosts[host].slots->setHosts(names);
        };
        std::vector<HostId> all;
        std::vector<HostId> remaining;
        for (int i = 0; i < Hosts; ++i) {
            all.push_back(hostName(i));
            if (i != gone)
                remaining.push_back(hostName(i));
        }
        after(between(0s, 2s), [set, remaining] { set(remaining); });
        after(span + between(0s, 2s), [set, all] { set(all); });
    }
}

/// Divides all processes, the key-value service included, into two sides.
void FaultRun::partition(Duration span)
{
    std::array<bool, Nodes> side{};
    for (bool &it : side)
        it = m_random.chance(0.5);
    for (int from = 0; from < Nodes; ++from) {
        for (int to = 0; to < Nodes; ++to) {
            if (side[from] != side[to])
                cut(from, to, span);
        }
    }
}

void FaultRun::crashBackend(int host)
{
    ++m_hosts[host].backendGeneration;
}

void FaultRun::startHost(int host)
{
    const int node = Entries + host;
    const Incarnation incarnation{m_processes[node].incarnation};
    std::vector<HostId> names;
    names.reserve(Hosts);
    for (int i = 0; i < Hosts; ++i)
        names.push_back(hostName(i));
    m_hosts[host].attempts = std::make_unique<AttemptTable>(incarnation, AttemptTable::Limits{});
    m_hosts[host].slots =
            std::make_unique<SlotHost>(Deployment, hostName(host), incarnation, names, m_settings,
                                       *m_hosts[host].attempts, clock(node).now);
    inProcess(node, 1ms, [this, host] { tickHost(host); });
    inProcess(node, 1ms, [this, host] { heartbeat(host); });
}

void FaultRun::tickHost(int host)
{
    apply(host, m_hosts[host].slots->tick(clock(Entries + host)));
    inProcess(Entries + host, HostTick, [this, host] { tickHost(host); });
}

void FaultRun::heartbeat(int host)
{
    const int node = Entries + host;
    const TimePoint sentAt = clock(node).now;
    const Incarnation incarnation{m_processes[node].incarnation};
    const auto document = m_hosts[host].slots->document();
    for (int entry = 0; entry < Entries; ++entry) {
        send(node, entry, [this, entry, host, sentAt, incarnation, document] {
            Entry &it = m_entries[entry];
            it.clocks[host].recordMessage(incarnation, sentAt, clock(entry).now);
            it.heardAt[host] = clock(entry).now;
            if (document)
                it.router.update(*document);
        });
    }
    inProcess(node, Heartbeat, [this, host] { heartbeat(host); });
}

void FaultRun::apply(int host, SlotActions actions)
{
    const int node = Entries + host;
    for (const SlotStorageCall &call : actions.storage)
        callStorage(host, call);
    for (const SlotDispatch &order : actions.dispatches)
        inProcess(node, between(0ms, 20ms), [this, host, order] { dispatch(host, order); });
    for (SlotReply &reply : actions.replies) {
        const std::size_t length = reply.answer.size();
        replyToEntry(host, reply.attempt, reply.code, reply.state, pinOf(0),
                     std::move(reply.answer), length);
    }
    for (const auto &[to, question] : actions.questions) {
        const int peer = hostNumber(to);
        send(node, Entries + peer, [this, host, peer, question = question] {
            const auto answer = m_hosts[peer].slots->answer(question, clock(Entries + peer).now);
            send(Entries + peer, Entries + host, [this, host, answer] {
                apply(host, m_hosts[host].slots->promiseAnswer(answer, clock(Entries + host)));
            });
        });
    }
}

void FaultRun::dispatch(int host, const SlotDispatch &order)
{
    SlotActions actions;
    const bool confirmed =
            m_hosts[host].slots->confirmDispatch(order, clock(Entries + host), actions);
    apply(host, std::move(actions));
    if (!confirmed)
        return;
    if (m_now < m_storageDownUntil)
        ++m_result.outageRuns;
    // The backend server is a separate process and reads what was written a little later.
    const RequestId request = order.attempt.request;
    after(between(0ms, 200ms),
          [this, host, key = order.key, request] { backendRun(host, key, request); });
}

void FaultRun::backendRun(int host, const IdempotencyKey &key, const RequestId &request)
{
    const bool refuses = m_random.chance(0.02);
    if (!refuses) {
        ++m_result.executions;
        ++m_executions[request];
        m_ledger[key].push_back({request, m_now});
        if (m_ledger[key].size() > 1)
            problem(m_result.doubled, "key run twice " + key.value());
    }
    const std::uint64_t generation = m_hosts[host].backendGeneration;
    const Duration span = m_random.chance(0.1) ? between(1s, 6s) : between(5ms, 300ms);
    inProcess(Entries + host, span, [this, host, key, generation, refuses] {
        const bool crashed = m_hosts[host].backendGeneration != generation;
        const RunState state = refuses   ? RunState::NotRun
                               : crashed ? RunState::Unknown
                                         : RunState::Ran;
        apply(host, m_hosts[host].slots->finished(key, state, "booked " + key.value(),
                                                  clock(Entries + host)));
    });
}

void FaultRun::receiveRun(int host, const Call &call, const AttemptKey &key,
                          const AttemptTerms &terms, std::uint64_t resumeAt)
{
    const int node = Entries + host;
    if (call.key.value().empty()) {
        send(call.entry, node, [this, host, key, terms, pin = call.tracker.spec().pin, resumeAt] {
            runIdempotent(host, key, terms, pin, resumeAt);
        });
        return;
    }
    const SlotRequest request{key, call.key, call.body, terms.startBefore};
    send(call.entry, node, [this, host, request, terms] {
        apply(host, m_hosts[host].slots->run(request, terms, clock(Entries + host)));
    });
}

void FaultRun::runIdempotent(int host, const AttemptKey &key, const AttemptTerms &terms,
                             const Pin &pin, std::uint64_t resumeAt)
{
    const int node = Entries + host;
    AttemptTable &attempts = *m_hosts[host].attempts;
    const auto status = attempts.receive(key, terms, clock(node).now);
    if (!status) {
        replyToEntry(host, key, status.code, status.state, pin, {}, 0);
        return;
    }
    if (pin != pinOf(m_hosts[host].version)) {
        attempts.finish(key, RunState::NotRun, clock(node).now);
        replyToEntry(host, key, ResultCode::PinMismatch, RunState::NotRun, pin, {}, 0);
        return;
    }
    // The request waits in the host for a place on the engine.
    inProcess(node, between(1ms, m_random.chance(0.2) ? 3s : 50ms), [this, host, key, resumeAt] {
        const auto go = m_hosts[host].attempts->dispatch(key, clock(Entries + host).now);
        if (!go) {
            replyToEntry(host, key, go.code, go.state, pinOf(0), {}, 0);
            return;
        }
        ++m_executions[key.request];
        ++m_result.executions;
        streamChunk(host, key, m_hosts[host].backendGeneration, resumeAt);
    });
}

void FaultRun::streamChunk(int host, const AttemptKey &key, std::uint64_t generation,
                           std::size_t at)
{
    if (m_hosts[host].backendGeneration != generation) {
        m_hosts[host].attempts->finish(key, RunState::Unknown, clock(Entries + host).now);
        replyToEntry(host, key, ResultCode::BackendFailed, RunState::Unknown, pinOf(0), {}, 0);
        return;
    }
    if (at >= ResponseLength) {
        finishStream(host, key, generation);
        return;
    }
    // An engine that changes its version in mid-stream goes on with the new one.
    const Pin pin = pinOf(m_hosts[host].version);
    const std::string bytes =
            responseOf(key.request, pin.version).substr(at, ResponseLength / Chunks);
    send(Entries + host, m_entryOf[key.request], [this, key, pin, at, bytes] {
        if (Call *call = callOf(key.request))
            handle(*call, call->tracker.handleChunk(key, pin, at, bytes));
    });
    inProcess(Entries + host, between(5ms, 400ms), [this, host, key, generation, at, bytes] {
        streamChunk(host, key, generation, at + bytes.size());
    });
}

void FaultRun::finishStream(int host, const AttemptKey &key, std::uint64_t)
{
    m_hosts[host].attempts->finish(key, RunState::Ran, clock(Entries + host).now);
    replyToEntry(host, key, ResultCode::Ok, RunState::Ran, pinOf(m_hosts[host].version), {},
                 ResponseLength);
}

void FaultRun::receiveWithdraw(int host, const AttemptKey &key,
                               const IdempotencyKey &idempotencyKey, const AttemptTerms &terms)
{
    const int node = Entries + host;
    const RunState state =
            idempotencyKey.value().empty()
                    ? m_hosts[host].attempts->withdraw(key, terms, clock(node).now).state
                    : m_hosts[host].slots->withdraw(idempotencyKey, key, terms, clock(node));
    send(node, m_entryOf[key.request], [this, key, state] {
        if (Call *call = callOf(key.request))
            handle(*call, call->tracker.handleWithdrawReply(key, state));
    });
}

void FaultRun::replyToEntry(int host, const AttemptKey &key, ResultCode code, RunState state,
                            const Pin &pin, std::string body, std::uint64_t length)
{
    send(Entries + host, m_entryOf[key.request], [this, host, key, code, state, pin, body, length] {
        Call *call = callOf(key.request);
        if (!call)
            return;
        // A keyed response has no pin of its own.
        const Pin seen = call->key.value().empty() ? pin : call->tracker.spec().pin;
        Entry &entry = m_entries[call->entry];
        if (code == ResultCode::SlotNotOwned)
            entry.router.markNotOwner(hostName(host), call->key, clock(call->entry).now);
        if (!body.empty())
            handle(*call, call->tracker.handleChunk(key, seen, 0, body));
        if ((call = callOf(key.request)))
            handle(*call, call->tracker.handleReply(key, seen, code, state, length));
    });
}

void FaultRun::callStorage(int host, const SlotStorageCall &call)
{
    const int node = Entries + host;
    const auto answer = [this, node, host](const SlotStorageReply &reply) {
        send(KeyValue, node, [this, host, reply] {
            apply(host, m_hosts[host].slots->storageReply(reply, clock(Entries + host)));
        });
    };
    send(node, KeyValue, [this, call, answer] {
        if (m_now < m_storageDownUntil) {
            // An outage refuses, or swallows the call, or executes it without a reply.
            if (!m_storageSwallows)
                answer({call.id, SlotStorageReply::Status::Unreachable, {}, {}});
            else if (m_random.chance(0.1))
                execute(call);
            return;
        }
        if (m_random.chance(0.02)) {
            answer({call.id, SlotStorageReply::Status::RateLimited, {}, {}});
            return;
        }
        const Duration wait = m_now < m_storageSlowUntil ? between(100ms, 1500ms) : 1ms;
        after(wait, [this, call, answer] {
            const SlotStorageReply reply = execute(call);
            if (!m_random.chance(m_replyLoss))
                answer(reply);
        });
    });
}

SlotStorageReply FaultRun::execute(const SlotStorageCall &call)
{
    using Status = SlotStorageReply::Status;
    SlotStorageReply reply{call.id, Status::Ok, {}, {}};
    const auto it = m_storage.find(call.key);
    const std::uint64_t revision = it == m_storage.end() ? 0 : it->second.revision;
    switch (call.kind) {
    case SlotStorageCall::Kind::Read:
        if (revision == 0)
            reply.status = Status::NotFound;
        else
            reply.value = it->second.value;
        reply.revision = Revision{revision};
        break;
    case SlotStorageCall::Kind::CompareAndSwap:
        if (call.expected.value != revision) {
            reply.status = Status::CompareFailed;
            break;
        }
        m_storage[call.key] = {++m_revision, call.value};
        reply.revision = Revision{m_revision};
        if (call.key == slotDocumentKey(Deployment))
            ++m_result.takeovers;
        break;
    case SlotStorageCall::Kind::Delete:
        m_storage.erase(call.key);
        break;
    }
    return reply;
}

void FaultRun::startEntry(int entry)
{
    m_entries[entry] = Entry();
    inProcess(entry, EntryTick, [this, entry] { tickEntry(entry); });
}

void FaultRun::tickEntry(int entry)
{
    const TimePoint now = clock(entry).now;
    Entry &it = m_entries[entry];
    std::vector<RequestId> open;
    for (const auto &[id, call] : it.calls) {
        if (!call->tracker.isFinal())
            open.push_back(id);
    }
    for (const RequestId &id : open) {
        Call *call = callOf(id);
        handle(*call, call->tracker.tick(now));
        for (const auto &[key, sent] : call->sent) {
            const TimePoint heard = std::max(it.heardAt[sent.host], sent.at);
            if (call->tracker.isFinal() || now < heard + SilentAfter)
                continue;
            it.router.markUnresponsive(hostName(sent.host), now);
            handle(*call, call->tracker.handleSilence(key));
        }
    }
    std::erase_if(it.calls, [](const auto &item) { return item.second->tracker.isFinal(); });
    inProcess(entry, EntryTick, [this, entry] { tickEntry(entry); });
}

Call *FaultRun::callOf(const RequestId &request)
{
    auto &calls = m_entries[m_entryOf[request]].calls;
    const auto it = calls.find(request);
    return it == calls.end() ? nullptr : it->second.get();
}

void FaultRun::startAttempt(int entry, const RequestId &request)
{
    Call *call = callOf(request);
    if (!call || call->tracker.isFinal())
        return;
    const TimePoint now = clock(entry).now;
    const auto retry = [this, entry, request] { startAttempt(entry, request); };
    int host = static_cast<int>(m_random.below(Hosts));
    if (!call->key.value().empty()) {
        const auto target = m_entries[entry].router.selectHost(call->key, now);
        if (!target) {
            inProcess(entry, 200ms, retry);
            return;
        }
        host = hostNumber(*target);
    }
    const auto terms = m_entries[entry].clocks[host].makeTerms(5s, now);
    if (!terms) {
        inProcess(entry, 200ms, retry);
        return;
    }
    const auto start = call->tracker.startAttempt();
    call->sent[start.key] = {host, *terms, now};
    receiveRun(host, *call, start.key, *terms, start.resumeAt);
}

void FaultRun::handle(Call &call, RequestTracker::Actions actions)
{
    call.text += actions.deliver;
    for (const AttemptKey &key : actions.withdraw) {
        const auto sent = call.sent.at(key);
        send(call.entry, Entries + sent.host, [this, key, sent, idempotencyKey = call.key] {
            receiveWithdraw(sent.host, key, idempotencyKey, sent.terms);
        });
    }
    if (actions.final)
        answered(call, *actions.final);
    else if (actions.mayRetry)
        inProcess(call.entry, 200ms, [this, entry = call.entry, id = call.tracker.spec().id] {
            startAttempt(entry, id);
        });
}

void FaultRun::sendCall(int number)
{
    Caller &caller = m_callers[number];
    if (caller.isDone)
        return;
    if (!m_processes[caller.entry].isAlive) {
        caller.entry = (caller.entry + 1) % Entries;
        after(500ms, [this, number] { sendCall(number); });
        return;
    }
    if (caller.sends++ == 0) {
        caller.firstSentAt = m_now;
        const auto time = static_cast<unsigned long long>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                        (WallStart + m_now).time_since_epoch())
                        .count());
        char text[64] = "";
        if (number % 4 == 0)
            std::snprintf(text, sizeof text, "plain-key-%d", number);
        else if (number % 4 != 3)
            std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012d", time >> 16,
                          time & 0xFFFF, number);
        caller.key = IdempotencyKey(text);
    }
    open(number, caller.entry, false);
    // An impatient caller sends the same key to another entry before it has an answer.
    if (!caller.key.value().empty() && m_random.chance(0.3)) {
        const int other = (caller.entry + 1) % Entries;
        after(between(0ms, 1500ms), [this, number, other] {
            if (m_processes[other].isAlive && !m_callers[number].isDone)
                open(number, other, true);
        });
    }
}

void FaultRun::open(int number, int entry, bool isExtra)
{
    ++m_result.calls;
    const Caller &caller = m_callers[number];
    const RequestId id("r" + std::to_string(m_nextRequest++));
    RequestTracker::Spec spec{
            id, pinOf(m_version), caller.key.value().empty(), !caller.key.value().empty(), true,
            {}};
    m_entryOf[id] = entry;
    m_openCalls[id] = {m_now + CallTime, number, isExtra};
    const auto begin = [this, number, entry, isExtra, spec]() mutable {
        spec.deadline = clock(entry).now + CallTime;
        auto call = std::make_unique<Call>(spec);
        call->caller = number;
        call->entry = entry;
        call->isExtra = isExtra;
        call->key = m_callers[number].key;
        call->body = Digest::of("body");
        m_entries[entry].calls[spec.id] = std::move(call);
        startAttempt(entry, spec.id);
    };
    inProcess(entry, 1ms, begin);
}

void FaultRun::resend(int number)
{
    Caller &caller = m_callers[number];
    if (caller.isDone)
        return;
    if (caller.isAnswered && m_now > caller.firstSentAt + ResendFor) {
        caller.isDone = true;
        return;
    }
    caller.entry = (caller.entry + 1) % Entries;
    after(between(10ms, 3s), [this, number] { sendCall(number); });
}

void FaultRun::answered(Call &call, const RequestTracker::FinalResponse &final)
{
    const RequestId id = call.tracker.spec().id;
    if (m_openCalls.erase(id) == 0)
        problem(m_result.lost, "second final response for " + id.value());
    Caller &caller = m_callers[call.caller];
    caller.isAnswered = true;
    if (final.code == ResultCode::Ok) {
        ++m_result.ok;
        caller.isDone = true;
        checkResponse(call);
        return;
    }
    switch (final.state) {
    case RunState::NotRun:
        ++m_result.notRun;
        checkNotRun(call, final);
        break;
    case RunState::Ran:
        ++m_result.ran;
        break;
    case RunState::Unknown:
        ++m_result.unknown;
        break;
    }
    if (!call.isExtra)
        resend(call.caller);
}

void FaultRun::checkResponse(const Call &call)
{
    const RequestId &id = call.tracker.spec().id;
    if (!call.key.value().empty()) {
        if (call.text != "booked " + call.key.value() || !m_ledger.contains(call.key))
            problem(m_result.wrongCaller, "response of another key for " + id.value());
        return;
    }
    if (!call.text.starts_with(id.value() + '/'))
        problem(m_result.wrongCaller, "response of another request for " + id.value());
    else if (call.text != responseOf(id, call.tracker.spec().pin.version))
        problem(m_result.mixed, "mixed response for " + id.value());
}

void FaultRun::checkNotRun(const Call &call, const RequestTracker::FinalResponse &)
{
    const RequestId id = call.tracker.spec().id;
    if (m_ledger.contains(call.key) || m_executions[id] > 0)
        problem(m_result.falseNotRun, "not_run, but it had run: " + id.value());
    // A copy that is still under way must not run it later.
    after(RunTime - m_now, [this, id, before = m_executions[id]] {
        if (m_executions[id] > before)
            problem(m_result.falseNotRun, "not_run, but it ran later: " + id.value());
    });
}

void FaultRun::problem(std::uint64_t &counter, const std::string &what)
{
    ++counter;
    if (m_result.firstProblem.empty())
        m_result.firstProblem = what + " at " + std::to_string(toSeconds(m_now)) + " s";
}

void FaultRun::checkEnd()
{
    // All faults are over long before the end, so every call has been answered.
    for (const auto &[id, open] : m_openCalls) {
        if (open.deadline + 5s < RunTime)
            problem(m_result.lost, "no final response for " + id.value());
    }
    for (const Caller &caller : m_callers) {
        if (!caller.isAnswered)
            problem(m_result.lost, "caller without any final response");
    }
}

} // namespace

FaultRunResult &FaultRunResult::operator+=(const FaultRunResult &other)
{
    doubled += other.doubled;
    mixed += other.mixed;
    wrongCaller += other.wrongCaller;
    falseNotRun += other.falseNotRun;
    lost += other.lost;
    calls += other.calls;
    ok += other.ok;
    notRun += other.notRun;
    ran += other.ran;
    unknown += other.unknown;
    executions += other.executions;
    faults += other.faults;
    takeovers += other.takeovers;
    outageRuns += other.outageRuns;
    if (firstProblem.empty())
        firstProblem = other.firstProblem;
    return *this;
}

SlotSettings faultRunSettings()
{
    SlotSettings settings;
    settings.slots = 8;
    settings.commitInterval = std::chrono::milliseconds(25);
    settings.retention = std::chrono::seconds(60);
    settings.clockSkew = std::chrono::milliseconds(200);
    return settings;
}

FaultRunResult runFaults(std::uint64_t seed, const SlotSettings &settings)
{
    return FaultRun(seed, settings).run();
}

} // namespace godwit::test
