#pragma once

#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>

#include <memory>

namespace godwit {

/// Times of the watch calls of SharedWatch.
struct SharedWatchOptions
{
    /// Time after which the service answers a watch call without events.
    Duration longPollTimeout{0};
    /// Between a response with events and the next call, so that a series of writes takes few
    /// calls. The next call starts no later than it would have without events, so that no
    /// confirmation gets older than in times without writes.
    Duration batchDelay{0};

    friend bool operator==(const SharedWatchOptions &, const SharedWatchOptions &) = default;
};

/// KeyValuePort that serves the watches of all its users with one watch of another store, since
/// services charge each call. All other calls are passed on unchanged.
///
/// The common watch has the empty prefix and starts from the oldest position of all subscribers.
/// Each subscriber receives the events of its keys after its own position once, and each
/// confirmation of a call that covered its position. Events of other keys are dropped.
///
/// A subscriber that joins while a call is waiting is covered by the next one, which replaces the
/// waiting call after JoinPeriod. Any end of the common watch ends those of all subscribers with
/// the same outcome. A subscriber that has read an earlier era than another one gets StoreRestored.
///
/// As in other adapters with polling calls, a watch that is cancelled calls nothing any more.
/// Callbacks may cancel any watch, start new ones and destroy the store. Used on one thread only.
class SharedWatch : public KeyValuePort
{
public:
    /// Users that start together, or retry a failed call together, join within this time and share
    /// the first call.
    static constexpr Duration JoinPeriod = std::chrono::milliseconds(50);

    /// \a store must start the next call of a watch by itself and without delay, and both \a store
    /// and \a scheduler must outlive this object.
    SharedWatch(KeyValuePort &store, Scheduler &scheduler, SharedWatchOptions options);
    ~SharedWatch() override;

    void get(std::string key, Completion<std::optional<KeyValueEntry>> done) override;
    void list(std::string prefix, Completion<KeyValueList> done) override;
    void compareAndSwap(std::string key, StoreRevision expected, std::string value, LeaseId lease,
                        Completion<StoreRevision> done) override;
    void deleteKey(std::string key, StoreRevision expected, Completion<Done> done) override;
    void grantLease(Duration span, Completion<LeaseId> done) override;
    void keepLeaseAlive(LeaseId lease, Completion<Duration> done) override;
    void revokeLease(LeaseId lease, Completion<Done> done) override;
    /// Revision 0 of \a from stands for the position of the call that the watch joins.
    std::shared_ptr<CallHandle> watch(std::string prefix, StorePosition from,
                                      WatchHandlers handlers) override;
    StoreEra era() const override { return m_store.era(); }

private:
    class Subscription;
    class Hub;

    KeyValuePort &m_store;
    std::shared_ptr<Hub> m_hub;
};

} // namespace godwit
