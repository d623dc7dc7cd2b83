#include <godwit/requests/slothost.h>

#include <iterator>

namespace godwit {

namespace {

// Call ids of an owner include the term of its journal, so that a late reply to a former owner is
// not mistaken for a reply to the current one. The successor uses term 0.
constexpr unsigned TermBits = 16;
constexpr std::uint64_t TermMask = (1U << TermBits) - 1;

void tagCalls(SlotActions &actions, std::uint64_t term)
{
    for (SlotStorageCall &call : actions.storage)
        call.id = (call.id << TermBits) | (term & TermMask);
}

template <typename T>
void append(std::vector<T> &to, std::vector<T> &&from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

void append(SlotActions &to, SlotActions &&from)
{
    append(to.storage, std::move(from.storage));
    append(to.dispatches, std::move(from.dispatches));
    append(to.replies, std::move(from.replies));
    append(to.promiseRequests, std::move(from.promiseRequests));
}

} // namespace

SlotHost::SlotHost(DeploymentId deployment, HostId self, Incarnation process,
                   std::vector<HostId> hosts, SlotSettings settings, AttemptTable &attempts,
                   TimePoint start)
    : m_deployment(deployment)
    , m_settings(settings)
    , m_attempts(&attempts)
    , m_successor(std::move(deployment), std::move(self), process, std::move(hosts), settings,
                  start)
{}

SlotActions SlotHost::run(const SlotRequest &request, const AttemptTerms &terms, Instant at)
{
    SlotActions actions;
    const auto status = m_attempts->receive(request.attempt, terms, at.now);
    if (!status) {
        // The status describes only this attempt; another attempt of the same key may have run.
        SlotReply refused{request.attempt, status.code, status.state, {}, {}};
        if (refused.state == RunState::NotRun)
            refused.state = m_owner ? m_owner->withdraw(request.key, request.attempt, at)
                                    : RunState::Unknown;
        actions.replies.push_back(std::move(refused));
        return actions;
    }
    if (m_owner)
        return processOwnerActions(m_owner->submit(request, at), at);
    actions.replies.push_back(
            {request.attempt, ResultCode::SlotNotOwned, RunState::Unknown, {}, {}});
    finishAttempts(actions, at);
    return actions;
}

bool SlotHost::confirmDispatch(const SlotDispatch &dispatch, Instant at, SlotActions &actions)
{
    // A former owner refuses the dispatch and replies to the waiting attempts.
    for (const auto &owner : m_retiredOwners) {
        SlotActions late;
        owner->confirmDispatch(dispatch.key, at, late);
        finishAttempts(late, at);
        append(actions, std::move(late));
    }
    if (!m_owner)
        return false;
    SlotActions own;
    bool confirmed = m_owner->confirmDispatch(dispatch.key, at, own);
    if (confirmed && !m_attempts->dispatch(dispatch.attempt, at.now)) {
        own = m_owner->handleCompletion(dispatch.key, RunState::NotRun, {}, at);
        confirmed = false;
    }
    append(actions, processOwnerActions(std::move(own), at));
    return confirmed;
}

SlotActions SlotHost::handleCompletion(const IdempotencyKey &key, RunState state,
                                       const std::string &response, Instant at)
{
    SlotActions actions;
    if (m_owner)
        actions = processOwnerActions(m_owner->handleCompletion(key, state, response, at), at);
    for (const auto &owner : m_retiredOwners) {
        SlotActions late = owner->handleCompletion(key, state, response, at);
        finishAttempts(late, at);
        append(actions, std::move(late));
    }
    std::erase_if(m_retiredOwners, [](const auto &owner) { return owner->isIdle(); });
    return actions;
}

RunState SlotHost::withdraw(const IdempotencyKey &key, const AttemptKey &attempt,
                            const AttemptTerms &terms, Instant at)
{
    for (const auto &owner : m_retiredOwners) {
        const RunState state = owner->withdraw(key, attempt, at);
        if (state == RunState::Ran)
            return state;
    }
    const RunState state = m_owner ? m_owner->withdraw(key, attempt, at) : RunState::Unknown;
    if (state == RunState::Ran)
        return state;
    const auto status = m_attempts->withdraw(attempt, terms, at.now);
    return state == RunState::NotRun ? status.state : RunState::Unknown;
}

SlotActions SlotHost::handlePromiseReply(const PromiseReply &reply, Instant at)
{
    return m_owner ? processOwnerActions(m_owner->handlePromiseReply(reply, at), at)
                   : SlotActions();
}

SlotActions SlotHost::handleStorageReply(const SlotStorageReply &reply, Instant at)
{
    const std::uint64_t term = reply.id & TermMask;
    SlotStorageReply untagged = reply;
    untagged.id >>= TermBits;
    if (term == 0)
        return processSuccessorOutput(m_successor.handleStorageReply(untagged, at), at);
    if (m_owner && (m_owner->journal().term & TermMask) == term)
        return processOwnerActions(m_owner->handleStorageReply(untagged, at), at);
    return {};
}

SlotActions SlotHost::tick(Instant at)
{
    SlotActions actions = processSuccessorOutput(m_successor.tick(at), at);
    if (m_owner)
        append(actions, processOwnerActions(m_owner->tick(at), at));
    return actions;
}

SlotActions SlotHost::processOwnerActions(SlotActions actions, Instant at)
{
    tagCalls(actions, m_owner->journal().term);
    finishAttempts(actions, at);
    retireClosedOwner();
    return actions;
}

SlotActions SlotHost::processSuccessorOutput(SlotSuccessor::Output output, Instant at)
{
    tagCalls(output.actions, 0);
    if (output.claim && !output.claim->slots.empty()) {
        if (!m_owner)
            m_owner = std::make_unique<SlotOwner>(m_deployment, output.claim->journal, m_settings);
        m_owner->applyClaim(*output.claim, at);
    }
    return std::move(output.actions);
}

void SlotHost::finishAttempts(const SlotActions &actions, Instant at)
{
    for (const SlotReply &reply : actions.replies)
        m_attempts->finish(reply.attempt, reply.state, at.now);
}

void SlotHost::retireClosedOwner()
{
    if (!m_owner || !m_owner->isClosed())
        return;
    if (!m_owner->isIdle())
        m_retiredOwners.push_back(std::move(m_owner));
    m_owner.reset();
    m_successor.handleOwnJournalClosed();
}

} // namespace godwit
