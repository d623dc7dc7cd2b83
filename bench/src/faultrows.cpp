// The rows of FaultRun: the fault that each row injects and the bounds that it checks.
#include "faultrun.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace godwit {

namespace {

using standin::Fault;

constexpr std::chrono::seconds WarmUp{3};
constexpr std::chrono::seconds CoolDown{4};
constexpr std::chrono::seconds Pause{8};    // Longer than the 6 s lease of a slot owner.
constexpr Duration HostListLag{1'000'000};  // Of the host list stand-in, see Fleet.
constexpr Duration LeavingLimit{3'000'000}; // P5 of the design.
constexpr std::size_t MaxCommandAttempts = 10;

Fault fault(std::string name, double value = 0, double probability = 1, std::int64_t times = -1)
{
    return {std::move(name), true, probability, times, value, {}};
}

Fault faultOff(std::string name)
{
    Fault row = fault(std::move(name));
    row.on = false;
    return row;
}

} // namespace

std::span<const FaultRun::Row> FaultRun::rows()
{
    static constexpr Row Table[] = {
            {"outage_10s", &FaultRun::shortOutage},
            {"outage_30s", &FaultRun::longOutage},
            {"pause_slot_owner", &FaultRun::pauseSlotOwner},
            {"pause_entry", &FaultRun::pauseEntry},
            {"replies_lost", &FaultRun::loseReplies},
            {"slow_service", &FaultRun::slowKeyValueService},
            {"host_list_leaving", &FaultRun::listHostAsLeaving},
            {"host_sigterm", &FaultRun::stopHost},
            {"slot_owner_sigterm", &FaultRun::stopSlotOwner},
            {"operator_race", &FaultRun::operatorRace},
            {"silent_streams", &FaultRun::silenceStreams},
            {"poison_request", &FaultRun::sendPoisonRequests},
    };
    return Table;
}

bool FaultRun::checkCommandAccepted()
{
    const Duration from = monotonicNow();
    const bool isAccepted = sendUntilAccepted(std::string("create model after-") + m_row->name
                                                      + " in deployment assistant",
                                              ConfigurationLimit);
    m_results["command_accepted_after_s"] = roundedSeconds(monotonicNow() - from);
    return check(isAccepted, "a command was not accepted within 10 s after the fault");
}

bool FaultRun::outage(Duration length)
{
    sleepFor(WarmUp);
    m_fleet.setFault("key-value", fault("outage"));
    const Duration from = monotonicNow();
    sleepFor(length / 2);
    const auto reply = sendCommand(
            0, std::string("create model in-") + m_row->name + " in deployment assistant",
            newOperationId());
    m_results["command_in_outage"] = reply.error ? reply.error->name : toJsonText(reply);
    bool ok = check(reply.outcome != OperatorOutcome::Accepted,
                    "a command was accepted during the outage");
    sleepFor(from + length - monotonicNow());
    m_fleet.setFault("key-value", faultOff("outage"));
    const Duration to = monotonicNow();
    ok = checkCommandAccepted() && ok;
    sleepFor(CoolDown);
    const auto before = m_probe.bookingsBetween(from - Duration(2'000'000), from);
    const auto during = m_probe.bookingsBetween(from, to);
    const auto after = m_probe.bookingsBetween(to, monotonicNow());
    const auto completions = m_probe.completionsBetween(from, to);
    m_results["outage_s"] = roundedSeconds(to - from);
    m_results["bookings_2s_before"] = before;
    m_results["bookings_in_outage"] = during;
    m_results["bookings_after"] = after;
    m_results["completions_in_outage"] = completions;
    ok = check(completions > 0, "no completion ran during the outage") && ok;
    return check(after > 0, "no booking ran after the outage") && ok;
}

