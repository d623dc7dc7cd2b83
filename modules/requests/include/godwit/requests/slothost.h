#pragma once

#include <godwit/requests/attempttable.h>
#include <godwit/requests/slotowner.h>
#include <godwit/requests/slotsuccessor.h>

#include <memory>
#include <vector>

namespace godwit {

/// Everything that a host process does for one non-idempotent deployment: its SlotSuccessor, its
/// current SlotOwner, and former owners whose journal was closed while requests were running.
/// Connects them to the AttemptTable of the process, which must outlive this object.
class SlotHost
{
public:
    SlotHost(DeploymentId deployment, HostId self, Incarnation process, std::vector<HostId> hosts,
             SlotSettings settings, AttemptTable &attempts, TimePoint start);

    /// See SlotSuccessor::setHosts().
    void setHosts(std::vector<HostId> hosts) { m_successor.setHosts(std::move(hosts)); }

    /// `/run` with an idempotency key. Replies are returned for this and other attempts.
    SlotActions run(const SlotRequest &request, const AttemptTerms &terms, Instant at);

    /// Called immediately before the request is written to the backend server, which must not
    /// happen if it returns false.
    bool confirmDispatch(const SlotDispatch &dispatch, Instant at, SlotActions &actions);

    /// The backend server is done with \a key.
    SlotActions handleCompletion(const IdempotencyKey &key, RunState state,
                                 const std::string &response, Instant at);

    /// `/withdraw` with an idempotency key; the reply carries the returned state. NotRun means that
    /// neither the attempt ran or will run, nor the key has run.
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

    /// True if no other host can own some slot of this host at \a now.
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
