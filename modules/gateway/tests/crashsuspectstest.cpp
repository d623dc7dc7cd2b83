#include <godwit/gateway/crashsuspects.h>

#include <godwit/base/random.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

RequestContent content(std::vector<std::string> parts, const std::string &whole)
{
    RequestContent it;
    for (std::string &part : parts)
        it.sharedParts.emplace_back(std::move(part));
    it.whole = ContentKey(whole);
    return it;
}

BackendInstance instance(int number, std::uint64_t start = 1)
{
    return {BackendId("b" + std::to_string(number)), start};
}

/// Entry processes that learn of each other's crashes after a delay of some requests.
struct Fleet
{
    static constexpr std::size_t ExchangeDelay = 4; ///< In requests of all processes.

    std::vector<CrashSuspects> processes = std::vector<CrashSuspects>(5);
    std::vector<std::pair<std::size_t, CrashReport>> reports;
    std::vector<std::pair<std::size_t, HarmlessContent>> harmless;
    TimePoint now;
    std::size_t sent = 0;
    std::vector<TimePoint> crashes;

    /// Sends a request through the process at \a index. Returns whether a backend server got it.
    bool send(std::size_t index, const RequestContent &request, bool crashesServer)
    {
        ++sent;
        now += 20ms;
        exchange();
        if (processes[index].decide(request, now) == CrashSuspects::Decision::Refuse)
            return false;
        if (!crashesServer) {
            for (const HarmlessContent &it : processes[index].recordStart(request))
                harmless.emplace_back(sent, it);
            return true;
        }
        crashes.push_back(now);
        const auto report = processes[index].recordCrash(instance(static_cast<int>(crashes.size())),
                                                         request, now);
        if (report)
            reports.emplace_back(sent, *report);
        return true;
    }

    void exchange()
    {
        while (!reports.empty() && reports.front().first + ExchangeDelay <= sent) {
            for (CrashSuspects &process : processes) {
                for (const HarmlessContent &it : process.merge(reports.front().second, now))
                    harmless.emplace_back(sent, it);
            }
            reports.erase(reports.begin());
        }
        while (!harmless.empty() && harmless.front().first + ExchangeDelay <= sent) {
            for (CrashSuspects &it : processes)
                it.recordHarmless(harmless.front().second);
            harmless.erase(harmless.begin());
        }
    }
};

} // namespace

