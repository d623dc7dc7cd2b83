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

constexpr int EntryCount = 2;
constexpr int HostCount = 3;
constexpr int KeyValueNode = EntryCount + HostCount;
constexpr int NodeCount = KeyValueNode + 1;
constexpr int CallerCount = 18;
constexpr Duration RunTime = 120s;
constexpr Duration FaultsUntil = 45s;
constexpr Duration EntryTickInterval = 50ms;
constexpr Duration HostTickInterval = 25ms;
constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration SilenceTimeout = 1500ms;
constexpr Duration CallTimeout = 8s;
constexpr Duration ResendPeriod = 25s;
constexpr std::size_t ResponseLength = 160;
constexpr int ChunkCount = 4;
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

/// Returns the response of an idempotent request. It is deterministic, so that a resumed stream
/// reproduces it.
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
    std::vector<std::function<void()>> pausedEvents;
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
    bool isExtra = false; ///< Sent in parallel to another call of the same caller.
    IdempotencyKey key;
    Digest body;
    std::string text;
    struct SentAttempt
    {
        int host = 0;
        AttemptTerms terms;
        TimePoint at;
    };
    std::map<AttemptKey, SentAttempt> sent;
};

struct Entry
{
    SlotRouter router;
    std::array<PeerClock, HostCount> clocks;
    std::array<TimePoint, HostCount> heardAt{};
    std::map<RequestId, std::unique_ptr<Call>> calls;
};

struct Caller
{
    IdempotencyKey key; ///< Empty for an idempotent request.
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

struct StoredValue
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
    void schedule(Duration delay, std::function<void()> function);
    void scheduleInProcess(int node, Duration delay, std::function<void()> function);
    void deliver(int node, std::function<void()> function);
    void send(int from, int to, std::function<void()> function);
    Instant clock(int node) const;
    Duration randomBetween(Duration from, Duration to);

    // Faults.
    void planFaults();
    void injectFault();
    void kill(int node, Duration downtime);
    void pause(int node, Duration span);
    void cutLink(int from, int to, Duration span);
    void partition(Duration span);
    void reportHostReplaced(int replaced, Duration span);
    void crashBackend(int host);

    // Hosts.
    void startHost(int host);
    void tickHost(int host);
    void heartbeat(int host);
    void apply(int host, SlotActions actions);
    void dispatch(int host, const SlotDispatch &slotDispatch);
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
    void openCall(int caller, int entry, bool isExtra);
    void resend(int caller);
    void handleFinalResponse(Call &call, const RequestTracker::FinalResponse &final);
    void checkResponse(const Call &call);
    void checkNotRun(const Call &call, const RequestTracker::FinalResponse &final);
    void recordViolation(std::uint64_t &counter, const std::string &what);
    void checkFinalState();

    Random m_random;
    SlotSettings m_settings;
    FaultRunResult m_result;
    Duration m_now{0};
    std::uint64_t m_nextEventSequence = 0;
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

    double m_lossChance = 0;
    double m_duplicationChance = 0;
    double m_delayChance = 0;
    double m_replyLossChance = 0;
    std::array<Process, NodeCount> m_processes;
    std::array<std::array<Duration, NodeCount>, NodeCount> m_cutUntil{};
    Duration m_storageDownUntil{0};
    Duration m_storageSlowUntil{0};
    bool m_storageDropsCalls = false;
    int m_version = 1;

    std::array<Host, HostCount> m_hosts;
    std::array<Entry, EntryCount> m_entries;
    std::array<Caller, CallerCount> m_callers;
    std::map<std::string, StoredValue> m_storage;
    std::uint64_t m_revision = 0;
    std::uint64_t m_nextRequest = 1;
    std::map<RequestId, int> m_entryByRequest;
    struct OpenCall
    {
        Duration deadline;
        int caller = 0;
        bool isExtra = false;
    };
    std::map<RequestId, OpenCall> m_openCalls; ///< Calls without a final response.
    std::map<IdempotencyKey, std::vector<Execution>> m_executionsByKey;
    std::map<RequestId, int> m_executionsByRequest;
};

