#pragma once

#include <godwit/base/time.h>
#include <godwit/gateway/crashreport.h>
#include <godwit/gateway/harmlesscontent.h>
#include <godwit/gateway/recentkeys.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace godwit {

/// Finds content that crashes the backend servers which answer it, and suspends requests with it.
/// The content is a part of a prompt that requests share, or a request that is sent again.
///
/// Content is a suspect if it was in a request that a crash of its backend server broke. What the
/// crash says depends on how far the request was:
/// - Before its answer began, few requests can be the cause: two crashes suspend content that no
///   backend server has begun to answer before.
/// - An answer that had begun is broken by the crash of any other request on the same backend
///   server, and by each reset of its connection. A whole request is suspended after three such
///   crashes, and a part, which many requests on many backend servers share, after three that did
///   not happen at the same time.
///
/// What clears content depends on how far an answer to it came: its begin rules out that the
/// content crashes before that, and only its end rules out that it crashes at all. Both hold for
/// weights up to the version that has answered; what newer ones do is open.
///
/// If several suspects were in the same requests, a request without one of them is let through now
/// and then as a trial, which finds the cause among them, however many crashes they have in common.
/// The same holds for a part whose crashes come from one request that is sent again and again, or
/// from several: such a request may be the cause by itself. What tells a part that crashes servers
/// from one that sound requests share with the cause is that different requests crashed with it.
/// Processes send each other their reports, so that a suspect counts the crashes that all of them
/// saw. Has no sockets and no clock.
class CrashSuspects
{
public:
    enum class Decision {
        Run,
        Trial,  ///< Run it although it is suspended; an answer clears the suspects in it.
        Refuse, ///< Do not send it to a backend server.
    };

    /// A suspect whose suspension has begun or has become certain.
    struct Suspension
    {
        ContentKey content;
        std::size_t crashes = 0;
        bool isCertain = false;
    };

    /// Crashes after which content is suspended, and after which it counts as the certain cause.
    static constexpr std::size_t MinCrashes = 2;
    static constexpr std::size_t CertainCrashes = 3;
    /// Crashes that follow each other faster may have one cause that is no content, for example a
    /// loss of power or of connections.
    static constexpr Duration MinCrashInterval = std::chrono::milliseconds(500);
    /// Suspension of content that may be in the requests of two crashes by coincidence. Requests
    /// with it are tried again afterwards, which clears it or makes the cause certain.
    static constexpr Duration ShortSuspension = std::chrono::seconds(10);
    /// Suspension of content that is the certain cause, from the last request with it.
    static constexpr Duration LongSuspension = std::chrono::minutes(10);
    /// Between two trials of this process.
    static constexpr Duration TrialInterval = std::chrono::milliseconds(500);
    /// Memory limits. At MaxSuspects the suspect that expires first is dropped.
    static constexpr std::size_t MaxSuspects = 1000;
    static constexpr std::size_t MaxHarmlessKeys = 512;

    /// Decides on a request that is about to be sent to a backend server.
    Decision decide(const RequestContent &content, TimePoint now);

    /// Whether requests with \a content are suspended. Does not count as a request.
    bool isSuspended(const RequestContent &content, TimePoint now) const;

    /// A backend server with weights of \a version (0: none) has begun to answer a request with
    /// \a content. Returns the suspended content that this clears, which the other processes should
    /// know.
    std::vector<HarmlessContent> recordStart(const RequestContent &content,
                                             std::uint64_t version = 0);

    /// The same for a backend server that has answered the request from its beginning to its end.
    std::vector<HarmlessContent> recordCompletion(const RequestContent &content,
                                                  std::uint64_t version = 0);

    /// \a instance, with weights of \a version (0: none), crashed while a request with \a content
    /// was in \a phase. Returns what the other processes should know, if anything is new.
    std::optional<CrashReport> recordCrash(const BackendInstance &instance,
                                           const RequestContent &content, TimePoint now,
                                           CrashPhase phase = CrashPhase::BeforeAnswer,
                                           std::uint64_t version = 0);

    /// Adds the report of another process. Returns those suspects that are known to be harmless
    /// here, which that process should know.
    std::vector<HarmlessContent> merge(const CrashReport &report, TimePoint now);