// Guards against requests that crash one backend server after the other, and against sound ones
// that are refused because they have parts in common with them.
TEST_CASE("CrashSuspects finds the part of a prompt that crashes backend servers")
{
    CrashSuspects suspects;
    const TimePoint start;
    const auto sound = content({"system", "subject"}, "r0");
    suspects.recordStart(sound);

    SECTION("the parts that other requests have in common with it are harmless")
    {
        const auto report = suspects.recordCrash(
                instance(1), content({"system", "bad", "subject"}, "r1"), start);
        REQUIRE(report);
        CHECK(report->suspects == std::vector{ContentKey("bad"), ContentKey("r1")});
        CHECK_FALSE(suspects.isSuspended(content({"system", "bad"}, "r2"), start));

        SECTION("after the second crash no request with it runs, whatever else it holds")
        {
            suspects.recordCrash(instance(2), content({"system", "bad"}, "r2"), start);
            CHECK(suspects.isSuspended(content({"other", "bad"}, "r3"), start));
            CHECK_FALSE(suspects.isSuspended(sound, start));
            CHECK_FALSE(suspects.isSuspended(content({"system", "new"}, "r4"), start));

            SECTION("two crashes may be a coincidence, so it is tried again after a while")
            {
                const TimePoint later = start + CrashSuspects::ShortSuspension;
                CHECK_FALSE(suspects.isSuspended(content({"bad"}, "r5"), later));
                SECTION("and is the certain cause after a third one, while requests with it come")
                {
                    suspects.recordCrash(instance(3), content({"bad"}, "r5"), later);
                    for (int i = 1; i <= 20; ++i)
                        CHECK(suspects.decide(content({"bad"}, "r6"), later + i * 9min)
                              == CrashSuspects::Decision::Refuse);
                }
                SECTION("or is cleared by an answer")
                {
                    suspects.recordStart(content({"bad"}, "r5"));
                    suspects.recordCrash(instance(3), content({"bad"}, "r6"), later);
                    suspects.recordCrash(instance(4), content({"bad"}, "r7"), later);
                    CHECK_FALSE(suspects.isSuspended(content({"bad"}, "r8"), later));
                }
            }
        }
        // A crash breaks all connections to the server at once.
        SECTION("several requests that one crash has broken count once")
        {
            CHECK(suspects.recordCrash(instance(1), content({"bad"}, "r2"), start)->suspects
                  == std::vector{ContentKey("r2")});
            CHECK_FALSE(suspects.isSuspended(content({"bad"}, "r3"), start));
        }
        SECTION("a restarted backend server that crashes counts again")
        {
            suspects.recordCrash(instance(1, 2), content({"bad"}, "r2"), start);
            CHECK(suspects.isSuspended(content({"bad"}, "r3"), start));
        }
    }
    // A part that no process has seen before was in both requests by coincidence.
    SECTION("what has only been beside the certain cause is cleared")
    {
        for (int i = 1; i <= 2; ++i)
            suspects.recordCrash(instance(i), content({"bad", "fresh"}, "r"), start);
        CHECK(suspects.isSuspended(content({"fresh"}, "s"), start));
        suspects.recordCrash(instance(3), content({"bad"}, "r"), start);
        CHECK_FALSE(suspects.isSuspended(content({"fresh"}, "s"), start));
        CHECK(suspects.isSuspended(content({"bad"}, "s"), start));
    }
    // Without it, a part that all requests share could stop all of them if the first requests
    // after a start crash their servers.
    SECTION("a request without one of the suspended parts is a trial")
    {
        for (int i = 1; i <= 2; ++i)
            suspects.recordCrash(instance(i), content({"bad", "fresh"}, "r" + std::to_string(i)),
                                 start);
        using Decision = CrashSuspects::Decision;
        CHECK(suspects.decide(content({"bad", "fresh"}, "s"), start) == Decision::Refuse);
        CHECK(suspects.decide(content({"fresh"}, "s"), start) == Decision::Trial);
        CHECK(suspects.decide(content({"fresh"}, "t"), start) == Decision::Refuse);
        CHECK(suspects.decide(content({"fresh"}, "t"), start + CrashSuspects::TrialInterval)
              == Decision::Trial);
        CHECK(suspects.recordStart(content({"fresh"}, "t"))
              == std::vector{HarmlessContent{ContentKey("fresh")}});
        CHECK(suspects.decide(content({"fresh"}, "u"), start) == Decision::Run);
        CHECK(suspects.isSuspended(content({"bad"}, "u"), start));
    }
    // Three servers may crash before any of them has answered. Guards against a part that sound
    // requests share with the cause and that stays suspended for as long as they come.
    SECTION("also if the parts were together in every crash so far")
    {
        for (int i = 1; i <= 3; ++i)
            suspects.recordCrash(instance(i), content({"bad", "fresh"}, "r" + std::to_string(i)),
                                 start);
        using Decision = CrashSuspects::Decision;
        CHECK(suspects.decide(content({"bad", "fresh"}, "s"), start) == Decision::Refuse);
        CHECK(suspects.decide(content({"fresh"}, "s"), start) == Decision::Trial);
        SECTION("an answer clears the part")
        {
            suspects.recordStart(content({"fresh"}, "s"));
            CHECK(suspects.decide(content({"fresh"}, "t"), start) == Decision::Run);
            CHECK(suspects.decide(content({"bad"}, "t"), start + 1s) == Decision::Refuse);
        }
        SECTION("a crash makes it the cause, of which there is no further trial")
        {
            suspects.recordCrash(instance(4), content({"fresh"}, "s"), start);
            CHECK(suspects.decide(content({"fresh"}, "t"), start + 1s) == Decision::Refuse);
            CHECK(suspects.decide(content({"bad"}, "t"), start + 1s) == Decision::Run);
        }
    }
    SECTION("a request that is sent again is found without a shared part")
    {
        const auto request = content({}, "booking");
        suspects.recordCrash(instance(1), request, start);
        CHECK_FALSE(suspects.isSuspended(request, start));
        suspects.recordCrash(instance(2), request, start);
        CHECK(suspects.isSuspended(request, start));
    }
    // A zone loses power: many servers end together, under whatever they were running.
    SECTION("crashes of many servers at once suspend no content that has been answered before")
    {
        for (int i = 0; i < 30; ++i)
            suspects.recordCrash(instance(i), content({"system", "subject"}, std::to_string(i)),
                                 start);
        CHECK_FALSE(suspects.isSuspended(sound, start));
    }
}