bool FaultRun::pauseSlotOwner()
{
    sleepFor(WarmUp);
    const std::size_t owner = m_probe.hostWithMostSlots();
    const std::string name = Fleet::hostName(owner);
    m_results["paused"] = name;
    m_results["slots_before"] = m_probe.slotsOwnedBy(owner);
    const SlotDocument before = m_probe.slotDocument();
    m_fleet.processes().signal(name, SIGSTOP);
    const Duration from = monotonicNow();
    logProgress("paused " + name);
    sleepFor(Pause);
    const std::size_t slotsAtResume = m_probe.slotsOwnedBy(owner);
    const Duration resumed = monotonicNow();
    m_fleet.processes().signal(name, SIGCONT);
    logProgress("resumed " + name + ", owner of " + std::to_string(slotsAtResume) + " slots");
    sleepFor(CoolDown * 2);
    const auto runsAfter = m_probe.bookingsBetween(resumed, monotonicNow(), owner);
    const auto others = m_probe.bookingsBetween(from, monotonicNow())
                        - m_probe.bookingsBetween(from, resumed, owner) - runsAfter;
    m_results["pause_s"] = roundedSeconds(resumed - from);
    m_results["slots_at_resume"] = slotsAtResume;
    m_results["slots_after"] = m_probe.slotsOwnedBy(owner);
    m_results["bookings_by_resumed_host"] = runsAfter;
    if (const auto taken = m_probe.takeoverTime(before, owner, from))
        m_results["taken_over_after_s"] = roundedSeconds(*taken - from);
    m_results["bookings_by_others"] = others;
    bool ok = check(others > 0, "no other host ran bookings");
    // A host that still owns its slots after the pause may continue to run bookings.
    ok = check(slotsAtResume > 0 || runsAfter == 0,
               "the resumed host ran bookings without owning slots")
         && ok;
    return ok;
}

bool FaultRun::pauseEntry()
{
    sleepFor(WarmUp);
    const std::string name = Fleet::entryName(1);
    m_fleet.processes().signal(name, SIGSTOP);
    const Duration from = monotonicNow();
    logProgress("paused " + name);
    // The bench has no load balancer that detects the paused process, so all callers soon wait for
    // it. Separate probe bookings show whether the other entry process still answers.
    SyncHttp http;
    std::size_t probes = 0;
    std::size_t answered = 0;
    while (monotonicNow() < from + Pause) {
        answered +=
                sendBooking(http, 0, std::string(m_row->name) + "-probe-" + std::to_string(probes));
        ++probes;
        sleepFor(PollInterval);
    }
    const Duration resumed = monotonicNow();
    m_fleet.processes().signal(name, SIGCONT);
    logProgress("resumed " + name);
    sleepFor(CoolDown);
    m_results["probes_at_other_entry"] = probes;
    m_results["probes_answered"] = answered;
    m_results["bookings_in_pause"] = m_probe.bookingsBetween(from, resumed);
    m_results["completions_in_pause"] = m_probe.completionsBetween(from, resumed);
    bool ok = check(probes > 0 && answered == probes,
                    "the other entry process did not answer every booking during the pause");
    ok = check(m_probe.bookingsBetween(resumed, monotonicNow()) > 0,
               "no booking ran after the pause")
         && ok;
    return checkCommandAccepted() && ok;
}

bool FaultRun::loseReplies()
{
    constexpr double Share = 0.3;
    constexpr std::size_t Commands = 5;
    sleepFor(WarmUp);
    m_fleet.setFault("key-value", fault("reply_lost", 0, Share));
    const Duration from = monotonicNow();
    std::size_t accepted = 0;
    std::vector<OperationId> operations;
    std::size_t sends = 0;
    for (std::size_t i = 0; i < Commands; ++i) {
        operations.push_back(newOperationId());
        const std::string statement =
                "create model lost-" + std::to_string(i) + " in deployment assistant";
        for (std::size_t attempt = 0; attempt < MaxCommandAttempts; ++attempt) {
            ++sends;
            const auto reply =
                    sendCommand(i % m_fleet.options().entries, statement, operations.back());
            if (reply.outcome == OperatorOutcome::Accepted) {
                ++accepted;
                break;
            }
            if (reply.outcome == OperatorOutcome::Refused)
                logProgress("refused: " + toJsonText(reply));
            sleepFor(PollInterval);
        }
    }
    sleepFor(std::max(Duration(0), from + Duration(10'000'000) - monotonicNow()));
    m_fleet.setFault("key-value", faultOff("reply_lost"));
    const Duration to = monotonicNow();
    bool ok = checkCommandAccepted();
    const auto log = sendCommand(0, "show operations where who = bench", newOperationId());
    std::size_t inLog = 0;
    for (const auto &row : log.table ? log.table->rows : std::vector<std::vector<Cell>>()) {
        inLog += std::ranges::any_of(row, [&](const Cell &cell) {
            const auto *text = std::get_if<std::string>(&cell);
            return text && std::ranges::find(operations, OperationId(*text)) != operations.end();
        });
    }
    sleepFor(CoolDown);
    m_results["commands"] = Commands;
    m_results["commands_accepted"] = accepted;
    m_results["command_sends"] = sends;
    m_results["commands_in_log"] = inLog;
    m_results["bookings_in_fault"] = m_probe.bookingsBetween(from, to);
    m_results["completions_in_fault"] = m_probe.completionsBetween(from, to);
    ok = check(accepted == Commands, "a command was not accepted while replies were lost") && ok;
    ok = check(inLog == Commands, "the operation log does not list each command exactly once")
         && ok;
    return check(m_probe.bookingsBetween(from, to) > 0, "no booking ran while replies were lost")
           && ok;
}

