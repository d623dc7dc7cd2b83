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

/// Entry side: finds request content that crashes backend servers, and refuses it after the second
/// crash.
///
/// When a server crashes, the suspects that ran on it are blamed; only if there was none does
/// everything that ran on it become a suspect. A suspect runs in one place at a time and never
/// beside another suspect, so that a second crash points to one of them. A suspect that completes
/// is cleared. Records are exchanged by gossip and expire.
class PoisonDetector
{
public:
    enum class Decision {
        Run,
        Wait,   ///< A suspect; it or another suspect runs there. Try again when one has finished.
        Refuse, ///< Reply PoisonSuspected, NotRun.
    };

    static constexpr Duration RecordLifetime = std::chrono::minutes(10);
    /// Records of 32 bytes and two crash names; the oldest is dropped when there are more.
    static constexpr std::size_t MaxRecords = 10'000;

    /// Whether \a content may be sent to \a backend now.
    Decision decide(const Digest &content, const BackendId &backend, TimePoint now) const;

    void recordStart(const Digest &content, const BackendId &backend);

    /// The server completed the request without a crash.
    void recordCompletion(const Digest &content, const BackendId &backend);

    /// The attempt ended and says nothing about the content, for example by withdrawal.
    void recordAbandoned(const Digest &content, const BackendId &backend);

    /// The process \a incarnation of \a backend crashed. Returns the records to gossip at once.
    std::vector<PoisonRecord> recordCrash(const BackendId &backend, Incarnation incarnation,
                                          TimePoint now);

    /// A record from another entry process.
    void merge(const PoisonRecord &record, TimePoint now);

    /// All records that have not expired.
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