// Guards against processes that each count only the crashes that they have seen themselves.
TEST_CASE("CrashSuspects merges the reports of other processes")
{
    CrashSuspects suspects;
    const TimePoint now;

    SECTION("crashes that different processes have seen add up")
    {
        suspects.merge({instance(1), {ContentKey("bad")}}, now);
        suspects.merge({instance(1), {ContentKey("bad")}}, now);
        CHECK_FALSE(suspects.isSuspended(content({"bad"}, "r"), now));
        CHECK(suspects.suspensionCount() == 0);
        suspects.merge({instance(2), {ContentKey("bad")}}, now);
        CHECK(suspects.isSuspended(content({"bad"}, "r"), now));
        CHECK(suspects.suspensionCount() == 1);
        // Reports that are sent again must not make the process look through its requests again.
        suspects.merge({instance(2), {ContentKey("bad")}}, now);
        CHECK(suspects.suspensionCount() == 1);
    }
    SECTION("content that was answered here is harmless, which the other process should know")
    {
        suspects.recordStart(content({"rare"}, "r"));
        CHECK(suspects.merge({instance(1), {ContentKey("rare"), ContentKey("bad")}}, now)
              == std::vector{HarmlessContent{ContentKey("rare")}});
        CrashSuspects other;
        other.merge({instance(1), {ContentKey("rare")}}, now);
        other.merge({instance(2), {ContentKey("rare")}}, now);
        other.recordHarmless({ContentKey("rare")});
        CHECK_FALSE(other.isSuspended(content({"rare"}, "r"), now));
    }
    // Each process sends its earlier reports again with each new one. Guards against a part that
    // is suspended again although the certain cause explains its crashes.
    SECTION("reports that are sent again do not bring cleared suspects back")
    {
        const auto sendAll = [&] {
            for (int i = 1; i <= 3; ++i) {
                CrashReport report{instance(i), {ContentKey("bad")}};
                if (i < 3)
                    report.suspects.emplace_back("fresh");
                suspects.merge(report, now);
            }
        };
        sendAll();
        CHECK_FALSE(suspects.isSuspended(content({"fresh"}, "r"), now));
        sendAll();
        CHECK_FALSE(suspects.isSuspended(content({"fresh"}, "r"), now));
        CHECK(suspects.isSuspended(content({"bad"}, "r"), now));
    }
    SECTION("memory is bounded, and old suspects are forgotten")
    {
        for (std::size_t i = 0; i < 3 * CrashSuspects::MaxSuspects; ++i)
            suspects.recordCrash(instance(1), content({}, std::to_string(i)), now);
        CHECK(suspects.suspectCount() <= CrashSuspects::MaxSuspects);
        suspects.recordCrash(instance(1), content({}, "late"), now + CrashSuspects::LongSuspension);
        CHECK(suspects.suspectCount() == 1);
    }
}

