#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/requests/poisonrecord.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwit {

/// Used by entry processes to detect request content that crashes backend servers. Such content is
/// refused after the second crash.
///
/// When a server crashes, the crash is attributed to the suspects that ran on it; if there were
/// none, everything that ran on it becomes a suspect. A suspect runs on one server at a time and
/// never together with another suspect, so that a second crash identifies a single one. A suspect
/// that completes is cleared. Records are exchanged by gossip and expire.
class PoisonDetector
{
public:
    enum class Decision {
        Run,
        Wait,   ///< The content is a suspect, and it is already running or another suspect runs on
                ///< the server. Try again when one of them has finished.
        Refuse, ///< Reply PoisonSuspected with NotRun.
    };

    static constexpr Duration RecordLifetime = std::chrono::minutes(10);
    /// Limits memory; a record holds a digest of 32 bytes and the names of two crashes. Beyond the
    /// limit, the record that expires first is evicted.
    static constexpr std::size_t MaxRecords = 10'000;

    /// Decides whether \a content may be sent to \a backend now.
    Decision decide(const Digest &content, const BackendId &backend, TimePoint now) const;

    void recordStart(const Digest &content, const BackendId &backend);

    /// Called when the server completed the request without a crash.
    void recordCompletion(const Digest &content, const BackendId &backend);

    /// Called when the attempt ended in a way that gives no information about the content, for
    /// example by withdrawal.
    void recordAbandoned(const Digest &content, const BackendId &backend);

    /// Called when the process \a incarnation of \a backend crashed. Returns the records to gossip
    /// at once.
    std::vector<PoisonRecord> recordCrash(const BackendId &backend, Incarnation incarnation,
                                          TimePoint now);

    /// Merges a record received from another entry process.
    void merge(const PoisonRecord &record, TimePoint now);

    /// Returns all records that have not expired.
    std::vector<PoisonRecord> records(TimePoint now) const;

private:
    struct State
    {
        std::set<std::string> crashes;
        std::size_t clearedCrashes = 0;
        TimePoint expiresAt;

        std::size_t unclearedCrashes() const
        {
            return crashes.size() > clearedCrashes ? crashes.size() - clearedCrashes : 0;
        }
    };

    std::size_t unclearedCrashes(const Digest &content, TimePoint now) const;
    PoisonRecord record(const Digest &content, const State &state, TimePoint now) const;
    void removeRunning(const Digest &content, const BackendId &backend);
    void evictRecords(TimePoint now);

    std::map<Digest, State> m_records;
    std::map<BackendId, std::multiset<Digest>> m_running;
};

} // namespace godwit
