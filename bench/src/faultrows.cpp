// The rows of Faults: what each of them does to the fleet, and the bounds that it checks.
#include "faultrun.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace godwit {

namespace {

using standin::Fault;

constexpr std::chrono::seconds WarmUp{3};
constexpr std::chrono::seconds CoolDown{4};
constexpr std::chrono::seconds Pause{8};    // Longer than the lease of a slot owner, 6 s.
constexpr Duration HostListLag{1'000'000};  // Of the stand-in, see Fleet.
constexpr Duration LeavingLimit{3'000'000}; // P5 of the design.
constexpr std::size_t ConcurrentCommands = 10;

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

std::span<const Faults::Row> Faults::rows()
{
    static constexpr Row Table[] = {
            {"outage_10s", &Faults::shortOutage},          {"outage_30s", &Faults::longOutage},
            {"pause_slot_owner", &Faults::pauseOwner},     {"pause_entry", &Faults::pauseEntry},
            {"replies_lost", &Faults::repliesLost},        {"slow_service", &Faults::slowService},
            {"host_list_leaving", &Faults::listedLeaving}, {"host_sigterm", &Faults::hostStops},
            {"slot_owner_sigterm", &Faults::ownerStops},   {"operator_race", &Faults::operatorRace},
            {"silent_streams", &Faults::silentStreams},    {"poison_request", &Faults::poison},
    };
    return Table;
}

bool Faults::configurationWorks()
{
    const Duration from = monotonicNow();
    const bool isAccepted = commandUntilAccepted(std::string("create model after-") + m_row->name
                                                         + " in deployment assistant",
                                                 ConfigurationLimit);
    m_figures["command_accepted_after_s"] = rounded(monotonicNow() - from);
    return check(isAccepted, "a command was not accepted within 10 s after the fault");
}

bool Faults::outage(Duration length)
{
    sleepFor(WarmUp);
    m_fleet.setFault("key-value", fault("outage"));
    const Duration from = monotonicNow();
    sleepFor(length / 2);
    const auto reply =
            ask(0, std::string("create model in-") + m_row->name + " in deployment assistant",
                newOperation());
    m_figures["command_in_outage"] = reply.error ? reply.error->name : toJsonText(reply);
    bool ok = check(reply.outcome != OperatorOutcome::Accepted,
                    "a command was accepted in the outage");
    sleepFor(from + length - monotonicNow());
    m_fleet.setFault("key-value", faultOff("outage"));
    const Duration to = monotonicNow();
    ok = configurationWorks() && ok;
    sleepFor(CoolDown);
    const auto before = m_probe.bookingsBetween(from - Duration(2'000'000), from);
    const auto during = m_probe.bookingsBetween(from, to);
    const auto after = m_probe.bookingsBetween(to, monotonicNow());
    const auto completions = m_probe.completionsBetween(from, to);
    m_figures["outage_s"] = rounded(to - from);
    m_figures["bookings_2s_before"] = before;
    m_figures["bookings_in_outage"] = during;
    m_figures["bookings_after"] = after;
    m_figures["completions_in_outage"] = completions;
    ok = check(completions > 0, "no completion ran in the outage") && ok;
    return check(after > 0, "no booking ran after the outage") && ok;
}

bool Faults::pauseOwner()
{
    sleepFor(WarmUp);
    const std::size_t victim = m_probe.busiestOwner();
    const std::string name = Fleet::hostName(victim);
    m_figures["paused"] = name;
    m_figures["slots_before"] = m_probe.slotsOwnedBy(victim);
    const SlotDocument before = m_probe.slotDocument();
    m_fleet.processes().signal(name, SIGSTOP);
    const Duration from = monotonicNow();
    say("paused " + name);
    sleepFor(Pause);
    const std::size_t slotsAtResume = m_probe.slotsOwnedBy(victim);
    const Duration resumed = monotonicNow();
    m_fleet.processes().signal(name, SIGCONT);
    say("resumed " + name + ", owner of " + std::to_string(slotsAtResume) + " slots");
    sleepFor(CoolDown * 2);
    const auto runsAfter = m_probe.bookingsBetween(resumed, monotonicNow(), victim);
    const auto others = m_probe.bookingsBetween(from, monotonicNow())
                        - m_probe.bookingsBetween(from, resumed, victim) - runsAfter;
    m_figures["pause_s"] = rounded(resumed - from);
    m_figures["slots_at_resume"] = slotsAtResume;
    m_figures["slots_after"] = m_probe.slotsOwnedBy(victim);
    m_figures["bookings_by_resumed_host"] = runsAfter;
    if (const auto taken = m_probe.takenOverAt(before, victim, from))
        m_figures["taken_over_after_s"] = rounded(*taken - from);
    m_figures["bookings_by_others"] = others;
    bool ok = check(others > 0, "no other host ran bookings");
    // A host that was not replaced in the pause may go on as owner.
    ok = check(slotsAtResume > 0 || runsAfter == 0, "the resumed host ran bookings of others")
         && ok;
    return ok;
}

bool Faults::pauseEntry()
{
    sleepFor(WarmUp);
    const std::string name = Fleet::entryName(1);
    m_fleet.processes().signal(name, SIGSTOP);
    const Duration from = monotonicNow();
    say("paused " + name);
    // All callers soon wait for the paused process, since the bench has no balancer that notices.
    SyncHttp http;
    std::size_t probes = 0;
    std::size_t answered = 0;
    while (monotonicNow() < from + Pause) {
        answered +=
                isBooked(http, 0, std::string(m_row->name) + "-probe-" + std::to_string(probes));
        ++probes;
        sleepFor(PollInterval);
    }
    const Duration resumed = monotonicNow();
    m_fleet.processes().signal(name, SIGCONT);
    say("resumed " + name);
    sleepFor(CoolDown);
    m_figures["probes_at_other_entry"] = probes;
    m_figures["probes_answered"] = answered;
    m_figures["bookings_in_pause"] = m_probe.bookingsBetween(from, resumed);
    m_figures["completions_in_pause"] = m_probe.completionsBetween(from, resumed);
    bool ok = check(probes > 0 && answered == probes,
                    "the other entry process did not answer every booking in the pause");
    ok = check(m_probe.bookingsBetween(resumed, monotonicNow()) > 0, "no booking ran after it")
         && ok;
    return configurationWorks() && ok;
}

bool Faults::repliesLost()
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
        operations.push_back(newOperation());
        const std::string statement =
                "create model lost-" + std::to_string(i) + " in deployment assistant";
        for (std::size_t attempt = 0; attempt < ConcurrentCommands; ++attempt) {
            ++sends;
            const auto reply = ask(i % m_fleet.options().entries, statement, operations.back());
            if (reply.outcome == OperatorOutcome::Accepted) {
                ++accepted;
                break;
            }
            if (reply.outcome == OperatorOutcome::Refused)
                say("refused: " + toJsonText(reply));
            sleepFor(PollInterval);
        }
    }
    sleepFor(std::max(Duration(0), from + Duration(10'000'000) - monotonicNow()));
    m_fleet.setFault("key-value", faultOff("reply_lost"));
    const Duration to = monotonicNow();
    bool ok = configurationWorks();
    const auto log = ask(0, "show operations where who = bench", newOperation());
    std::size_t inLog = 0;
    for (const auto &row : log.table ? log.table->rows : std::vector<std::vector<Cell>>()) {
        inLog += std::ranges::any_of(row, [&](const Cell &cell) {
            const auto *text = std::get_if<std::string>(&cell);
            return text && std::ranges::find(operations, OperationId(*text)) != operations.end();
        });
    }
    sleepFor(CoolDown);
    m_figures["commands"] = Commands;
    m_figures["commands_accepted"] = accepted;
    m_figures["command_sends"] = sends;
    m_figures["commands_in_log"] = inLog;
    m_figures["bookings_in_fault"] = m_probe.bookingsBetween(from, to);
    m_figures["completions_in_fault"] = m_probe.completionsBetween(from, to);
    ok = check(accepted == Commands, "a command was not accepted while replies were lost") && ok;
    ok = check(inLog == Commands, "the log does not have each command once") && ok;
    return check(m_probe.bookingsBetween(from, to) > 0, "no booking ran while replies were lost")
           && ok;
}