// Load pattern: one request in twenty has a part that crashes every engine. Guards against entry
// processes that each learn alone, so that engines keep crashing one after the other.
TEST_CASE("Five processes stop content that crashes backend servers after a few crashes")
{
    constexpr int Requests = 5000;
    constexpr int Subjects = 40;
    constexpr Duration ContactTime = 3s;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        Fleet fleet;
        Random random(seed);
        std::vector<TimePoint> refused;
        for (int i = 0; i < Requests; ++i) {
            const auto process = static_cast<std::size_t>(random.uniform() * 5);
            const auto subject = static_cast<int>(random.uniform() * Subjects);
            const bool isBad = random.uniform() < 0.05;
            std::vector<std::string> parts{"system", "subject" + std::to_string(subject)};
            if (isBad)
                parts.emplace_back("bad");
            const auto request = content(std::move(parts), "request" + std::to_string(i));
            if (!fleet.send(process, request, isBad) && !isBad)
                refused.push_back(fleet.now);
        }
        REQUIRE(fleet.crashes.size() >= 2);
        const TimePoint fifth = fleet.crashes[std::min<std::size_t>(4, fleet.crashes.size() - 1)];
        CHECK(std::ranges::count_if(fleet.crashes,
                                    [&](TimePoint it) { return it > fifth + ContactTime; })
              <= 3);
        CHECK(std::ranges::none_of(refused,
                                   [&](TimePoint it) { return it > fifth + 2 * ContactTime; }));
    }
}

// Guards against a part that sound requests share with a request that crashes servers, and that
// stays suspended for good although that request has stayed away.
TEST_CASE("CrashSuspects tells the request that crashes backend servers from its parts")
{
    using Decision = CrashSuspects::Decision;
    CrashSuspects suspects;
    TimePoint now;
    int crashes = 0;
    const auto crash = [&](const std::string &whole) {
        return suspects.recordCrash(instance(++crashes), content({"shared"}, whole), now);
    };
    const auto decide = [&](const std::string &whole) {
        now += CrashSuspects::TrialInterval;
        return suspects.decide(content({"shared"}, whole), now);
    };

    SECTION("if one request was in all crashes, another one with its part is a trial")
    {
        for (int i = 0; i < 3; ++i)
            crash("request-bad");
        CHECK(decide("request-bad") == Decision::Refuse);
        CHECK(decide("request-sound") == Decision::Trial);
        CHECK(suspects.decide(content({"shared"}, "request-next"), now) == Decision::Refuse);

        SECTION("whose answer clears the part, but not the request")
        {
            suspects.recordStart(content({"shared"}, "request-sound"));
            CHECK(decide("request-next") == Decision::Run);
            CHECK(decide("request-bad") == Decision::Refuse);
        }
        SECTION("whose crash is followed by one more trial, since it may be bad as well")
        {
            crash("request-sound");
            CHECK(decide("request-sound") == Decision::Refuse);
            CHECK(decide("request-next") == Decision::Trial);
            crash("request-next");
            for (int i = 0; i < 10; ++i)
                CHECK(decide("request-" + std::to_string(i)) == Decision::Refuse);
        }
    }
    SECTION("also if several requests with the part crash servers")
    {
        for (int i = 0; i < 3; ++i) {
            crash("request-bad");
            crash("request-worse");
        }
        CHECK(decide("request-sound") == Decision::Trial);
        CHECK(decide("request-worse") == Decision::Refuse);
    }
    SECTION("and if one of them is a suspect for the first time")
    {
        for (int i = 0; i < 3; ++i)
            crash("request-bad");
        crash("request-worse");
        CHECK(decide("request-worse") == Decision::Refuse);
        CHECK(decide("request-sound") == Decision::Trial);
        SECTION("but not for a later part, which is in few requests")
        {
            suspects.recordStart(content({"system"}, "request-first"));
            CHECK(suspects.decide(content({"system", "shared"}, "request-next"), now + 1s)
                  == Decision::Refuse);
        }
    }
    // The suspension after two crashes ends, but what they say does not.
    SECTION("and if the suspension of the first one has ended meanwhile")
    {
        crash("request-bad");
        crash("request-bad");
        now += CrashSuspects::ShortSuspension;
        crash("request-worse");
        CHECK(decide("request-bad") == Decision::Refuse);
        CHECK(decide("request-sound") == Decision::Trial);
    }
    // Requests that differ have no other common cause.
    SECTION("if different requests crashed with the part, there is no trial")
    {
        crash("request-1");
        crash("request-1");
        crash("request-2");
        crash("request-3");
        CHECK(decide("request-4") == Decision::Refuse);
    }
    SECTION("a request without the part that was certainly on the same servers explains it too")
    {
        for (int i = 1; i <= 3; ++i) {
            suspects.recordCrash(instance(i), content({}, "request-bad"), now);
            suspects.recordCrash(instance(i), content({"shared"}, "request-" + std::to_string(i)),
                                 now);
        }
        CHECK(decide("request-sound") == Decision::Trial);
    }
    SECTION("a process that has only read the reports decides alike")
    {
        CrashSuspects one;
        CrashSuspects several;
        for (int i = 0; i < 3; ++i) {
            const auto first = crash("request-bad");
            REQUIRE(first);
            one.merge(*first, now);
            several.merge(*first, now);
            const auto other = suspects.recordCrash(
                    instance(crashes), content({"shared"}, "request-" + std::to_string(i)), now);
            REQUIRE(other);
        }
        CHECK(one.decide(content({"shared"}, "request-sound"), now) == Decision::Trial);
        for (int i = 0; i < 2; ++i)
            several.merge(*crash("request-other" + std::to_string(i)), now);
        CHECK(several.decide(content({"shared"}, "request-sound"), now) == Decision::Refuse);
    }
    SECTION("crashes of which the requests are not known count as those of different ones")
    {
        for (int i = 1; i <= 3; ++i)
            suspects.merge({instance(i), {ContentKey("shared")}}, now);
        CHECK(decide("request-sound") == Decision::Refuse);
    }
}