FaultRun::FaultRun(std::uint64_t seed, const SlotSettings &settings)
    : m_random(seed)
    , m_settings(settings)
{
    const auto randomRate = [&](double chance, double highest) {
        return m_random.chance(chance) ? m_random.uniform() * highest : 0.0;
    };
    m_lossChance = randomRate(0.5, 0.1);
    m_duplicationChance = randomRate(0.5, 0.2);
    m_delayChance = randomRate(0.5, 0.1);
    m_replyLossChance = randomRate(0.5, 0.2);
    for (Process &process : m_processes) {
        process.rate = 0.95 + 0.1 * m_random.uniform();
        process.offset = randomBetween(1'000s, 100'000s);
        process.skew = randomBetween(-90ms, 90ms);
    }
}

FaultRunResult FaultRun::run()
{
    for (int entry = 0; entry < EntryCount; ++entry)
        startEntry(entry);
    for (int host = 0; host < HostCount; ++host)
        startHost(host);
    for (int caller = 0; caller < CallerCount; ++caller) {
        m_callers[caller].entry = static_cast<int>(m_random.below(EntryCount));
        schedule(randomBetween(2s, FaultsUntil), [this, caller] { sendCall(caller); });
    }
    planFaults();
    while (!m_events.empty() && m_events.top().at <= RunTime) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.function();
    }
    checkFinalState();
    return m_result;
}

void FaultRun::schedule(Duration delay, std::function<void()> function)
{
    m_events.push({m_now + delay, m_nextEventSequence++, std::move(function)});
}

