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

/// Attempts known to a host process and what can be proved about each of them.
///
/// States that are reported:
/// - `NotRun`: this process has not sent the attempt to the backend server, and will not send any
///   copy of it that arrives later.
/// - `Ran`: the backend server finished the attempt.
/// - `Unknown`: the backend server is running the attempt or failed while running it, the attempt
///   was sent to an earlier process, or its entry has been evicted.
///
/// Eviction: an attempt may start only before its AttemptTerms::startBefore, which every copy
/// carries. An entry that is no longer in progress is evicted RetentionAfterExpiry after that time,
/// when copies are refused because of their age alone. If the table is full, new attempts are
/// refused. Later copies of a refused attempt must be refused as well, so the table refuses every
/// attempt whose startBefore is not later than that of a refused one. The table therefore never
/// holds more than Limits::maxEntries entries.
class AttemptTable
{
public:
    /// Time after startBefore within which a late `/withdraw` still receives a proof.
    static constexpr Duration RetentionAfterExpiry = std::chrono::seconds(30);

    struct Limits
    {
        std::size_t maxEntries = 50'000;
        /// Longest accepted time until startBefore.
        Duration maxLifetime = std::chrono::seconds(60);
    };

    /// Ok if the call took effect, otherwise the reason why it did not.
    struct Status
    {
        ResultCode code = ResultCode::Ok;
        /// Proved state of the attempt including all its copies.
        RunState state = RunState::NotRun;

        explicit operator bool() const { return code == ResultCode::Ok; }
        friend bool operator==(const Status &, const Status &) = default;
    };

    AttemptTable(Incarnation incarnation, Limits limits);

    /// Handles a `/run`. Unless the returned code is Ok, this copy must not be run and its reply
    /// carries the returned code and state.
    Status receive(const AttemptKey &key, const AttemptTerms &terms, TimePoint now);

    /// Called immediately before the attempt is sent to the backend server. Unless the returned
    /// code is Ok, the attempt must not be sent.
    Status dispatch(const AttemptKey &key, TimePoint now);

    /// Called when the backend server has finished the attempt. \a state is NotRun only if this is
    /// proved, for example because the backend server refused the connection.
    void finish(const AttemptKey &key, RunState state, TimePoint now);

    /// Handles a `/withdraw`. The reply carries the returned state: NotRun is final, Unknown with
    /// AttemptInProgress means that the backend server is running the attempt.
    Status withdraw(const AttemptKey &key, const AttemptTerms &terms, TimePoint now);

    /// Returns the attempts that were received or dispatched and are not finished or withdrawn.
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
    /// Latest startBefore refused for lack of space.
    TimePoint m_refusedStartBefore = TimePoint::min();
    std::unordered_map<AttemptKey, Entry> m_entries;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
};

} // namespace godwit