// Guards against content that is never held back because the crash comes after the answer has
// begun, and against sound content that is held back because it ran on the same backend server.
TEST_CASE("CrashSuspects finds content that crashes backend servers in the middle of its answer")
{
    CrashSuspects suspects;
    TimePoint now;
    int crashes = 0;
    const auto crash = [&](const RequestContent &request, std::uint64_t version = 0) {
        suspects.recordStart(request, version);
        return suspects.recordCrash(instance(++crashes), request, now, CrashPhase::DuringAnswer,
                                    version);
    };

    SECTION("a request that is sent again after three crashes")
    {
        const auto bad = content({}, "request-bad");
        crash(bad);
        crash(bad);
        CHECK_FALSE(suspects.isSuspended(bad, now));
        crash(bad);
        CHECK(suspects.decide(bad, now) == CrashSuspects::Decision::Refuse);

        SECTION("its begin, which another process reports, does not clear it")
        {
            suspects.recordHarmless({bad.whole, 0, AnswerProgress::Begun});
            CHECK(suspects.isSuspended(bad, now));
        }
        SECTION("the end of its answer does")
        {
            CHECK(suspects.recordCompletion(bad)
                  == std::vector{HarmlessContent{bad.whole, 0, AnswerProgress::Complete}});
            CHECK_FALSE(suspects.isSuspended(bad, now));
            CHECK_FALSE(crash(bad));
        }
        SECTION("which explains those of a sound one that waited at two of the servers")
        {
            const auto sound = content({}, "request-sound");
            for (int i = 1; i <= 2; ++i)
                suspects.recordCrash(instance(i), sound, now);
            CHECK_FALSE(suspects.isSuspended(sound, now));
            SECTION("until it is cleared itself")
            {
                suspects.recordCompletion(bad);
                CHECK(suspects.isSuspended(sound, now));
            }
        }
    }
    SECTION("a part, after three crashes that did not happen at the same time")
    {
        const auto request = [&] {
            return content({"system", "bad"}, "request-" + std::to_string(crashes));
        };
        suspects.recordCompletion(content({"system"}, "request-sound"));
        for (int i = 0; i < 3; ++i) {
            CHECK_FALSE(suspects.isSuspended(request(), now));
            const auto report = crash(request());
            REQUIRE(report);
            CHECK(report->suspects.empty());
            CHECK(report->requests.at(0).sharedParts == std::vector{ContentKey("bad")});
            crash(request());
            now += CrashSuspects::MinCrashInterval;
        }
        CHECK(suspects.decide(request(), now) == CrashSuspects::Decision::Refuse);
        CHECK(suspects.decide(content({"system"}, "request-next"), now)
              == CrashSuspects::Decision::Run);
    }
    // A loss of power or of all connections breaks many streams, and processes that have just
    // started have seen none of them end.
    SECTION("servers that all end at once suspend no part of what they were answering")
    {
        for (int i = 0; i < 30; ++i)
            crash(content({"system", "subject"}, "request-" + std::to_string(i)));
        CHECK_FALSE(suspects.isSuspended(content({"system", "subject"}, "request-next"), now));
    }
    // Guards against crashes that are forgotten because another request with the same part waited
    // at the same server, which the begin of an answer to the part rules out.
    SECTION("a crash that also broke a waiting request counts on when the answer begins")
    {
        CrashSuspects other;
        for (int i = 1; i <= 3; ++i) {
            const auto waiting = content({"bad"}, "request-w" + std::to_string(i));
            const auto running = content({"bad"}, "request-r" + std::to_string(i));
            const auto first = suspects.recordCrash(instance(i), waiting, now);
            const auto second =
                    suspects.recordCrash(instance(i), running, now, CrashPhase::DuringAnswer);
            REQUIRE((first && second));
            // The exchange merges the reports of one crash.
            CrashReport both = *first;
            both.requests.push_back(second->requests.at(0));
            other.merge(both, now);
            now += CrashSuspects::MinCrashInterval;
        }
        for (CrashSuspects *it : {&suspects, &other}) {
            it->recordHarmless({ContentKey("bad"), 0, AnswerProgress::Begun});
            CHECK(it->isSuspended(content({"bad"}, "request-next"), now));
            it->recordHarmless({ContentKey("bad"), 0, AnswerProgress::Complete});
            CHECK_FALSE(it->isSuspended(content({"bad"}, "request-next"), now));
        }
    }
    // Guards against content that is harmless for good because earlier weights have answered it.
    SECTION("newer weights may crash on what earlier ones have answered")
    {
        const auto known = content({"subject"}, "request-known");
        suspects.recordCompletion(known, 6);
        CHECK_FALSE(crash(known, 6));
        for (int i = 0; i < 3; ++i) {
            now += CrashSuspects::MinCrashInterval;
            CHECK(crash(content({"subject"}, "request-" + std::to_string(i)), 7));
        }
        CHECK(suspects.isSuspended(known, now));
        SECTION("which servers with the earlier ones do not disprove")
        {
            suspects.recordCompletion(known, 6);
            CHECK(suspects.isSuspended(known, now));
            suspects.recordCompletion(known, 7);
            CHECK_FALSE(suspects.isSuspended(known, now));
        }
    }
    SECTION("one crash before the answer of newer weights begins is no direct evidence either")
    {
        const auto known = content({"subject"}, "request-known");
        suspects.recordStart(known, 6);
        for (int i = 1; i <= 4; ++i)
            suspects.recordCrash(instance(i), known, now, CrashPhase::BeforeAnswer, 7);
        CHECK_FALSE(suspects.isSuspended(content({"subject"}, "request-next"), now));
    }
    // Guards against a process that starts later, reads all crashes at once, and takes them for one
    // event.
    SECTION("what other processes report counts with the times of the crashes")
    {
        CrashSuspects late;
        for (int i = 0; i < 3; ++i) {
            const auto report = crash(content({"bad"}, "request-" + std::to_string(i)));
            REQUIRE(report);
            now += CrashSuspects::MinCrashInterval;
            late.merge(*report, now);
        }
        CHECK(late.isSuspended(content({"bad"}, "request-next"), now));

        CrashSuspects sound;
        sound.recordCompletion(content({"bad"}, "request-sound"));
        const auto report = crash(content({"bad"}, "request-more"));
        REQUIRE(report);
        CHECK(sound.merge(*report, now)
              == std::vector{HarmlessContent{ContentKey("bad"), 0, AnswerProgress::Complete}});
    }
    SECTION("suspensions are stated once for the log")
    {
        const auto bad = content({}, "request-bad");
        for (int i = 0; i < 4; ++i)
            crash(bad);
        const auto suspensions = suspects.takeSuspensions();
        REQUIRE(suspensions.size() == 1);
        CHECK(suspensions[0].content == bad.whole);
        CHECK(suspensions[0].isCertain);
        CHECK(suspects.takeSuspensions().empty());
    }
}

