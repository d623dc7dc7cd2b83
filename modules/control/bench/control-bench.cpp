#include "fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <malloc.h>
#include <string>
#include <sys/resource.h>
#include <vector>

using namespace godwit;
using namespace godwit::bench;
using namespace std::chrono_literals;

namespace {

double percentile(std::vector<double> values, double p)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto i =
            static_cast<std::size_t>(std::lround(p * static_cast<double>(values.size() - 1)));
    return values[i];
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
           + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) * 1e-6;
}

Command toggleDrain(int i)
{
    const HostId host("h" + std::to_string(i / 2));
    return i % 2 == 0 ? Command(DrainHost{host}) : Command(ReturnHost{host});
}

/// Records when each accepted revision takes effect in each process.
struct RevisionTimes
{
    explicit RevisionTimes(Fleet &f)
        : fleet(f)
    {
        fleet.onPublish = [this](Fleet::Process &p, const Configuration &c) {
            for (auto &change : changes) {
                if (change.revision <= c.revision && !change.at.contains(p.index))
                    change.at[p.index] = fleet.queue.now();
            }
        };
    }

    void submit(std::size_t process, int i)
    {
        fleet.submit(fleet.processes[process], toggleDrain(i), "op" + std::to_string(i),
                     [this](const WriteResult &r) {
                         if (r.decision != WriteDecision::Accepted) {
                             ++notAccepted;
                             return;
                         }
                         changes.push_back({r.revision, fleet.queue.now(), {}});
                         for (auto &p : fleet.processes) {
                             if (p.dissemination->applied() >= r.revision)
                                 changes.back().at[p.index] = fleet.queue.now();
                         }
                     });
    }

    struct Change
    {
        Revision revision;
        TimePoint accepted;
        std::map<std::size_t, TimePoint> at;
    };

    Fleet &fleet;
    std::vector<Change> changes;
    int notAccepted = 0;
};

void benchSpread(double loss, bool partition)
{
    std::vector<double> each;
    std::vector<double> last;
    std::vector<double> healed;
    int changes = 0;
    int missing = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet::Settings settings;
        settings.members = 100;
        settings.zones = 6;
        settings.entries = 8;
        settings.loss = loss;
        settings.seed = seed;
        Fleet fleet(settings);
        RevisionTimes revisionTimes(fleet);
        fleet.run(20s);
        const std::size_t cutZone = 3;
        if (partition)
            fleet.partition(cutZone, true);
        for (int i = 0; i < 30; ++i) {
            std::size_t entry = fleet.random().below(settings.entries);
            if (partition && fleet.processes[entry].zone == cutZone)
                entry = 0;
            revisionTimes.submit(entry, i);
            fleet.run(1s);
        }
        const TimePoint heal = fleet.queue.now();
        if (partition)
            fleet.partition(cutZone, false);
        fleet.run(60s);
        for (const auto &change : revisionTimes.changes) {
            ++changes;
            double slowest = 0;
            for (const auto &p : fleet.processes) {
                const bool cut = partition && p.zone == cutZone;
                if (!change.at.contains(p.index)) {
                    ++missing;
                    continue;
                }
                const TimePoint from = cut ? std::max(heal, change.accepted) : change.accepted;
                const double seconds = toSeconds(change.at.at(p.index) - from);
                (cut ? healed : each).push_back(seconds);
                if (!cut)
                    slowest = std::max(slowest, seconds);
            }
            last.push_back(slowest);
        }
    }
    std::printf("| %.0f%% | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %d |\n", loss * 100,
                partition ? "30 s" : "none", changes, percentile(each, 0.5), percentile(each, 0.99),
                percentile(last, 0.99), percentile(healed, 0.99), percentile(healed, 1), missing);
}

void spread()
{
    std::printf("| loss | zone cut | changes | p50 s | p99 s | p99 of the last process s | p99 "
                "after healing s | max after healing s | never "
                "|\n|---|---|---|---|---|---|---|---|---|\n");
    benchSpread(0, false);
    benchSpread(0.05, false);
    benchSpread(0.05, true);
}

/// Fills the store with a document that has \a orders load orders and as many models with one
/// version each.
void fillDocument(Fleet &fleet, int orders)
{
    Configuration c;
    CommandContext context;
    context.who = "operator";
    for (std::size_t i = 0; i < fleet.processes.size(); ++i)
        context.hosts.push_back({fleet.processes[i].host, ZoneId(std::to_string(i % 16))});
    int n = 0;
    const auto apply = [&](const Command &command) {
        context.operation = OperationId("fill" + std::to_string(n));
        context.when = ++n;
        auto next = capture([&] { return applyCommand(c, command, context); });
        if (succeeded(next))
            c = std::get<0>(next);
        else
            std::printf("%s\n", toString(std::get<1>(next)).c_str());
    };
    apply(CreateDeployment{DeploymentId("assistant"), {}});
    for (int i = 0; i < orders; ++i) {
        const ModelId model("model-" + std::to_string(i));
        apply(CreateModel{model, DeploymentId("assistant")});
        apply(CreateVersion{model, {}, VersionId("v1"), {Digest::of("x"), 1000}});
        apply(LoadModel{DeploymentId("assistant"), model, {}, VersionId("v1"), 37, {}});
    }
    fleet.store.write(0, toJsonText(c));
}

