#pragma once

#include <godwit/base/time.h>
#include <godwit/gateway/crashreport.h>
#include <godwit/gateway/recentkeys.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwit {

/// Finds content that crashes the backend servers which begin to answer it, and suspends requests
/// with it. The content is a part of a prompt that requests share, or a request that is sent again.
///
/// Content is a suspect if it was in a request that waited for its response when a backend server
/// crashed, and suspended after the crash of a second one. Content to which any backend server has
/// begun an answer is harmless. If several suspects were in the same requests, a request without
/// one of them is let through now and then as a trial, which finds the cause among them, however
/// many crashes they have in common.
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

    /// Crashes after which content is suspended, and after which it counts as the certain cause.
    static constexpr std::size_t MinCrashes = 2;
    static constexpr std::size_t CertainCrashes = 3;
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

    /// A backend server has begun to answer a request with \a content. Returns the suspended
    /// content that this clears, which the other processes should know.
    std::vector<ContentKey> recordStart(const RequestContent &content);

    /// \a instance crashed while a request with \a content waited for its response. Returns what
    /// the other processes should know, if anything is new.
    std::optional<CrashReport> recordCrash(const BackendInstance &instance,
                                           const RequestContent &content, TimePoint now);

    /// Adds the report of another process. Returns those suspects that are known to be harmless
    /// here, which that process should know.
    std::vector<ContentKey> merge(const CrashReport &report, TimePoint now);

    /// Another process knows \a key to be harmless.
    void recordHarmless(const ContentKey &key);

    std::size_t suspectCount() const { return m_suspects.size(); }

    /// Number of times that content was suspended or its suspension was prolonged by a crash. If it
    /// has not changed, no request in progress needs to be cancelled.
    std::uint64_t suspensionCount() const { return m_suspensionCount; }

private:
    struct Suspect
    {
        std::set<BackendInstance> crashes;
        TimePoint suspendedUntil;
        TimePoint expiresAt;
    };

    /// Returns whether the crash is new for \a key.
    bool addCrash(const ContentKey &key, const BackendInstance &instance, TimePoint now);
    /// Suspects in \a content that are suspended.
    std::vector<ContentKey> suspendedKeys(const RequestContent &content, TimePoint now) const;
    bool isCertain(const ContentKey &key) const;
    /// Whether a suspended shared part other than \a present may be the cause instead of \a key. If
    /// \a key was in enough crashes to be the certain cause, the other one was in all of them too.
    bool hasOtherCause(const ContentKey &key, const std::vector<ContentKey> &present,
                       TimePoint now) const;
    /// Prolongs the suspension of \a key if it is the certain cause.
    void extendIfCertain(const ContentKey &key, TimePoint now);
    /// Clears the suspects whose crashes are a proper subset of those of a certain cause.
    void clearExplained();
    bool isHarmless(const ContentKey &key) const;
    void evict(TimePoint now);

    std::map<ContentKey, Suspect> m_suspects;
    TimePoint m_nextTrialAt;
    std::uint64_t m_suspensionCount = 0;
    /// Kept apart, so that the many requests that are sent once do not displace shared parts.
    RecentKeys m_harmlessParts{MaxHarmlessKeys};
    RecentKeys m_harmlessRequests{MaxHarmlessKeys};
};

} // namespace godwit