bool Faults::slowService()
{
    sleepFor(WarmUp);
    m_fleet.setFault("key-value", fault("slow", 1));
    const Duration from = monotonicNow();
    const bool isAccepted =
            commandUntilAccepted("create model slow in deployment assistant", ConfigurationLimit);
    m_figures["command_accepted_in_fault_s"] = rounded(monotonicNow() - from);
    bool ok = check(isAccepted, "a command was not accepted within 10 s by the slow service");
    sleepFor(std::max(Duration(0), from + Duration(10'000'000) - monotonicNow()));
    m_fleet.setFault("key-value", faultOff("slow"));
    const Duration to = monotonicNow();
    ok = configurationWorks() && ok;
    sleepFor(CoolDown);
    m_figures["bookings_in_fault"] = m_probe.bookingsBetween(from, to);
    m_figures["completions_in_fault"] = m_probe.completionsBetween(from, to);
    ok = check(m_probe.completionsBetween(from, to) > 0, "no completion ran with the slow service")
         && ok;
    return check(m_probe.bookingsBetween(to, monotonicNow()) > 0, "no booking ran after the fault")
           && ok;
}

/// Checks that \a host got its last new request in time and that none of its requests was cut.
bool Faults::checkLastRun(std::size_t host, Duration rowStart, Duration indication)
{
    const Duration now = monotonicNow();
    const auto before = m_probe.runsOf(host, rowStart, indication);
    const auto after = m_probe.runsOf(host, indication, now);
    Duration last{0};
    for (const auto &run : after)
        last = std::max(last, run.received - indication);
    if (host < m_fleet.options().bookings) {
        const auto bookings = m_probe.bookingTimes(host);
        if (!bookings.empty())
            last = std::max(last, bookings.back() - indication);
    }
    const auto isCut = [](const standin::EngineRun &run) {
        return run.outcome != standin::RunOutcome::Finished;
    };
    const auto cut = std::ranges::count_if(before, isCut) + std::ranges::count_if(after, isCut);
    m_figures["requests_before"] = before.size();
    m_figures["requests_after_indication"] = after.size();
    m_figures["last_new_request_s"] = rounded(last);
    m_figures["requests_cut"] = cut;
    bool ok = check(!before.empty(), "the host had no requests before it left");
    ok = check(last <= LeavingLimit, "a new request later than 3 s after the indication") && ok;
    return check(cut == 0, "a request in progress was cut") && ok;
}