bool FaultRun::slowKeyValueService()
{
    sleepFor(WarmUp);
    m_fleet.setFault("key-value", fault("slow", 1));
    const Duration from = monotonicNow();
    const bool isAccepted =
            sendUntilAccepted("create model slow in deployment assistant", ConfigurationLimit);
    m_results["command_accepted_in_fault_s"] = roundedSeconds(monotonicNow() - from);
    bool ok = check(isAccepted, "a command was not accepted within 10 s by the slow service");
    sleepFor(std::max(Duration(0), from + Duration(10'000'000) - monotonicNow()));
    m_fleet.setFault("key-value", faultOff("slow"));
    const Duration to = monotonicNow();
    ok = checkCommandAccepted() && ok;
    sleepFor(CoolDown);
    m_results["bookings_in_fault"] = m_probe.bookingsBetween(from, to);
    m_results["completions_in_fault"] = m_probe.completionsBetween(from, to);
    ok = check(m_probe.completionsBetween(from, to) > 0, "no completion ran with the slow service")
         && ok;
    return check(m_probe.bookingsBetween(to, monotonicNow()) > 0, "no booking ran after the fault")
           && ok;
}

/// Checks that \a host received no new request later than LeavingLimit after \a indication, the
/// time at which it was known to leave, and that all of its requests finished.
bool FaultRun::checkHostDrained(std::size_t host, Duration rowStart, Duration indication)
{
    const Duration now = monotonicNow();
    const auto before = m_probe.engineRuns(host, rowStart, indication);
    const auto after = m_probe.engineRuns(host, indication, now);
    Duration last{0};
    for (const auto &run : after)
        last = std::max(last, run.received - indication);
    if (host < m_fleet.options().bookingHosts) {
        const auto bookings = m_probe.bookingTimes(host);
        if (!bookings.empty())
            last = std::max(last, bookings.back() - indication);
    }
    const auto isCut = [](const standin::EngineRun &run) {
        return run.outcome != standin::RunOutcome::Finished;
    };
    const auto cut = std::ranges::count_if(before, isCut) + std::ranges::count_if(after, isCut);
    m_results["requests_before"] = before.size();
    m_results["requests_after_indication"] = after.size();
    m_results["last_new_request_s"] = roundedSeconds(last);
    m_results["requests_cut"] = cut;
    bool ok = check(!before.empty(), "the host received no requests before it was leaving");
    ok = check(last <= LeavingLimit, "a new request later than 3 s after the indication") && ok;
    return check(cut == 0, "a request of the host did not finish") && ok;
}

bool FaultRun::listHostAsLeaving()
{
    const std::size_t host = m_fleet.options().hosts - 2;
    const Duration from = monotonicNow();
    sleepFor(WarmUp);
    m_fleet.setHosts({{host, HostState::Leaving}});
    const Duration visible = monotonicNow() + HostListLag;
    logProgress("listed " + Fleet::hostName(host) + " as leaving");
    sleepFor(CoolDown * 2);
    bool ok = checkHostDrained(host, from, visible);
    // A process that is leaving does not return to service; its replacement must receive requests
    // once the host list shows the host as live.
    m_fleet.setHosts({});
    sleepFor(HostListLag);
    ok = check(m_fleet.processes().stop(Fleet::hostName(host), std::chrono::seconds(25)),
               "the leaving host did not stop with exit code 0")
         && ok;
    m_fleet.startHost(host);
    return waitForRequests(host) && ok;
}

/// Waits until the restarted \a host receives a new request.
bool FaultRun::waitForRequests(std::size_t host)
{
    const Duration from = monotonicNow();
    bool isUsed = false;
    while (!isUsed && monotonicNow() < from + RecoveryLimit) {
        sleepFor(PollInterval);
        isUsed = !m_probe.engineRuns(host, from, monotonicNow()).empty();
    }
    m_results["restarted_in_use_after_s"] = roundedSeconds(monotonicNow() - from);
    return check(isUsed, "the restarted host received no requests");
}

