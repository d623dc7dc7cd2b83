#pragma once

#include <godwit/requests/attempttable.h>
#include <godwit/requests/slotowner.h>
#include <godwit/requests/slotsuccessor.h>

#include <memory>
#include <vector>

namespace godwit {

/// At-most-once execution of one non-idempotent deployment in a host process. Combines the
/// SlotSuccessor, the current SlotOwner and former SlotOwner objects whose journal was closed while
/// requests were running, and connects them to the AttemptTable of the process, which must outlive
/// this object.
class SlotHost
{
public:
    SlotHost(DeploymentId deployment, HostId self, Incarnation process, std::vector<HostId> hosts,
             SlotSettings settings, AttemptTable &attempts, TimePoint start);

    /// See SlotSuccessor::setHosts().
    void setHosts(std::vector<HostId> hosts) { m_successor.setHosts(std::move(hosts)); }

    /// Handles `/run` with an idempotency key. The returned actions may include replies to other
    /// attempts.
    SlotActions run(const SlotRequest &request, const AttemptTerms &terms, Instant at);

    /// Called immediately before the request is sent to the backend server. If it returns false,
    /// the request must not be sent.
    bool confirmDispatch(const SlotDispatch &dispatch, Instant at, SlotActions &actions);

    /// Called when the backend server has finished \a key.
    SlotActions handleCompletion(const IdempotencyKey &key, RunState state,
                                 const std::string &response, Instant at);

    /// Handles `/withdraw` with an idempotency key; the reply carries the returned state. NotRun
    /// means that the attempt has not run and will not run, and that the key has not run.
    RunState withdraw(const IdempotencyKey &key, const AttemptKey &attempt,
                      const AttemptTerms &terms, Instant at);

    PromiseReply handlePromiseRequest(const PromiseRequest &request, TimePoint now)
    {
        return m_successor.handlePromiseRequest(request, now);
    }
    SlotActions handlePromiseReply(const PromiseReply &reply, Instant at);
    SlotActions handleStorageReply(const SlotStorageReply &reply, Instant at);
    SlotActions tick(Instant at);

    const std::optional<SlotDocument> &document() const { return m_successor.document(); }

    /// Returns true if this host has at least one slot that no other host can own at \a now.
    bool isOwner(TimePoint now) const { return m_owner && m_owner->exclusiveSlots(now) > 0; }

private:
    SlotActions processOwnerActions(SlotActions actions, Instant at);
    SlotActions processSuccessorOutput(SlotSuccessor::Output output, Instant at);
    void finishAttempts(const SlotActions &actions, Instant at);
    void retireClosedOwner();

    DeploymentId m_deployment;
    SlotSettings m_settings;
    AttemptTable *m_attempts;
    SlotSuccessor m_successor;
    std::unique_ptr<SlotOwner> m_owner;
    std::vector<std::unique_ptr<SlotOwner>> m_retiredOwners;
};

} // namespace godwit
