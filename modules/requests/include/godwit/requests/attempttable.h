#pragma once

#include <godwit/base/resultcode.h>
#include <godwit/base/runstate.h>
#include <godwit/requests/attemptkey.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace godwit {

/// Attempts that a host process has heard of, and what can be proved about each.
///
/// Rules of proof:
/// - `NotRun`: this process has not handed the attempt to the backend server, and no copy of it
/// that
///   arrives later will be handed over.
/// - `Ran`: the backend server finished it.
/// - `Unknown`: it is with the backend server, or the backend server failed while it ran, or it was
///   meant for an earlier process, or its entry has been forgotten.
///
/// Forgetting: an attempt may be started only before its AttemptTerms::startBefore, which every
/// copy carries. An entry that is no longer in progress is forgotten MemoryAfterExpiry after that
/// time, when copies are refused for their age alone. If the table is full, new attempts are
/// refused, and for the sake of their delayed copies so is every attempt whose startBefore is not
/// later than that of a refused one. Memory is therefore at most Limits::entries entries.
class AttemptTable
{
public:
    /// How long a late `/withdraw` still receives a proof.
    static constexpr Duration RetentionAfterExpiry = std::chrono::seconds(30);

    struct Limits
    {
        std::size_t maxEntries = 50'000;
        Duration maxLifetime =
                std::chrono::seconds(60); ///< Longest accepted time until startBefore.
    };

    /// Ok if the call took effect, otherwise why it did not.
    struct Status
    {
        ResultCode code = ResultCode::Ok;
        RunState state = RunState::NotRun; ///< What is proved about the attempt as a whole.

        explicit operator bool() const { return code == ResultCode::Ok; }
        friend bool operator==(const Status &, const Status &) = default;
    };

    AttemptTable(Incarnation incarnation, Limits limits);

    /// A `/run` arrived. Unless the verdict is Ok this copy must not be run, and its reply carries
    /// code and state of the verdict.
    Status receive(const AttemptKey &key, const AttemptTerms &terms, TimePoint now);

    /// Called immediately before the attempt is handed to the backend server, which must not happen
    /// unless the verdict is Ok.
    Status dispatch(const AttemptKey &key, TimePoint now);

    /// The backend server is done with the attempt; \a state is NotRun only if the backend server
    /// proved it, for example by refusing the connection.
    void finish(const AttemptKey &key, RunState state, TimePoint now);

    /// A `/withdraw` arrived. The reply carries the state of the verdict: NotRun is final, Unknown
    /// with AttemptInProgress means that the attempt is with the backend server.
    Status withdraw(const AttemptKey &key, const AttemptTerms &terms, TimePoint now);

    /// Attempts received or dispatched and not finished or withdrawn.
    std::vector<AttemptKey> inProgress() const;

    std::size_t size() const { return m_entries.size(); }

private:
    enum class Phase { Received, Dispatched, Finished, Withdrawn };
    struct Entry
    {
        Phase phase = Phase::Received;
        RunState state = RunState::NotRun;
        TimePoint startBefore;
    };
    using Expiry = std::pair<TimePoint, AttemptKey>;

    static bool isClosed(const Entry &entry);
    static Status statusOf(const Entry &entry);
    void closeEntry(const AttemptKey &key, Entry &entry, Phase phase, RunState state);
    void evictExpired(TimePoint now);
    Status refuseTableFull(const AttemptTerms &terms);
    Status withdrawUnknown(const AttemptKey &key, const AttemptTerms &terms, TimePoint now);

    Incarnation m_incarnation;
    Limits m_limits;
    TimePoint m_refusedStartBefore =
            TimePoint::min(); ///< Latest startBefore refused for lack of space.
    std::unordered_map<AttemptKey, Entry> m_entries;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
};

} // namespace godwit