namespace {

/// Entry processes that send streams to backend servers, some of which crash them after a number of
/// events. A crash breaks all streams of its backend server, and each of them is resumed once at
/// another one. Processes hear of each other's crashes after ExchangeDelay.
class StreamingFleet
{
public:
    static constexpr std::size_t Processes = 5;
    static constexpr int Backends = 12;
    static constexpr int Events = 24;
    static constexpr int Attempts = 2;
    static constexpr Duration Step = 50ms; ///< Between two events of a stream.
    static constexpr Duration Restart = 3s;
    static constexpr Duration ExchangeDelay = 1s;

    StreamingFleet(std::uint64_t seed, int eventsBeforeCrash)
        : m_random(seed)
        , m_eventsBeforeCrash(eventsBeforeCrash)
    {}

    TimePoint now;
    std::vector<TimePoint> crashes;
    std::vector<TimePoint> badArrivals; ///< At backend servers.
    std::vector<TimePoint> soundRefusals;
    int soundCompleted = 0;

    void send(const RequestContent &request, bool isBad)
    {
        const auto process = static_cast<std::size_t>(m_random.uniform() * Processes);
        run({process, request, isBad});
    }

    void advance()
    {
        now += Step;
        exchange();
        for (std::size_t i = 0; i < m_streams.size(); ++i)
            m_streams[i].hasEnded |= m_streams[i].isBad
                                     && m_streams[i].events == m_eventsBeforeCrash
                                     && crash(m_streams[i].backend);
        for (Stream &it : m_streams)
            if (!it.hasEnded)
                progress(it);
        std::erase_if(m_streams, [](const Stream &it) { return it.hasEnded; });
        for (const Stream &it : std::exchange(m_resumed, {}))
            run(it);
    }

private:
    struct Stream
    {
        std::size_t process = 0;
        RequestContent request;
        bool isBad = false;
        int attempt = 0;
        int backend = 0;
        int events = 0;        ///< Of this attempt.
        int earlierEvents = 0; ///< Of earlier attempts.
        bool hasEnded = false;
    };
    struct Backend
    {
        std::uint64_t start = 1;
        TimePoint upAt;
    };

