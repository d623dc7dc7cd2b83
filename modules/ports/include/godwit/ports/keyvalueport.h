#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/keyvaluelist.h>
#include <godwit/ports/watchhandlers.h>

#include <memory>
#include <optional>
#include <string>

namespace godwit {

/// The platform's key-value service: compare-and-swap, leases and watches. Values hold up to 1 MB.
///
/// Every call counts against the rate limits of the service; a pending watch counts as one call.
/// The adapter never retries a call on its own.
///
/// Errors of all calls:
///
/// | code | meaning |
/// | --- | --- |
/// | PlatformUnreachable | not sent, no effect |
/// | PlatformRefused | over the rate limit, no effect |
/// | PlatformRejected | invalid, for example a value that is too large; no effect |
/// | PlatformTimeout, PlatformReplyLost, PlatformFailed, PlatformBadReply | a write may have taken
///   effect or may still do so until the service has dropped the call; read the key to find out |
/// | StoreRestored | the response belongs to another era than the call: a write may have taken
///   effect before or after the service came back from a copy, or may be lost with the time that
///   the copy lacks; read the key to find out |
///
/// A timeout says nothing about the state of the service. A write that timed out can still take
/// effect after a later read; only a write whose comparison would now fail certainly cannot.
class KeyValuePort
{
public:
    KeyValuePort() = default;
    KeyValuePort(const KeyValuePort &) = delete;
    KeyValuePort &operator=(const KeyValuePort &) = delete;
    virtual ~KeyValuePort() = default;

    /// Reads \a key. Succeeds without an entry if the key does not exist. Reads are linearizable.
    virtual void get(std::string key, Completion<std::optional<KeyValueEntry>> done) = 0;

    /// Reads all keys that start with \a prefix at one revision.
    virtual void list(std::string prefix, Completion<KeyValueList> done) = 0;

    /// Writes \a value if the key was last modified at \a expected (0: does not exist), and
    /// attaches the key to \a lease (0: none), so that it is deleted when the lease ends. Completes
    /// with the revision of the write. Also fails with CompareFailed and LeaseExpired, both without
    /// effect.
    virtual void compareAndSwap(std::string key, StoreRevision expected, std::string value,
                                LeaseId lease, Completion<StoreRevision> done) = 0;

    /// Deletes \a key if it was last modified at \a expected (0: in any case). Fails with
    /// CompareFailed. Deleting a missing key unconditionally succeeds.
    virtual void deleteKey(std::string key, StoreRevision expected, Completion<Done> done) = 0;

    /// Creates a lease that lasts for \a span, rounded up to whole seconds. The lease starts at an
    /// unknown time between call and completion, so the holder must count from the time of the
    /// call.
    virtual void grantLease(Duration span, Completion<LeaseId> done) = 0;

    /// Extends the lease to its full span and completes with that span, which the holder must count
    /// from the time of the call. Fails with LeaseExpired if the lease has ended.
    virtual void keepLeaseAlive(LeaseId lease, Completion<Duration> done) = 0;

    /// Ends the lease and deletes its keys. Fails with LeaseExpired if it has already ended.
    virtual void revokeLease(LeaseId lease, Completion<Done> done) = 0;

    /// Reports the writes to keys that start with \a prefix, from position \a from on (revision 0:
    /// from now). Ends with WatchCompacted if the revision has been compacted, and with
    /// StoreRestored, before it reports anything of another era, if the service is in another era
    /// than \a from; the caller must then read the keys and watch from their position. After any
    /// other end, later events may be missing; the caller must watch again from the revision after
    /// the last event.
    virtual std::shared_ptr<CallHandle> watch(std::string prefix, StorePosition from,
                                              WatchHandlers handlers) = 0;

    /// The newest era that a response to this process has stated. Leases and revisions that were
    /// obtained in an earlier one are void and must not be used in a write.
    virtual StoreEra era() const { return {}; }
};

} // namespace godwit