bool Faults::listedLeaving()
{
    const std::size_t host = m_fleet.options().hosts - 2;
    const Duration from = monotonicNow();
    sleepFor(WarmUp);
    m_fleet.setHosts({{host, HostState::Leaving}});
    const Duration visible = monotonicNow() + HostListLag;
    say("listed " + Fleet::hostName(host) + " as leaving");
    sleepFor(CoolDown * 2);
    bool ok = checkLastRun(host, from, visible);
    // A process that has left stays away; its successor must be used once the list agrees.
    m_fleet.setHosts({});
    sleepFor(HostListLag);
    ok = check(m_fleet.processes().stop(Fleet::hostName(host), std::chrono::seconds(25)),
               "the leaving host did not stop with exit code 0")
         && ok;
    m_fleet.startHost(host);
    return waitForWork(host) && ok;
}

/// Waits until \a host, whose process was started just now, gets a new request.
bool Faults::waitForWork(std::size_t host)
{
    const Duration from = monotonicNow();
    bool isUsed = false;
    while (!isUsed && monotonicNow() < from + SettleLimit) {
        sleepFor(PollInterval);
        isUsed = !m_probe.runsOf(host, from, monotonicNow()).empty();
    }
    m_figures["restarted_in_use_after_s"] = rounded(monotonicNow() - from);
    return check(isUsed, "the restarted host got no work");
}

bool Faults::stopsUnderLoad(std::size_t host)
{
    const std::string name = Fleet::hostName(host);
    const Duration from = monotonicNow();
    sleepFor(WarmUp);
    const Duration indication = monotonicNow();
    say("stopping " + name);
    const bool isClean = m_fleet.processes().stop(name, std::chrono::seconds(25));
    m_figures["stopped_after_s"] = rounded(monotonicNow() - indication);
    bool ok = check(isClean, name + " did not stop with exit code 0");
    sleepFor(CoolDown);
    if (host < m_fleet.options().bookings) {
        sleepFor(CoolDown * 2);
        const auto times = m_probe.bookingTimes();
        Duration gap{0};
        for (std::size_t i = 1; i < times.size(); ++i)
            gap = std::max(gap, times[i] - times[i - 1]);
        m_figures["longest_time_without_booking_s"] = rounded(gap);
    }
    ok = checkLastRun(host, from, indication) && ok;
    m_fleet.startHost(host);
    return waitForWork(host) && ok;
}