bool FaultRun::stopUnderLoad(std::size_t host)
{
    const std::string name = Fleet::hostName(host);
    const Duration from = monotonicNow();
    sleepFor(WarmUp);
    const Duration indication = monotonicNow();
    logProgress("stopping " + name);
    const bool isClean = m_fleet.processes().stop(name, std::chrono::seconds(25));
    m_results["stopped_after_s"] = roundedSeconds(monotonicNow() - indication);
    bool ok = check(isClean, name + " did not stop with exit code 0");
    sleepFor(CoolDown);
    if (host < m_fleet.options().bookingHosts) {
        sleepFor(CoolDown * 2);
        const auto times = m_probe.bookingTimes();
        Duration gap{0};
        for (std::size_t i = 1; i < times.size(); ++i)
            gap = std::max(gap, times[i] - times[i - 1]);
        m_results["longest_time_without_booking_s"] = roundedSeconds(gap);
    }
    ok = checkHostDrained(host, from, indication) && ok;
    m_fleet.startHost(host);
    return waitForRequests(host) && ok;
}

/// Sends two conflicting \a statements concurrently to two entry processes, both decided on the
/// same revision, and checks that exactly one is accepted.
bool FaultRun::runRace(const std::array<std::string, 2> &statements,
                       std::vector<Duration> &propagation)
{
    const auto known = m_probe.revisions();
    const Revision decided{*std::ranges::max_element(known)};
    std::array<OperatorReply, 2> replies;
    std::array<Duration, 2> times{};
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < 2; ++i)
        senders.emplace_back([&, i] {
            replies[i] = sendCommand(i, statements[i], newOperationId(), decided,
                                     "operator-" + std::to_string(i));
            times[i] = monotonicNow();
        });
    for (auto &sender : senders)
        sender.join();
    const auto isAccepted = [](const OperatorReply &reply) {
        return reply.outcome == OperatorOutcome::Accepted;
    };
    const auto accepted = std::ranges::count_if(replies, isAccepted);
    if (!check(accepted == 1, std::to_string(accepted) + " winners: " + toJsonText(replies[0])
                                      + " and " + toJsonText(replies[1])))
        return false;
    const std::size_t winner = isAccepted(replies[0]) ? 0 : 1;
    const auto &loser = replies[1 - winner];
    const bool isConflictReported =
            loser.outcome == OperatorOutcome::Refused && loser.conflict
            && loser.conflict->operation == replies[winner].operation
            && loser.conflict->record.who == "operator-" + std::to_string(winner);
    bool ok = check(isConflictReported,
                    "the refusal does not name the accepted command: " + toJsonText(loser));
    ok = check(measurePropagation(replies[winner].revision, times[winner], propagation),
               "a process did not report the new revision within 10 s")
         && ok;
    const auto found = m_probe.revisions();
    return check(std::ranges::all_of(found, [&](auto n) { return n == found.front(); }),
                 "processes report different configuration revisions")
           && ok;
}

bool FaultRun::operatorRace()
{
    constexpr std::size_t Rounds = 6;
    std::vector<Duration> propagation;
    bool ok = true;
    const std::string host = Fleet::hostName(m_fleet.options().hosts - 1);
    for (std::size_t i = 0; i < Rounds; ++i) {
        const std::string model = "create model race-" + std::to_string(i);
        ok = runRace({model + " in deployment assistant", model + " in deployment assistant"},
                     propagation)
             && ok;
        const std::string deny =
                "deny customers c" + std::to_string(i) + " in deployment assistant";
        const std::string allow =
                "allow customers c" + std::to_string(i) + " in deployment assistant";
        ok = runRace({allow, deny}, propagation) && ok;
        const std::string deployment = "create deployment race-" + std::to_string(i);
        ok = runRace({deployment + " kind model", deployment + " kind service"}, propagation) && ok;
        ok = runRace({"drain host " + host, "drain host " + host}, propagation) && ok;
        ok = check(sendUntilAccepted("return host " + host),
                   "the command to return the host was not accepted")
             && ok;
    }
    // An operation id that reaches two entry processes must take effect once.
    const auto operation = newOperationId();
    std::array<OperatorReply, 2> replies;
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < 2; ++i)
        senders.emplace_back([&, i] {
            replies[i] =
                    sendCommand(i, "create model race-same in deployment assistant", operation);
        });
    for (auto &sender : senders)
        sender.join();
    ok = check(replies[0].outcome == OperatorOutcome::Accepted
                       && replies[1].outcome == OperatorOutcome::Accepted
                       && replies[0].revision == replies[1].revision,
               "the same operation at two entry processes gave " + toJsonText(replies[0]) + " and "
                       + toJsonText(replies[1]))
         && ok;
    std::ranges::sort(propagation);
    m_results["races"] = 4 * Rounds;
    if (!propagation.empty()) {
        m_results["in_effect_p50_s"] = roundedSeconds(propagation[propagation.size() / 2]);
        m_results["in_effect_p99_s"] = roundedSeconds(propagation[propagation.size() * 99 / 100]);
        m_results["in_effect_last_s"] = roundedSeconds(propagation.back());
    }
    return ok;
}

