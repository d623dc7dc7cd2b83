#pragma once

#include <godwit/base/result.h>
#include <godwit/base/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit::standin {

/// In-memory key-value store with revisions, leases and a bounded history. The caller supplies the
/// current time.
class KeyValueStore
{
public:
    struct Entry
    {
        std::string value;
        std::uint64_t created = 0;  ///< Revision of the creation.
        std::uint64_t modified = 0; ///< Revision of the last write.
        std::uint64_t version = 0;  ///< Number of writes since the creation.
        std::uint64_t lease = 0;
    };

    struct Event
    {
        std::uint64_t revision = 0;
        bool deleted = false;
        std::string key;
        Entry entry;
    };

    /// One put or delete of a transaction.
    struct Write
    {
        bool remove = false;
        std::string key;
        std::string end; ///< End of the range to remove, see inRange().
        std::string value;
        std::uint64_t lease = 0;
    };

    explicit KeyValueStore(std::uint64_t historyLimit);

    /// Returns whether \a key is in the range from \a first to \a end, exclusive. An empty \a end
    /// selects the single key \a first, and "\0" all keys from \a first on.
    static bool inRange(const std::string &key, const std::string &first, const std::string &end);

    std::uint64_t revision() const { return m_revision; }
    const Entry *find(const std::string &key) const;
    std::vector<std::pair<std::string, Entry>> range(const std::string &first,
                                                     const std::string &end) const;

    /// Applies all \a writes atomically at one new revision. Fails with LeaseExpired, without
    /// effect, if a lease does not exist.
    Result<void> apply(const std::vector<Write> &writes);

    std::uint64_t grantLease(std::uint64_t seconds, TimePoint now);

    /// Renews the lease and returns its time to live in seconds, or 0 if it has expired.
    std::uint64_t keepAlive(std::uint64_t lease, TimePoint now);

    /// Revokes the lease and deletes its keys. Returns false if it has expired.
    bool revokeLease(std::uint64_t lease);

    /// Revokes all leases that have expired at \a now. Returns whether there were any.
    bool expire(TimePoint now);

    /// Returns the time at which the next lease expires.
    std::optional<TimePoint> nextExpiry() const;

    /// Returns the events from revision \a from on, or nullopt if some have been dropped.
    std::optional<std::vector<Event>> eventsFrom(std::uint64_t from) const;

    /// Drops the history.
    void compact();

    std::uint64_t compactedRevision() const { return m_compacted; }

private:
    struct Lease
    {
        std::uint64_t seconds = 0;
        TimePoint expiry;
        std::set<std::string> keys;
    };

    void write(const Write &write);
    void remove(const std::string &key);
    void detachFromLease(const std::string &key, std::uint64_t lease);
    void record(Event event);

    std::uint64_t m_historyLimit;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compacted = 0; ///< Highest revision dropped from the history.
    std::uint64_t m_lastLease = 0;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_history;
};

} // namespace godwit::standin