    void run(Stream stream)
    {
        CrashSuspects &suspects = m_processes[stream.process];
        const bool isRefused =
                suspects.decide(stream.request, now) == CrashSuspects::Decision::Refuse;
        std::vector<int> up;
        for (int i = 0; i < Backends; ++i)
            if (now >= m_backends[static_cast<std::size_t>(i)].upAt)
                up.push_back(i);
        if (isRefused && !stream.isBad)
            soundRefusals.push_back(now);
        if (isRefused || up.empty())
            return;
        if (stream.isBad)
            badArrivals.push_back(now);
        stream.backend =
                up[static_cast<std::size_t>(m_random.uniform() * static_cast<double>(up.size()))];
        m_streams.push_back(std::move(stream));
    }

    void progress(Stream &stream)
    {
        CrashSuspects &suspects = m_processes[stream.process];
        if (++stream.events == 1)
            publish(suspects.recordStart(stream.request));
        if (stream.earlierEvents + stream.events < Events)
            return;
        stream.hasEnded = true;
        soundCompleted += !stream.isBad;
        if (stream.attempt == 0)
            publish(suspects.recordCompletion(stream.request));
    }

    bool crash(int backend)
    {
        Backend &it = m_backends[static_cast<std::size_t>(backend)];
        if (now < it.upAt)
            return true;
        crashes.push_back(now);
        const BackendInstance ended = instance(backend, it.start);
        ++it.start;
        it.upAt = now + Restart;
        for (Stream &stream : m_streams) {
            if (stream.backend != backend || stream.hasEnded)
                continue;
            stream.hasEnded = true;
            const bool hasBegun = stream.events + stream.earlierEvents > 0;
            const auto report = m_processes[stream.process].recordCrash(
                    ended, stream.request, now,
                    hasBegun ? CrashPhase::DuringAnswer : CrashPhase::BeforeAnswer);
            if (report)
                m_reports.emplace_back(now + ExchangeDelay, *report);
            Stream next = stream;
            next.hasEnded = false;
            next.earlierEvents += std::exchange(next.events, 0);
            if (++next.attempt < Attempts)
                m_resumed.push_back(std::move(next));
        }
        return true;
    }