    /// Another process knows \a harmless.
    void recordHarmless(const HarmlessContent &harmless);

    std::size_t suspectCount() const { return m_suspects.size(); }

    /// Number of times that content was suspended or its suspension was prolonged by a crash. If it
    /// has not changed, no request in progress needs to be cancelled.
    std::uint64_t suspensionCount() const { return m_suspensionCount; }

    /// The suspensions since the last call, for the log.
    std::vector<Suspension> takeSuspensions() { return std::exchange(m_newSuspensions, {}); }

private:
    /// What a crash says about a suspect.
    struct Crash
    {
        TimePoint at;
        std::uint64_t weightsVersion = 0;
        /// A request whose answer had not begun had the content, which had never been answered.
        bool isDirect = false;
        /// Another request had the content.
        bool isIndirect = false;
        /// The requests with the content that the crash broke, as far as they may be the cause
        /// themselves.
        std::set<ContentKey> requests = {};
    };

    struct Suspect
    {
        std::map<BackendInstance, Crash> crashes;
        TimePoint suspendedUntil;
        TimePoint expiresAt;
    };

    /// Returns whether the crash is new for \a key, or says more than was known.
    bool addCrash(const ContentKey &key, const BackendInstance &instance, const Crash &crash,
                  TimePoint now);
    /// Removes the crashes of the content that \a harmless rules out. Returns whether this has
    /// cleared a suspect that had enough crashes to be suspended.
    bool clearCrashes(const HarmlessContent &harmless);
    /// Clears all of \a content that \a progress with weights of \a version rules out.
    std::vector<HarmlessContent> recordAnswer(const RequestContent &content, std::uint64_t version,
                                              AnswerProgress progress);
    /// Suspects in \a content that are suspended.
    std::vector<ContentKey> suspendedKeys(const RequestContent &content, TimePoint now) const;
    static std::size_t directCrashes(const Suspect &suspect);
    /// Number of crashes that cannot have one cause other than content.
    static std::size_t separateCrashes(const Suspect &suspect);
    static bool isCertain(const ContentKey &key, const Suspect &suspect);
    /// Whether the crashes of \a suspect, which has \a key, are a proper subset of those of a
    /// certain cause beside it. They count again if the cause is cleared.
    bool isExplained(const ContentKey &key, const Suspect &suspect) const;
    /// Whether a suspended shared part other than \a present may be the cause instead of \a key,
    /// for a request with \a content. If \a key was in enough crashes to be the certain cause, the
    /// other one was in all of them too, or other requests explain them.
    bool hasOtherCause(const ContentKey &key, const std::vector<ContentKey> &present,
                       const RequestContent &content, TimePoint now) const;
    /// Whether the crashes of \a part may be those of requests that crashed repeatedly, so that a
    /// request with \a content, which was in none of them, can be a trial. If crashes of one other
    /// request are left, that depends on what they say and on the position of the part.
    bool isExplainedByRequests(const ContentKey &part, const RequestContent &content) const;
    /// Whether \a request was in the crash of \a instance, and in enough crashes to be suspended.
    bool crashedRepeatedly(const ContentKey &request, const BackendInstance &instance) const;
    /// Prolongs the suspension of \a key if it is the certain cause.
    void extendIfCertain(const ContentKey &key, TimePoint now);
    RecentKeys &begunKeys(const ContentKey &key);
    RecentKeys &completeKeys(const ContentKey &key);
    void evict(TimePoint now);

    std::map<ContentKey, Suspect> m_suspects;
    std::set<ContentKey> m_certain; ///< Suspects that count as the certain cause of their crashes.
    std::vector<Suspension> m_newSuspensions;
    TimePoint m_nextTrialAt;
    std::uint64_t m_suspensionCount = 0;
    /// Kept apart, so that the many requests that are sent once do not displace shared parts.
    RecentKeys m_begunParts{MaxHarmlessKeys};
    RecentKeys m_begunRequests{MaxHarmlessKeys};
    RecentKeys m_completeParts{MaxHarmlessKeys};
    RecentKeys m_completeRequests{MaxHarmlessKeys};
};

} // namespace godwit