void measure(std::size_t members, std::size_t zones, int orders, double changesPerSecond)
{
    Fleet::Settings settings;
    settings.members = members;
    settings.zones = zones;
    settings.entries = std::max<std::size_t>(2, members / 30);
    settings.maxDelay = 20ms;
    malloc_trim(0);
    const double before = static_cast<double>(mallinfo2().uordblks);
    Fleet fleet(settings);
    if (orders > 0)
        fillDocument(fleet, orders);
    fleet.run(60s);
    const double memory =
            (static_cast<double>(mallinfo2().uordblks) - before) / static_cast<double>(members);
    std::uint64_t bytes[3] = {0, 0, 0};
    std::uint64_t messages = 0;
    for (auto &p : fleet.processes) {
        for (int k = 0; k < 3; ++k)
            bytes[k] -= p.bytesByKind[k];
        messages -= p.messagesSent;
    }
    const auto calls = fleet.watchCalls + fleet.store.calls;
    const double cpu = processorSeconds();
    constexpr int Seconds = 60;
    int n = 0;
    double due = 0;
    for (int s = 0; s < Seconds; ++s) {
        for (due += changesPerSecond; due >= 1; due -= 1) {
            fleet.submit(fleet.processes[0], toggleDrain(n), "change" + std::to_string(n),
                         [](const WriteResult &) {});
            ++n;
        }
        fleet.run(1s);
    }
    const double cpuUsed = processorSeconds() - cpu;
    for (auto &p : fleet.processes) {
        for (int k = 0; k < 3; ++k)
            bytes[k] += p.bytesByKind[k];
        messages += p.messagesSent;
    }
    const double scale = 1.0 / (static_cast<double>(members) * Seconds);
    std::size_t complete = 0;
    for (auto &p : fleet.processes)
        complete += p.membership->live().size() == members ? 1 : 0;
    std::printf("| %zu | %zu | %zu | %.2f | %.0f | %.0f | %.0f | %.0f | %.1f | %.3f%% | %.0f | "
                "%.2f | %zu |\n",
                members, zones, orders > 0 ? fleet.store.history.front().size() / 1000 : 0,
                changesPerSecond, static_cast<double>(bytes[0] + bytes[1] + bytes[2]) * scale,
                static_cast<double>(bytes[0]) * scale, static_cast<double>(bytes[1]) * scale,
                static_cast<double>(bytes[2]) * scale, static_cast<double>(messages) * scale,
                cpuUsed * scale * 100, memory / 1000,
                static_cast<double>(fleet.watchCalls + fleet.store.calls - calls) / Seconds,
                members - complete);
    std::fflush(stdout);
}