bool FaultRun::silenceStreams()
{
    constexpr std::int64_t Streams = 5;
    sleepFor(WarmUp);
    const std::string engine = Fleet::engineName(m_fleet.options().hosts - 1);
    m_fleet.setFault(engine, fault("silent_stream", 4, 1, Streams));
    m_fleet.setFault(engine, fault("silent", 0, 1, Streams));
    const Duration from = monotonicNow();
    sleepFor(CoolDown * 3);
    m_fleet.setFault(engine, faultOff("silent_stream"));
    m_fleet.setFault(engine, faultOff("silent"));
    m_results["completions_in_fault"] = m_probe.completionsBetween(from, monotonicNow());
    return check(m_probe.completionsBetween(from, monotonicNow()) > 0,
                 "no completion ran with silent streams");
}

/// Sends one booking without retries and returns whether it was answered.
bool FaultRun::sendBooking(SyncHttp &http, std::size_t entry, const std::string &key)
{
    HttpCall call;
    call.endpoint = m_fleet.entry(entry);
    call.method = "POST";
    call.target = "/v1/services/booking/slots";
    call.headers.add("Idempotency-Key", key);
    call.headers.add("X-Customer", "customer-0");
    call.headers.add("X-Deadline-Ms", "10000");
    call.body = "{\"bin\":\"" + key + "\"}";
    call.idleTimeout = std::chrono::seconds(15);
    const auto outcome = http.call(std::move(call));
    return succeeded(outcome) && std::get<0>(outcome).status == 200
           && std::get<0>(outcome).body.find(key) != std::string::npos;
}

std::string FaultRun::sendPoisonRequest(SyncHttp &http, std::size_t entry)
{
    HttpCall call;
    call.endpoint = m_fleet.entry(entry);
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers.add("Content-Type", "application/json");
    call.headers.add("X-Customer", "customer-0");
    call.headers.add("X-Deadline-Ms", "10000");
    call.body = R"({"model":"assistant/grain","max_tokens":8,)"
                R"("messages":[{"role":"user","content":"POISON"}]})";
    call.idleTimeout = std::chrono::seconds(15);
    const auto outcome = http.call(std::move(call));
    if (!succeeded(outcome))
        return "no answer";
    const auto &response = std::get<0>(outcome);
    boost::json::error_code ec;
    const auto json = boost::json::parse(response.body, ec);
    const auto *name = ec ? nullptr : json.find_pointer("/error/name", ec);
    return name && name->is_string() ? std::string(name->get_string())
                                     : std::to_string(response.status);
}

bool FaultRun::sendPoisonRequests()
{
    constexpr std::size_t Resends = 8;
    sleepFor(WarmUp);
    const std::uint64_t before = m_probe.engineBoots();
    std::vector<std::vector<std::string>> replies(m_fleet.options().entries);
    std::vector<std::thread> senders;
    for (std::size_t entry = 0; entry < replies.size(); ++entry)
        senders.emplace_back([&, entry] {
            SyncHttp http;
            for (std::size_t i = 0; i < Resends; ++i) {
                replies[entry].push_back(sendPoisonRequest(http, entry));
                sleepFor(PollInterval);
            }
        });
    for (auto &sender : senders)
        sender.join();
    // An engine counts a start only when it is up again, one second after the crash.
    sleepFor(CoolDown);
    const std::uint64_t crashes = m_probe.engineBoots() - before;
    SyncHttp http;
    std::vector<std::string> later;
    for (std::size_t entry = 0; entry < replies.size(); ++entry)
        later.push_back(sendPoisonRequest(http, entry));
    sleepFor(CoolDown);
    const std::uint64_t crashesLater = m_probe.engineBoots() - before - crashes;
    // Section 6.4 of the design: the request is recorded as poison after the second crash, and each
    // other entry process may cause one more crash before it receives the record.
    const std::uint64_t bound = 2 + m_fleet.options().entries - 1;
    m_results["engines_crashed"] = crashes;
    m_results["bound"] = bound;
    m_results["engines_crashed_later"] = crashesLater;
    m_results["replies"] = toJson(replies);
    m_results["replies_later"] = toJson(later);
    bool ok = check(crashes > 0 && crashes <= bound, "no engine crashed, or more than the bound");
    return check(crashesLater == 0, "an engine crashed after the request was recorded as poison")
           && ok;
}

} // namespace godwit