/// Sends \a statements at once to two entry processes, decided on the same revision.
bool Faults::raceOnce(const std::array<std::string, 2> &statements, std::vector<Duration> &spread)
{
    const auto known = m_probe.revisions();
    const Revision decided{*std::ranges::max_element(known)};
    std::array<OperatorReply, 2> replies;
    std::array<Duration, 2> times{};
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < 2; ++i)
        senders.emplace_back([&, i] {
            replies[i] =
                    ask(i, statements[i], newOperation(), decided, "operator-" + std::to_string(i));
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
    const bool isTold = loser.outcome == OperatorOutcome::Refused && loser.conflict
                        && loser.conflict->operation == replies[winner].operation
                        && loser.conflict->record.who == "operator-" + std::to_string(winner);
    bool ok = check(isTold, "the loser was not told who won: " + toJsonText(loser));
    ok = check(measureSpread(replies[winner].revision, times[winner], spread),
               "a process did not show the new revision within 10 s")
         && ok;
    const auto found = m_probe.revisions();
    return check(std::ranges::all_of(found, [&](auto n) { return n == found.front(); }),
                 "processes show different revisions")
           && ok;
}

bool Faults::operatorRace()
{
    constexpr std::size_t Rounds = 6;
    std::vector<Duration> spread;
    bool ok = true;
    const std::string host = Fleet::hostName(m_fleet.options().hosts - 1);
    for (std::size_t i = 0; i < Rounds; ++i) {
        const std::string model = "create model race-" + std::to_string(i);
        ok = raceOnce({model + " in deployment assistant", model + " in deployment assistant"},
                      spread)
             && ok;
        const std::string deny =
                "deny customers c" + std::to_string(i) + " in deployment assistant";
        const std::string allow =
                "allow customers c" + std::to_string(i) + " in deployment assistant";
        ok = raceOnce({allow, deny}, spread) && ok;
        const std::string deployment = "create deployment race-" + std::to_string(i);
        ok = raceOnce({deployment + " kind model", deployment + " kind service"}, spread) && ok;
        ok = raceOnce({"drain host " + host, "drain host " + host}, spread) && ok;
        ok = check(commandUntilAccepted("return host " + host), "the host was not returned") && ok;
    }
    // The same operation that reaches two entry processes takes effect once.
    const auto operation = newOperation();
    std::array<OperatorReply, 2> replies;
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < 2; ++i)
        senders.emplace_back([&, i] {
            replies[i] = ask(i, "create model race-same in deployment assistant", operation);
        });
    for (auto &sender : senders)
        sender.join();
    ok = check(replies[0].outcome == OperatorOutcome::Accepted
                       && replies[1].outcome == OperatorOutcome::Accepted
                       && replies[0].revision == replies[1].revision,
               "one operation sent twice: " + toJsonText(replies[0]) + " and "
                       + toJsonText(replies[1]))
         && ok;
    std::ranges::sort(spread);
    m_figures["races"] = 4 * Rounds;
    if (!spread.empty()) {
        m_figures["in_effect_p50_s"] = rounded(spread[spread.size() / 2]);
        m_figures["in_effect_p99_s"] = rounded(spread[spread.size() * 99 / 100]);
        m_figures["in_effect_last_s"] = rounded(spread.back());
    }
    return ok;
}

bool Faults::silentStreams()
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
    m_figures["completions_in_fault"] = m_probe.completionsBetween(from, monotonicNow());
    return check(m_probe.completionsBetween(from, monotonicNow()) > 0, "no completion ran");
}

/// Sends one booking without resending it.
bool Faults::isBooked(SyncHttp &http, std::size_t entry, const std::string &key)
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

std::string Faults::poisonOnce(SyncHttp &http, std::size_t entry)
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

bool Faults::poison()
{
    constexpr std::size_t Resends = 8;
    sleepFor(WarmUp);
    const std::uint64_t before = m_probe.boots();
    std::vector<std::vector<std::string>> replies(m_fleet.options().entries);
    std::vector<std::thread> senders;
    for (std::size_t entry = 0; entry < replies.size(); ++entry)
        senders.emplace_back([&, entry] {
            SyncHttp http;
            for (std::size_t i = 0; i < Resends; ++i) {
                replies[entry].push_back(poisonOnce(http, entry));
                sleepFor(PollInterval);
            }
        });
    for (auto &sender : senders)
        sender.join();
    // An engine counts a boot when it is back, after one second.
    sleepFor(CoolDown);
    const std::uint64_t crashes = m_probe.boots() - before;
    SyncHttp http;
    std::vector<std::string> later;
    for (std::size_t entry = 0; entry < replies.size(); ++entry)
        later.push_back(poisonOnce(http, entry));
    sleepFor(CoolDown);
    const std::uint64_t crashesLater = m_probe.boots() - before - crashes;
    // Section 6.4: the second crash convicts, and one more for each entry process that has not yet
    // received the record.
    const std::uint64_t bound = 2 + m_fleet.options().entries - 1;
    m_figures["engines_crashed"] = crashes;
    m_figures["bound"] = bound;
    m_figures["engines_crashed_later"] = crashesLater;
    m_figures["replies"] = toJson(replies);
    m_figures["replies_later"] = toJson(later);
    bool ok = check(crashes > 0 && crashes <= bound, "more engines crashed than the bound");
    return check(crashesLater == 0, "an engine crashed after the request was known") && ok;
}

} // namespace godwit