/// Schedules \a function in the current process of \a node. It does not run if the process ends
/// before.
void FaultRun::scheduleInProcess(int node, Duration delay, std::function<void()> function)
{
    const std::uint64_t incarnation = m_processes[node].incarnation;
    schedule(delay, [this, node, incarnation, function = std::move(function)] {
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
        process.pausedEvents.push_back(std::move(function));
    else
        function();
}

void FaultRun::send(int from, int to, std::function<void()> function)
{
    if (m_now < m_cutUntil[from][to] || m_random.chance(m_lossChance))
        return;
    const int copies = m_random.chance(m_duplicationChance) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Duration delay = randomBetween(1ms, 6ms);
        if (m_random.chance(m_delayChance))
            delay += randomBetween(0ms, m_random.chance(0.2) ? 15s : 1s);
        schedule(delay, [this, to, function] { deliver(to, function); });
    }
}

Instant FaultRun::clock(int node) const
{
    const Process &process = m_processes[node];
    const Duration local(
            static_cast<std::int64_t>(static_cast<double>(m_now.count()) * process.rate));
    return {TimePoint(process.offset + local), WallStart + m_now + process.skew};
}

Duration FaultRun::randomBetween(Duration from, Duration to)
{
    return from + Duration(m_random.below(static_cast<std::uint64_t>((to - from).count())));
}

void FaultRun::planFaults()
{
    // Faults are injected in groups, so that two or more are active at the same time.
    const std::uint64_t groups = 1 + m_random.below(3);
    for (std::uint64_t group = 0; group < groups; ++group) {
        const Duration at = randomBetween(4s, FaultsUntil);
        const std::uint64_t size = 2 + m_random.below(3);
        for (std::uint64_t i = 0; i < size; ++i)
            schedule(at + randomBetween(0s, 4s), [this] { injectFault(); });
    }
}

void FaultRun::injectFault()
{
    ++m_result.faults;
    const int host = EntryCount + static_cast<int>(m_random.below(HostCount));
    const int entry = static_cast<int>(m_random.below(EntryCount));
    switch (m_random.below(13)) {
    case 0:
        kill(host, randomBetween(500ms, 20s));
        break;
    case 1:
        pause(host, randomBetween(200ms, 12s));
        break;
    case 2:
        pause(host, randomBetween(5s, 40s));
        break;
    case 3:
        if (m_random.chance(0.5))
            kill(entry, randomBetween(500ms, 5s));
        else
            pause(entry, randomBetween(200ms, 10s));
        break;
    case 4:
        cutLink(static_cast<int>(m_random.below(NodeCount)),
                static_cast<int>(m_random.below(NodeCount)), randomBetween(1s, 20s));
        break;
    case 5:
        // Cuts the link between a host and the key-value service in one direction.
        if (m_random.chance(0.5))
            cutLink(host, KeyValueNode, randomBetween(1s, 20s));
        else
            cutLink(KeyValueNode, host, randomBetween(1s, 20s));
        break;
    case 6:
    case 7:
        m_storageDownUntil = std::max(m_storageDownUntil, m_now + randomBetween(1s, 25s));
        m_storageDropsCalls = m_random.chance(0.5);
        break;
    case 8:
        if (m_random.chance(0.5))
            m_storageSlowUntil = m_now + randomBetween(1s, 20s);
        else
            crashBackend(host - EntryCount);
        break;
    case 9:
    case 10:
        partition(randomBetween(3s, 30s));
        break;
    case 11:
        reportHostReplaced(static_cast<int>(m_random.below(HostCount)), randomBetween(1s, 20s));
        break;
    default:
        ++m_version;
        for (int i = 0; i < HostCount; ++i)
            schedule(randomBetween(0s, 5s), [this, i, v = m_version] { m_hosts[i].version = v; });
    }
}

void FaultRun::kill(int node, Duration downtime)
{
    Process &process = m_processes[node];
    if (!process.isAlive)
        return;
    process.isAlive = false;
    process.isPaused = false;
    process.pausedEvents.clear();
    ++process.incarnation;
    if (node < EntryCount) {
        // The load balancer closes the connections of the callers.
        std::erase_if(m_openCalls, [&](const auto &open) {
            if (m_entryByRequest[open.first] != node)
                return false;
            if (!open.second.isExtra)
                schedule(100ms, [this, caller = open.second.caller] { resend(caller); });
            return true;
        });
        m_entries[node].calls.clear();
    }
    schedule(downtime, [this, node] {
        m_processes[node].isAlive = true;
        if (node < EntryCount)
            startEntry(node);
        else
            startHost(node - EntryCount);
    });
}

void FaultRun::pause(int node, Duration span)
{
    if (!m_processes[node].isAlive || m_processes[node].isPaused)
        return;
    m_processes[node].isPaused = true;
    const std::uint64_t incarnation = m_processes[node].incarnation;
    schedule(span, [this, node, incarnation] {
        Process &process = m_processes[node];
        if (process.incarnation != incarnation)
            return;
        process.isPaused = false;
        // A resumed process handles the events that arrived during the pause in random order.
        auto pausedEvents = std::exchange(process.pausedEvents, {});
        for (std::size_t i = pausedEvents.size(); i > 1; --i)
            std::swap(pausedEvents[i - 1], pausedEvents[m_random.below(i)]);
        for (auto &function : pausedEvents)
            deliver(node, std::move(function));
    });
}

void FaultRun::cutLink(int from, int to, Duration span)
{
    m_cutUntil[from][to] = std::max(m_cutUntil[from][to], m_now + span);
}

/// Makes the other hosts regard \a replaced as removed from the deployment, and lists it again
/// later.
void FaultRun::reportHostReplaced(int replaced, Duration span)
{
    for (int host = 0; host < HostCount; ++host) {
        if (host == replaced)
            continue;
        const auto set = [this, host](const std::vector<HostId> &names) {
            if (m_processes[EntryCount + host].isAlive)
                m_hosts[host].slots->setHosts(names);
        };
        std::vector<HostId> all;
        std::vector<HostId> remaining;
        for (int i = 0; i < HostCount; ++i) {
            all.push_back(hostName(i));
            if (i != replaced)
                remaining.push_back(hostName(i));
        }
        schedule(randomBetween(0s, 2s), [set, remaining] { set(remaining); });
        schedule(span + randomBetween(0s, 2s), [set, all] { set(all); });
    }
}

/// Partitions all nodes, including the key-value service, into two sides.
void FaultRun::partition(Duration span)
{
    std::array<bool, NodeCount> side{};
    for (bool &it : side)
        it = m_random.chance(0.5);
    for (int from = 0; from < NodeCount; ++from) {
        for (int to = 0; to < NodeCount; ++to) {
            if (side[from] != side[to])
                cutLink(from, to, span);
        }
    }
}

void FaultRun::crashBackend(int host)
{
    ++m_hosts[host].backendGeneration;
}

void FaultRun::startHost(int host)
{
    const int node = EntryCount + host;
    const Incarnation incarnation{m_processes[node].incarnation};
    std::vector<HostId> names;
    names.reserve(HostCount);
    for (int i = 0; i < HostCount; ++i)
        names.push_back(hostName(i));
    m_hosts[host].attempts = std::make_unique<AttemptTable>(incarnation, AttemptTable::Limits{});
    m_hosts[host].slots =
            std::make_unique<SlotHost>(Deployment, hostName(host), incarnation, names, m_settings,
                                       *m_hosts[host].attempts, clock(node).now);
    scheduleInProcess(node, 1ms, [this, host] { tickHost(host); });
    scheduleInProcess(node, 1ms, [this, host] { heartbeat(host); });
}

void FaultRun::tickHost(int host)
{
    apply(host, m_hosts[host].slots->tick(clock(EntryCount + host)));
    scheduleInProcess(EntryCount + host, HostTickInterval, [this, host] { tickHost(host); });
}

void FaultRun::heartbeat(int host)
{
    const int node = EntryCount + host;
    const TimePoint sentAt = clock(node).now;
    const Incarnation incarnation{m_processes[node].incarnation};
    const auto document = m_hosts[host].slots->document();
    for (int entry = 0; entry < EntryCount; ++entry) {
        send(node, entry, [this, entry, host, sentAt, incarnation, document] {
            Entry &it = m_entries[entry];
            it.clocks[host].recordMessage(incarnation, sentAt, clock(entry).now);
            it.heardAt[host] = clock(entry).now;
            if (document)
                it.router.update(*document);
        });
    }
    scheduleInProcess(node, HeartbeatInterval, [this, host] { heartbeat(host); });
}

void FaultRun::apply(int host, SlotActions actions)
{
    const int node = EntryCount + host;
    for (const SlotStorageCall &call : actions.storage)
        callStorage(host, call);
    for (const SlotDispatch &slotDispatch : actions.dispatches)
        scheduleInProcess(node, randomBetween(0ms, 20ms),
                          [this, host, slotDispatch] { dispatch(host, slotDispatch); });
    for (SlotReply &reply : actions.replies) {
        const std::size_t length = reply.response.size();
        replyToEntry(host, reply.attempt, reply.code, reply.state, pinOf(0),
                     std::move(reply.response), length);
    }
    for (const auto &[to, request] : actions.promiseRequests) {
        const int peer = hostNumber(to);
        send(node, EntryCount + peer, [this, host, peer, request = request] {
            const auto reply = m_hosts[peer].slots->handlePromiseRequest(
                    request, clock(EntryCount + peer).now);
            send(EntryCount + peer, EntryCount + host, [this, host, reply] {
                apply(host,
                      m_hosts[host].slots->handlePromiseReply(reply, clock(EntryCount + host)));
            });
        });
    }
}

void FaultRun::dispatch(int host, const SlotDispatch &slotDispatch)
{
    SlotActions actions;
    const bool confirmed =
            m_hosts[host].slots->confirmDispatch(slotDispatch, clock(EntryCount + host), actions);
    apply(host, std::move(actions));
    if (!confirmed)
        return;
    if (m_now < m_storageDownUntil)
        ++m_result.outageExecutions;
    // The backend server is a separate process and reads the request after a delay.
    const RequestId request = slotDispatch.attempt.request;
    schedule(randomBetween(0ms, 200ms),
             [this, host, key = slotDispatch.key, request] { backendRun(host, key, request); });
}

void FaultRun::backendRun(int host, const IdempotencyKey &key, const RequestId &request)
{
    const bool refuses = m_random.chance(0.02);
    if (!refuses) {
        ++m_result.executions;
        ++m_executionsByRequest[request];
        m_executionsByKey[key].push_back({request, m_now});
        if (m_executionsByKey[key].size() > 1)
            recordViolation(m_result.executedTwice, "key was run twice: " + key.value());
    }
    const std::uint64_t generation = m_hosts[host].backendGeneration;
    const Duration span = m_random.chance(0.1) ? randomBetween(1s, 6s) : randomBetween(5ms, 300ms);
    scheduleInProcess(EntryCount + host, span, [this, host, key, generation, refuses] {
        const bool crashed = m_hosts[host].backendGeneration != generation;
        const RunState state = refuses   ? RunState::NotRun
                               : crashed ? RunState::Unknown
                                         : RunState::Ran;
        apply(host, m_hosts[host].slots->handleCompletion(key, state, "booked " + key.value(),
                                                          clock(EntryCount + host)));
    });
}

void FaultRun::receiveRun(int host, const Call &call, const AttemptKey &key,
                          const AttemptTerms &terms, std::uint64_t resumeAt)
{
    const int node = EntryCount + host;
    if (call.key.value().empty()) {
        send(call.entry, node, [this, host, key, terms, pin = call.tracker.spec().pin, resumeAt] {
            runIdempotent(host, key, terms, pin, resumeAt);
        });
        return;
    }
    const SlotRequest request{key, call.key, call.body, terms.startBefore};
    send(call.entry, node, [this, host, request, terms] {
        apply(host, m_hosts[host].slots->run(request, terms, clock(EntryCount + host)));
    });
}

void FaultRun::runIdempotent(int host, const AttemptKey &key, const AttemptTerms &terms,
                             const Pin &pin, std::uint64_t resumeAt)
{
    const int node = EntryCount + host;
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
    // The request waits in the host for capacity of the engine.
    scheduleInProcess(node, randomBetween(1ms, m_random.chance(0.2) ? 3s : 50ms),
                      [this, host, key, resumeAt] {
                          const auto dispatchStatus = m_hosts[host].attempts->dispatch(
                                  key, clock(EntryCount + host).now);
                          if (!dispatchStatus) {
                              replyToEntry(host, key, dispatchStatus.code, dispatchStatus.state,
                                           pinOf(0), {}, 0);
                              return;
                          }
                          ++m_executionsByRequest[key.request];
                          ++m_result.executions;
                          streamChunk(host, key, m_hosts[host].backendGeneration, resumeAt);
                      });
}

void FaultRun::streamChunk(int host, const AttemptKey &key, std::uint64_t generation,
                           std::size_t at)
{
    if (m_hosts[host].backendGeneration != generation) {
        m_hosts[host].attempts->finish(key, RunState::Unknown, clock(EntryCount + host).now);
        replyToEntry(host, key, ResultCode::BackendFailed, RunState::Unknown, pinOf(0), {}, 0);
        return;
    }
    if (at >= ResponseLength) {
        finishStream(host, key, generation);
        return;
    }
    // An engine that changes its version in the middle of a stream continues with the new version.
    const Pin pin = pinOf(m_hosts[host].version);
    const std::string bytes =
            responseOf(key.request, pin.version).substr(at, ResponseLength / ChunkCount);
    send(EntryCount + host, m_entryByRequest[key.request], [this, key, pin, at, bytes] {
        if (Call *call = callOf(key.request))
            handle(*call, call->tracker.handleChunk(key, pin, at, bytes));
    });
    scheduleInProcess(EntryCount + host, randomBetween(5ms, 400ms),
                      [this, host, key, generation, at, bytes] {
                          streamChunk(host, key, generation, at + bytes.size());
                      });
}

void FaultRun::finishStream(int host, const AttemptKey &key, std::uint64_t)
{
    m_hosts[host].attempts->finish(key, RunState::Ran, clock(EntryCount + host).now);
    replyToEntry(host, key, ResultCode::Ok, RunState::Ran, pinOf(m_hosts[host].version), {},
                 ResponseLength);
}

void FaultRun::receiveWithdraw(int host, const AttemptKey &key,
                               const IdempotencyKey &idempotencyKey, const AttemptTerms &terms)
{
    const int node = EntryCount + host;
    const RunState state =
            idempotencyKey.value().empty()
                    ? m_hosts[host].attempts->withdraw(key, terms, clock(node).now).state
                    : m_hosts[host].slots->withdraw(idempotencyKey, key, terms, clock(node));
    send(node, m_entryByRequest[key.request], [this, key, state] {
        if (Call *call = callOf(key.request))
            handle(*call, call->tracker.handleWithdrawReply(key, state));
    });
}

void FaultRun::replyToEntry(int host, const AttemptKey &key, ResultCode code, RunState state,
                            const Pin &pin, std::string body, std::uint64_t length)
{
    send(EntryCount + host, m_entryByRequest[key.request],
         [this, host, key, code, state, pin, body, length] {
             Call *call = callOf(key.request);
             if (!call)
                 return;
             // A response to a request with an idempotency key has no pin.
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
    const int node = EntryCount + host;
    const auto answer = [this, node, host](const SlotStorageReply &reply) {
        send(KeyValueNode, node, [this, host, reply] {
            apply(host, m_hosts[host].slots->handleStorageReply(reply, clock(EntryCount + host)));
        });
    };
    send(node, KeyValueNode, [this, call, answer] {
        if (m_now < m_storageDownUntil) {
            // During an outage, a call is refused, dropped, or executed without a reply.
            if (!m_storageDropsCalls)
                answer({call.id, SlotStorageReply::Status::Unreachable, {}, {}});
            else if (m_random.chance(0.1))
                execute(call);
            return;
        }
        if (m_random.chance(0.02)) {
            answer({call.id, SlotStorageReply::Status::RateLimited, {}, {}});
            return;
        }
        const Duration wait = m_now < m_storageSlowUntil ? randomBetween(100ms, 1500ms) : 1ms;
        schedule(wait, [this, call, answer] {
            const SlotStorageReply reply = execute(call);
            if (!m_random.chance(m_replyLossChance))
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
            ++m_result.documentWrites;
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
    scheduleInProcess(entry, EntryTickInterval, [this, entry] { tickEntry(entry); });
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
            if (call->tracker.isFinal() || now < heard + SilenceTimeout)
                continue;
            it.router.markUnresponsive(hostName(sent.host), now);
            handle(*call, call->tracker.handleSilence(key));
        }
    }
    std::erase_if(it.calls, [](const auto &item) { return item.second->tracker.isFinal(); });
    scheduleInProcess(entry, EntryTickInterval, [this, entry] { tickEntry(entry); });
}

Call *FaultRun::callOf(const RequestId &request)
{
    auto &calls = m_entries[m_entryByRequest[request]].calls;
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
    int host = static_cast<int>(m_random.below(HostCount));
    if (!call->key.value().empty()) {
        const auto target = m_entries[entry].router.selectHost(call->key, now);
        if (!target) {
            scheduleInProcess(entry, 200ms, retry);
            return;
        }
        host = hostNumber(*target);
    }
    const auto terms = m_entries[entry].clocks[host].makeTerms(5s, now);
    if (!terms) {
        scheduleInProcess(entry, 200ms, retry);
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
        send(call.entry, EntryCount + sent.host, [this, key, sent, idempotencyKey = call.key] {
            receiveWithdraw(sent.host, key, idempotencyKey, sent.terms);
        });
    }
    if (actions.final)
        handleFinalResponse(call, *actions.final);
    else if (actions.mayRetry)
        scheduleInProcess(call.entry, 200ms,
                          [this, entry = call.entry, id = call.tracker.spec().id] {
                              startAttempt(entry, id);
                          });
}

void FaultRun::sendCall(int number)
{
    Caller &caller = m_callers[number];
    if (caller.isDone)
        return;
    if (!m_processes[caller.entry].isAlive) {
        caller.entry = (caller.entry + 1) % EntryCount;
        schedule(500ms, [this, number] { sendCall(number); });
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
    openCall(number, caller.entry, false);
    // Some callers send the same key to another entry process before they have a response.
    if (!caller.key.value().empty() && m_random.chance(0.3)) {
        const int other = (caller.entry + 1) % EntryCount;
        schedule(randomBetween(0ms, 1500ms), [this, number, other] {
            if (m_processes[other].isAlive && !m_callers[number].isDone)
                openCall(number, other, true);
        });
    }
}

void FaultRun::openCall(int number, int entry, bool isExtra)
{
    ++m_result.calls;
    const Caller &caller = m_callers[number];
    const RequestId id("r" + std::to_string(m_nextRequest++));
    RequestTracker::Spec spec{
            id, pinOf(m_version), caller.key.value().empty(), !caller.key.value().empty(), true,
            {}};
    m_entryByRequest[id] = entry;
    m_openCalls[id] = {m_now + CallTimeout, number, isExtra};
    const auto begin = [this, number, entry, isExtra, spec]() mutable {
        spec.deadline = clock(entry).now + CallTimeout;
        auto call = std::make_unique<Call>(spec);
        call->caller = number;
        call->entry = entry;
        call->isExtra = isExtra;
        call->key = m_callers[number].key;
        call->body = Digest::of("body");
        m_entries[entry].calls[spec.id] = std::move(call);
        startAttempt(entry, spec.id);
    };
    scheduleInProcess(entry, 1ms, begin);
}

void FaultRun::resend(int number)
{
    Caller &caller = m_callers[number];
    if (caller.isDone)
        return;
    if (caller.isAnswered && m_now > caller.firstSentAt + ResendPeriod) {
        caller.isDone = true;
        return;
    }
    caller.entry = (caller.entry + 1) % EntryCount;
    schedule(randomBetween(10ms, 3s), [this, number] { sendCall(number); });
}

void FaultRun::handleFinalResponse(Call &call, const RequestTracker::FinalResponse &final)
{
    const RequestId id = call.tracker.spec().id;
    if (m_openCalls.erase(id) == 0)
        recordViolation(m_result.unansweredCalls,
                        "second final response for request " + id.value());
    Caller &caller = m_callers[call.caller];
    caller.isAnswered = true;
    if (final.code == ResultCode::Ok) {
        ++m_result.completeResponses;
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
        ++m_result.ranWithoutResponse;
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
        if (call.text != "booked " + call.key.value() || !m_executionsByKey.contains(call.key))
            recordViolation(m_result.misroutedResponses,
                            "response of another key for request " + id.value());
        return;
    }
    if (!call.text.starts_with(id.value() + '/'))
        recordViolation(m_result.misroutedResponses,
                        "response of another request for request " + id.value());
    else if (call.text != responseOf(id, call.tracker.spec().pin.version))
        recordViolation(m_result.mixedResponses,
                        "response of mixed versions for request " + id.value());
}

void FaultRun::checkNotRun(const Call &call, const RequestTracker::FinalResponse &)
{
    const RequestId id = call.tracker.spec().id;
    if (m_executionsByKey.contains(call.key) || m_executionsByRequest[id] > 0)
        recordViolation(m_result.falseNotRun,
                        "not_run was reported, but the request had run: " + id.value());
    // A copy of the request that is still in transit must not run later.
    schedule(RunTime - m_now, [this, id, before = m_executionsByRequest[id]] {
        if (m_executionsByRequest[id] > before)
            recordViolation(m_result.falseNotRun,
                            "not_run was reported, but the request ran later: " + id.value());
    });
}

void FaultRun::recordViolation(std::uint64_t &counter, const std::string &what)
{
    ++counter;
    if (m_result.firstViolation.empty())
        m_result.firstViolation = what + " at " + std::to_string(toSeconds(m_now)) + " s";
}

void FaultRun::checkFinalState()
{
    // All faults end long before the end of the run, so every call must have been answered.
    for (const auto &[id, open] : m_openCalls) {
        if (open.deadline + 5s < RunTime)
            recordViolation(m_result.unansweredCalls,
                            "no final response for request " + id.value());
    }
    for (const Caller &caller : m_callers) {
        if (!caller.isAnswered)
            recordViolation(m_result.unansweredCalls, "caller did not get any final response");
    }
}

} // namespace

FaultRunResult &FaultRunResult::operator+=(const FaultRunResult &other)
{
    executedTwice += other.executedTwice;
    mixedResponses += other.mixedResponses;
    misroutedResponses += other.misroutedResponses;
    falseNotRun += other.falseNotRun;
    unansweredCalls += other.unansweredCalls;
    calls += other.calls;
    completeResponses += other.completeResponses;
    notRun += other.notRun;
    ranWithoutResponse += other.ranWithoutResponse;
    unknown += other.unknown;
    executions += other.executions;
    faults += other.faults;
    documentWrites += other.documentWrites;
    outageExecutions += other.outageExecutions;
    if (firstViolation.empty())
        firstViolation = other.firstViolation;
    return *this;
}

SlotSettings faultRunSettings()
{
    SlotSettings settings;
    settings.slotCount = 8;
    settings.commitInterval = std::chrono::milliseconds(25);
    settings.keyRetention = std::chrono::seconds(60);
    settings.maxClockSkew = std::chrono::milliseconds(200);
    return settings;
}

FaultRunResult runFaults(std::uint64_t seed, const SlotSettings &settings)
{
    return FaultRun(seed, settings).run();
}

} // namespace godwit::test