    void publish(const std::vector<HarmlessContent> &cleared)
    {
        for (const HarmlessContent &it : cleared)
            m_harmless.emplace_back(now + ExchangeDelay, it);
    }

    void exchange()
    {
        const auto isDue = [&](const auto &it) { return it.first <= now; };
        for (const auto &[at, report] : m_reports)
            if (at <= now)
                for (CrashSuspects &it : m_processes)
                    publish(it.merge(report, now));
        std::erase_if(m_reports, isDue);
        for (const auto &[at, harmless] : m_harmless)
            if (at <= now)
                for (CrashSuspects &it : m_processes)
                    it.recordHarmless(harmless);
        std::erase_if(m_harmless, isDue);
    }

    Random m_random;
    int m_eventsBeforeCrash;
    std::vector<CrashSuspects> m_processes = std::vector<CrashSuspects>(Processes);
    std::vector<Backend> m_backends = std::vector<Backend>(Backends);
    std::vector<Stream> m_streams;
    std::vector<Stream> m_resumed;
    std::vector<std::pair<TimePoint, CrashReport>> m_reports;
    std::vector<std::pair<TimePoint, HarmlessContent>> m_harmless;
};

} // namespace

// Load pattern: backend servers are busy with streams, and some requests crash them in the middle
// of theirs. Guards against entry processes that let such requests through for good, and against
// ones that hold back the sound streams which each crash breaks.
TEST_CASE("Five processes stop streams that crash backend servers after some events")
{
    constexpr int Steps = 1200;
    constexpr Duration ContactTime = 3s;
    const int eventsBeforeCrash = GENERATE(0, 1, 10);
    const bool isPart = GENERATE(false, true);
    // Before that, the processes have served sound requests; or they start together with the bad
    // ones.
    const int firstBad = GENERATE(0, 100);
    CAPTURE(eventsBeforeCrash, isPart, firstBad);
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        StreamingFleet fleet(seed, eventsBeforeCrash);
        Random random(seed + 100);
        for (int i = 0; i < Steps; ++i) {
            for (int n = 0; n < 3; ++n) {
                const auto subject = static_cast<int>(random.uniform() * 40);
                fleet.send(content({"system", "subject" + std::to_string(subject)},
                                   "request-" + std::to_string(i) + "-" + std::to_string(n)),
                           false);
            }
            if (i >= firstBad && i % 10 == 0) {
                const std::string whole =
                        isPart ? "request-bad" + std::to_string(i) : "request-bad";
                fleet.send(content(isPart ? std::vector<std::string>{"system", "bad"}
                                          : std::vector<std::string>{"system"},
                                   whole),
                           true);
            }
            fleet.advance();
        }
        const std::size_t limit = isPart ? 5 : 3;
        REQUIRE(fleet.crashes.size() >= 2);
        const TimePoint last = fleet.crashes[std::min(limit, fleet.crashes.size()) - 1];
        const auto isLate = [&](TimePoint it) { return it > last + ContactTime; };
        CHECK(std::ranges::count_if(fleet.badArrivals, isLate) <= 3);
        CHECK(std::ranges::none_of(fleet.soundRefusals,
                                   [&](TimePoint it) { return it > last + 2 * ContactTime; }));
        CHECK(fleet.soundCompleted > Steps * 3 * 3 / 4);
    }
}