void costHeader()
{
    std::printf(
            "| members | zones | document KB | changes/s | bytes/s sent | gossip | pushes | pulls "
            "| messages/s | processor of one core | memory KB | key-value calls/s, fleet | "
            "incomplete views |\n"
            "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void cost()
{
    costHeader();
    for (const std::size_t members : {100, 200, 400})
        measure(members, 6, 0, 0);
    for (const std::size_t members : {100, 200, 400})
        measure(members, 6, 20, 0.2);
}

void idle()
{
    costHeader();
    for (const std::size_t members : {12, 100, 550, 930}) {
        measure(members, 3, 0, 0);
        if (members > 16)
            measure(members, 16, 0, 0);
    }
}

void document()
{
    costHeader();
    for (const int orders : {10, 40, 80})
        measure(100, 6, orders, 0.2);
}

/// Stops hosts and measures the time until each entry process with a session to them stops using
/// them.
void detection(std::size_t members, double loss)
{
    std::vector<double> seconds;
    int missed = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet::Settings settings;
        settings.members = members;
        settings.zones = 6;
        settings.entries = 8;
        settings.sessions = 32;
        settings.loss = loss;
        settings.seed = seed;
        Fleet fleet(settings);
        fleet.run(30s);
        for (int i = 0; i < 10; ++i) {
            const std::size_t victim =
                    settings.entries + fleet.random().below(members - settings.entries);
            if (!fleet.processes[victim].up)
                continue;
            fleet.stopProcess(fleet.processes[victim]);
            const TimePoint stopped = fleet.queue.now();
            std::map<std::size_t, double> seen;
            for (int step = 0; step < 200; ++step) {
                fleet.run(50ms);
                for (const auto &[entry, host] : fleet.sessionPairs) {
                    if (host == victim && !seen.contains(entry)
                        && !fleet.processes[entry].membership->isUsable(fleet.queue.now(),
                                                                        fleet.processes[host].host))
                        seen[entry] = toSeconds(fleet.queue.now() - stopped);
                }
            }
            for (const auto &[entry, host] : fleet.sessionPairs) {
                if (host == victim && !seen.contains(entry))
                    ++missed;
            }
            for (const auto &[entry, at] : seen)
                seconds.push_back(at);
        }
    }
    std::printf("| %zu | %.0f%% | %zu | %.2f | %.2f | %.2f | %d |\n", members, loss * 100,
                seconds.size(), percentile(seconds, 0.5), percentile(seconds, 0.99),
                percentile(seconds, 1), missed);
}

void falsePositives(std::size_t members, double loss, int minutes)
{
    Fleet::Settings settings;
    settings.members = members;
    settings.zones = 6;
    settings.entries = 8;
    settings.sessions = 32;
    settings.loss = loss;
    Fleet fleet(settings);
    fleet.run(60s);
    std::uint64_t dead = 0;
    std::uint64_t suspected = 0;
    fleet.onMemberChanged = [&](Fleet::Process &p, const MemberChanged &change) {
        if (change.member.host == p.host)
            return;
        dead += change.member.status == MemberStatus::Dead ? 1 : 0;
        suspected += change.member.status == MemberStatus::Suspect ? 1 : 0;
    };
    std::uint64_t unusable = 0;
    std::map<std::pair<std::size_t, std::size_t>, bool> wasUnusable;
    for (int step = 0; step < minutes * 600; ++step) {
        fleet.run(100ms);
        for (const auto &pair : fleet.sessionPairs) {
            const bool isUnusable = !fleet.processes[pair.first].membership->isUsable(
                    fleet.queue.now(), fleet.processes[pair.second].host);
            unusable += isUnusable && !wasUnusable[pair] ? 1 : 0;
            wasUnusable[pair] = isUnusable;
        }
    }
    const double hours = minutes / 60.0;
    std::printf("| %zu | %.0f%% | %d | %.1f | %.1f | %.1f |\n", members, loss * 100, minutes,
                static_cast<double>(dead) / hours, static_cast<double>(unusable) / hours,
                static_cast<double>(suspected) / hours);
}

void leaving()
{
    std::vector<double> sessions;
    std::vector<double> others;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet::Settings settings;
        settings.members = 100;
        settings.zones = 6;
        settings.entries = 8;
        settings.sessions = 32;
        settings.loss = 0.01;
        settings.seed = seed;
        Fleet fleet(settings);
        fleet.run(30s);
        for (int i = 0; i < 5; ++i) {
            auto &host = fleet.processes[settings.entries + static_cast<std::size_t>(i) * 7 + seed];
            const TimePoint left = fleet.queue.now();
            fleet.perform(host, host.membership->leave(left));
            std::map<std::size_t, double> seen;
            for (int step = 0; step < 1000 && seen.size() < settings.entries; ++step) {
                fleet.run(10ms);
                for (std::size_t e = 0; e < settings.entries; ++e) {
                    if (!seen.contains(e)
                        && !fleet.processes[e].membership->isUsable(fleet.queue.now(), host.host))
                        seen[e] = toSeconds(fleet.queue.now() - left);
                }
            }
            for (std::size_t e = 0; e < settings.entries; ++e) {
                const bool session =
                        std::ranges::count(fleet.sessionPairs, std::pair(e, host.index)) > 0;
                (session ? sessions : others).push_back(seen.contains(e) ? seen[e] : 10);
            }
        }
    }
    std::printf("| entries with a session | %zu | %.2f | %.2f | %.2f |\n", sessions.size(),
                percentile(sessions, 0.5), percentile(sessions, 0.99), percentile(sessions, 1));
    std::printf("| other entries | %zu | %.2f | %.2f | %.2f |\n", others.size(),
                percentile(others, 0.5), percentile(others, 0.99), percentile(others, 1));
}

void members()
{
    std::printf("| members | loss | cases | p50 s | p99 s | max s | missed "
                "|\n|---|---|---|---|---|---|---|\n");
    detection(100, 0);
    detection(100, 0.01);
    detection(400, 0.01);
    std::printf("\n| members | loss | minutes | declared dead /h | unusable at an entry /h | "
                "suspected /h, all views |\n|---|---|---|---|---|---|\n");
    falsePositives(100, 0.01, 60);
    falsePositives(400, 0.01, 20);
    std::printf("\n| last new request after leave() | cases | p50 s | p99 s | max s "
                "|\n|---|---|---|---|---|\n");
    leaving();
}

} // namespace

/// Usage: control-bench [spread|cost|idle|document|members]... (default: all)
int main(int argc, char **argv)
{
    struct Part
    {
        const char *name;
        void (*run)();
    };
    const Part parts[] = {{"spread", spread},
                          {"cost", cost},
                          {"idle", idle},
                          {"document", document},
                          {"members", members}};
    for (const Part &part : parts) {
        bool wanted = argc < 2;
        for (int i = 1; i < argc; ++i)
            wanted = wanted || std::strcmp(argv[i], part.name) == 0;
        if (!wanted)
            continue;
        std::printf("\n### %s\n\n", part.name);
        part.run();
        std::fflush(stdout);
    }
}
