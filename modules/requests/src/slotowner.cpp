#include <godwit/base/rendezvous.h>
#include <godwit/requests/idempotency.h>
#include <godwit/requests/slotowner.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr Duration RetryAfterUncertain = std::chrono::seconds(2);
constexpr Duration RetryAfterFull = std::chrono::seconds(5);

SlotReply reply(const AttemptKey &attempt, ResultCode code, RunState state,
                Duration retryAfter = Duration(0))
{
    return {attempt, code, state, {}, retryAfter};
}

} // namespace

SlotOwner::SlotOwner(DeploymentId deployment, JournalId journal, SlotSettings settings)
    : m_deployment(std::move(deployment))
    , m_journal(std::move(journal))
    , m_settings(settings)
{}

void SlotOwner::applyClaim(const SlotClaim &claim, Instant at)
{
    m_slotCount = claim.slotCount;
    const bool hasRoom = m_keys.size() + claim.keys.size() <= m_settings.maxKeys;
    for (auto [number, slot] : claim.slots) {
        // If the keys of the journal do not fit, all keys from before the takeover are treated as
        // lost.
        if (!hasRoom)
            slot.journalGapUntil = at.wall + m_settings.maxClockSkew;
        // The slot may already be known with a later gap than the one in the document.
        if (const auto it = m_slots.find(number); it != m_slots.end() && it->second.journalGapUntil)
            slot.journalGapUntil =
                    std::max(slot.journalGapUntil.value_or(*it->second.journalGapUntil),
                             *it->second.journalGapUntil);
        m_slots[number] = std::move(slot);
    }
    if (!hasRoom)
        return;
    for (const auto &[key, ran] : claim.keys) {
        Entry &entry = m_keys[key];
        entry.phase = Phase::Lost;
        entry.isJournaled = true;
        entry.state = ran ? RunState::Ran : RunState::Unknown;
        m_keysByReceipt.emplace_back(at.wall, key);
    }
}

SlotActions SlotOwner::submit(const SlotRequest &request, Instant at)
{
    SlotActions actions;
    if (const auto refused = refusal(request, at)) {
        actions.replies.push_back(*refused);
        return actions;
    }
    if (const auto it = m_keys.find(request.key); it != m_keys.end()) {
        const Phase previousPhase = it->second.phase;
        if (const auto joinReply = joinExisting(request, it->second))
            actions.replies.push_back(*joinReply);
        else if (previousPhase == Phase::Idle)
            m_waitingKeys.push_back(request.key);
    } else {
        Entry entry;
        entry.bodyDigest = request.bodyDigest;
        entry.waiters.push_back({request.attempt, request.startBefore});
        m_keys.emplace(request.key, std::move(entry));
        m_keysByReceipt.emplace_back(at.wall, request.key);
        m_waitingKeys.push_back(request.key);
        m_keysToJournal.push_back(request.key);
    }
    // Only a key that needs no journal write can be dispatched at once.
    const auto it = m_keys.find(request.key);
    if (isStorageOutage(at.now) || (it != m_keys.end() && it->second.isJournaled))
        dispatchWaiting(at.now, actions);
    advanceWrites(at, actions);
    return actions;
}

std::optional<SlotReply> SlotOwner::refusal(const SlotRequest &request, Instant at)
{
    if (!isValidIdempotencyKey(request.key))
        return reply(request.attempt, ResultCode::IdempotencyKeyInvalid, RunState::NotRun);
    const Slot *slot = slotOf(request.key);
    if (!slot || m_isClosed)
        return reply(request.attempt, ResultCode::SlotNotOwned, RunState::Unknown,
                     RetryAfterUncertain);
    if (m_keys.contains(request.key))
        return {};
    if (const auto refused = refusalByTimestamp(request, *slot, at))
        return refused;
    const RunState state = notRunIfExclusive(request.key, at.now);
    if (!mayWait(*slot, at.now))
        return reply(request.attempt, ResultCode::SlotOwnershipUncertain, state,
                     RetryAfterUncertain);
    if (m_waitingKeys.size() >= m_settings.maxWaitingKeys || !evictIfFull())
        return reply(request.attempt, ResultCode::SlotFull, state, RetryAfterFull);
    return {};
}

std::optional<SlotReply> SlotOwner::refusalByTimestamp(const SlotRequest &request, const Slot &slot,
                                                       Instant at) const
{
    const auto createdAt = keyCreationTime(request.key);
    if (request.startBefore <= at.now)
        return reply(request.attempt, ResultCode::AttemptExpired,
                     notRunIfExclusive(request.key, at.now));
    if (createdAt && *createdAt > at.wall + m_settings.maxClockSkew) {
        // A key that is more than twice the skew ahead cannot have been accepted by any host whose
        // clock is within the skew.
        const bool isFarAhead = *createdAt > at.wall + 2 * m_settings.maxClockSkew;
        return reply(request.attempt, ResultCode::IdempotencyKeyTimeInvalid,
                     isFarAhead ? RunState::NotRun : RunState::Unknown);
    }
    if (createdAt && *createdAt < at.wall - m_settings.keyRetention)
        return reply(request.attempt, ResultCode::IdempotencyKeyTooOld, RunState::Unknown);
    const bool isEvicted = createdAt && m_evictedKeyTime && *createdAt <= *m_evictedKeyTime;
    if (isEvicted || (slot.journalGapUntil && !(createdAt && *createdAt > *slot.journalGapUntil)))
        return reply(request.attempt, ResultCode::SlotKeyLost, RunState::Unknown);
    return {};
}

std::optional<SlotReply> SlotOwner::joinExisting(const SlotRequest &request, Entry &entry)
{
    if (entry.bodyDigest && *entry.bodyDigest != request.bodyDigest)
        return reply(request.attempt, ResultCode::IdempotencyBodyMismatch, RunState::NotRun);
    if (entry.phase == Phase::Lost)
        return reply(request.attempt,
                     entry.state == RunState::Ran ? ResultCode::SlotAnswerGone
                                                  : ResultCode::SlotKeyLost,
                     entry.state);
    if (entry.phase == Phase::Finished) {
        SlotReply finishedReply = reply(request.attempt, ResultCode::SlotAnswerGone, RunState::Ran);
        if (entry.response) {
            finishedReply.code = ResultCode::Ok;
            finishedReply.response = *entry.response;
        }
        return finishedReply;
    }
    if (entry.waiters.size() >= m_settings.maxWaitersPerKey)
        return reply(request.attempt, ResultCode::SlotFull, RunState::Unknown, RetryAfterFull);
    if (entry.phase == Phase::Idle)
        entry.phase = Phase::Waiting;
    entry.bodyDigest = request.bodyDigest;
    entry.waiters.push_back({request.attempt, request.startBefore});
    return {};
}

bool SlotOwner::confirmDispatch(const IdempotencyKey &key, Instant at, SlotActions &actions)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second.phase != Phase::DispatchPending)
        return false;
    Entry &entry = it->second;
    if (!entry.waiters.empty() && mayDispatch(key, entry, at.now)) {
        entry.phase = Phase::Running;
        if (!entry.isJournaled) {
            entry.countedUnjournaled = true;
            ++m_unjournaledCount;
        }
        return true;
    }
    entry.phase = Phase::Idle;
    --m_activeCount;
    replyToWaiters(entry, ResultCode::SlotOwnershipUncertain, notRunIfExclusive(key, at.now),
                   actions);
    return false;
}

SlotActions SlotOwner::handleCompletion(const IdempotencyKey &key, RunState state,
                                        std::string response, Instant at)
{
    SlotActions actions;
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second.phase != Phase::Running)
        return actions;
    Entry &entry = it->second;
    --m_activeCount;
    if (state == RunState::NotRun) {
        entry.phase = Phase::Idle;
        replyToWaiters(entry, ResultCode::BackendUnavailable, notRunIfExclusive(key, at.now),
                       actions);
        return actions;
    }
    entry.state = state;
    if (state == RunState::Unknown) {
        entry.phase = Phase::Lost;
        replyToWaiters(entry, ResultCode::BackendFailed, state, actions);
        return actions;
    }
    entry.phase = Phase::Finished;
    m_finishedToJournal.push_back(key);
    for (const Waiter &waiter : entry.waiters)
        actions.replies.push_back({waiter.attempt, ResultCode::Ok, RunState::Ran, response, {}});
    entry.waiters.clear();
    cacheResponse(key, entry, std::move(response));
    return actions;
}

RunState SlotOwner::withdraw(const IdempotencyKey &key, const AttemptKey &attempt, Instant at)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end()) {
        const Slot *slot = slotOf(key);
        const SlotRequest probe{attempt, key, {}, TimePoint::max()};
        const bool isLost = !slot || refusalByTimestamp(probe, *slot, at);
        return isLost ? RunState::Unknown : notRunIfExclusive(key, at.now);
    }
    Entry &entry = it->second;
    switch (entry.phase) {
    case Phase::Waiting:
    case Phase::Idle:
        std::erase_if(entry.waiters, [&](const Waiter &w) { return w.attempt == attempt; });
        return notRunIfExclusive(key, at.now);
    case Phase::DispatchPending:
    case Phase::Running:
        return RunState::Unknown;
    case Phase::Finished:
    case Phase::Lost:
        return entry.state;
    }
    return RunState::Unknown;
}

SlotActions SlotOwner::handlePromiseReply(const PromiseReply &reply, Instant at)
{
    SlotActions actions;
    const auto it = m_promises.find(reply.sender);
    if (it == m_promises.end())
        return actions;
    Promise &promise = it->second;
    const auto pending = promise.pendingRequests.find(reply.id);
    if (pending == promise.pendingRequests.end())
        return actions;
    if (reply.granted)
        promise.until = std::max(promise.until, pending->second + m_settings.promiseDuration);
    promise.pendingRequests.erase(pending);
    dispatchWaiting(at.now, actions);
    return actions;
}

SlotActions SlotOwner::tick(Instant at)
{
    SlotActions actions;
    if (m_isClosed)
        return actions;
    dispatchWaiting(at.now, actions);
    advanceWrites(at, actions);
    requestPromises(at.now, actions);
    deleteOldSegments(at, actions);
    evictExpiredKeys(at);
    return actions;
}

std::size_t SlotOwner::exclusiveSlots(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_slots.begin(), m_slots.end(),
                          [&](const auto &slot) { return isExclusive(&slot.second, now); }));
}

const SlotOwner::Slot *SlotOwner::slotOf(const IdempotencyKey &key) const
{
    if (m_slotCount == 0)
        return nullptr;
    const auto it = m_slots.find(stableHash(key.value()) % m_slotCount);
    return it == m_slots.end() ? nullptr : &it->second;
}

TimePoint SlotOwner::leaseEnd() const
{
    return *m_leaseStart + m_settings.leaseDuration - m_settings.leaseMargin;
}

bool SlotOwner::holdsLease(TimePoint now) const
{
    return m_leaseStart && now < leaseEnd();
}

bool SlotOwner::isStorageOutage(TimePoint now) const
{
    return m_leaseStart && now >= *m_leaseStart + m_settings.leaseDuration / 2;
}

bool SlotOwner::hasPromises(const Slot &slot, TimePoint now) const
{
    const auto hasPromised = [&](const HostId &host) {
        const auto it = m_promises.find(host);
        return it != m_promises.end() && now < it->second.until;
    };
    // Without successors, no host could refuse a promise, and a restarted process of this host
    // would take over.
    return !slot.successors.empty()
           && std::all_of(slot.successors.begin(), slot.successors.end(), hasPromised);
}

bool SlotOwner::isExclusive(const Slot *slot, TimePoint now) const
{
    return slot && !m_isClosed
           && (holdsLease(now) || (isStorageOutage(now) && hasPromises(*slot, now)));
}

bool SlotOwner::mayWait(const Slot &slot, TimePoint now) const
{
    // New keys are refused early enough that the lease still proves that they have not run on
    // another host.
    return !m_leaseStart || now < *m_leaseStart + m_settings.leaseDuration * 5 / 8
           || hasPromises(slot, now);
}

bool SlotOwner::mayDispatch(const IdempotencyKey &key, const Entry &entry, TimePoint now) const
{
    if (m_isClosed)
        return false;
    if (entry.isJournaled && holdsLease(now))
        return true;
    const Slot *slot = slotOf(key);
    return slot && isStorageOutage(now) && hasPromises(*slot, now);
}

RunState SlotOwner::notRunIfExclusive(const IdempotencyKey &key, TimePoint now) const
{
    return isExclusive(slotOf(key), now) ? RunState::NotRun : RunState::Unknown;
}

void SlotOwner::replyToWaiters(Entry &entry, ResultCode code, RunState state, SlotActions &actions)
{
    for (const Waiter &waiter : entry.waiters)
        actions.replies.push_back(reply(waiter.attempt, code, state, RetryAfterUncertain));
    entry.waiters.clear();
}

void SlotOwner::dispatchWaiting(TimePoint now, SlotActions &actions)
{
    std::deque<IdempotencyKey> stillWaiting;
    for (IdempotencyKey &key : m_waitingKeys) {
        const auto it = m_keys.find(key);
        if (it == m_keys.end() || it->second.phase != Phase::Waiting)
            continue;
        Entry &entry = it->second;
        expireWaiters(key, entry, now, actions);
        if (entry.waiters.empty()) {
            entry.phase = Phase::Idle;
        } else if (mayDispatch(key, entry, now)) {
            entry.phase = Phase::DispatchPending;
            ++m_activeCount;
            actions.dispatches.push_back({key, entry.waiters.front().attempt});
        } else if (const Slot *slot = slotOf(key); slot && mayWait(*slot, now)) {
            stillWaiting.push_back(std::move(key));
        } else {
            entry.phase = Phase::Idle;
            replyToWaiters(entry, ResultCode::SlotOwnershipUncertain, notRunIfExclusive(key, now),
                           actions);
        }
    }
    m_waitingKeys = std::move(stillWaiting);
}

void SlotOwner::expireWaiters(const IdempotencyKey &key, Entry &entry, TimePoint now,
                              SlotActions &actions)
{
    std::erase_if(entry.waiters, [&](const Waiter &waiter) {
        if (now < waiter.startBefore)
            return false;
        actions.replies.push_back(reply(waiter.attempt, ResultCode::AttemptExpired,
                                        notRunIfExclusive(key, now), RetryAfterUncertain));
        return true;
    });
}

void SlotOwner::cacheResponse(const IdempotencyKey &key, Entry &entry, std::string response)
{
    if (response.size() > m_settings.maxResponseBytes)
        return;
    m_cachedResponseBytes += response.size();
    entry.response = std::move(response);
    m_cachedResponses.push_back(key);
    while (m_cachedResponseBytes > m_settings.maxResponseBytes) {
        if (const auto it = m_keys.find(m_cachedResponses.front());
            it != m_keys.end() && it->second.response) {
            m_cachedResponseBytes -= it->second.response->size();
            it->second.response.reset();
        }
        m_cachedResponses.pop_front();
    }
}

void SlotOwner::handleClosed(TimePoint now, SlotActions &actions)
{
    m_write.reset();
    for (const IdempotencyKey &key : std::exchange(m_waitingKeys, {})) {
        if (const auto it = m_keys.find(key);
            it != m_keys.end() && it->second.phase == Phase::Waiting) {
            it->second.phase = Phase::Idle;
            replyToWaiters(it->second, ResultCode::SlotNotOwned, notRunIfExclusive(key, now),
                           actions);
        }
    }
    m_keysToJournal.clear();
}

void SlotOwner::requestPromises(TimePoint now, SlotActions &actions)
{
    const bool isRenewalOverdue =
            m_leaseStart && now >= *m_leaseStart + m_settings.leaseDuration * 5 / 12;
    if (!isRenewalOverdue || now < m_nextPromiseRequestAt)
        return;
    m_nextPromiseRequestAt = now + m_settings.promiseDuration / 4;
    std::set<HostId> hosts;
    for (const auto &[number, slot] : m_slots)
        hosts.insert(slot.successors.begin(), slot.successors.end());
    const std::uint64_t writeNumber =
            m_write ? m_write->segment.writeNumber : m_segment->writeNumber;
    for (const HostId &host : hosts) {
        Promise &promise = m_promises[host];
        std::erase_if(promise.pendingRequests, [&](const auto &pending) {
            return pending.second + m_settings.promiseDuration <= now;
        });
        const PromiseRequest request{m_nextPromiseRequestId++, m_journal, writeNumber,
                                     m_settings.promiseDuration};
        promise.pendingRequests[request.id] = now;
        actions.promiseRequests.push_back({host, request});
    }
}

void SlotOwner::evictExpiredKeys(Instant at)
{
    const Duration retention = m_settings.keyRetention + 2 * m_settings.maxClockSkew;
    while (!m_keysByReceipt.empty() && m_keysByReceipt.front().first + retention < at.wall) {
        const auto it = m_keys.find(m_keysByReceipt.front().second);
        if (it != m_keys.end()) {
            const Phase phase = it->second.phase;
            // Keys that are in progress are checked again after another retention time.
            if (phase == Phase::Running || phase == Phase::DispatchPending
                || phase == Phase::Waiting || !it->second.isJournaled) {
                m_keysByReceipt.emplace_back(at.wall, m_keysByReceipt.front().second);
            } else {
                eraseKey(it);
            }
        }
        m_keysByReceipt.pop_front();
    }
    for (auto &[number, slot] : m_slots) {
        if (slot.journalGapUntil && *slot.journalGapUntil + retention < at.wall)
            slot.journalGapUntil.reset();
    }
}

bool SlotOwner::evictIfFull()
{
    if (m_keys.size() < m_settings.maxKeys)
        return true;
    if (m_keysByReceipt.empty())
        return false;
    const IdempotencyKey oldest = m_keysByReceipt.front().second;
    const auto createdAt = keyCreationTime(oldest);
    const auto it = m_keys.find(oldest);
    if (!createdAt || it == m_keys.end() || !it->second.isJournaled
        || (it->second.phase != Phase::Finished && it->second.phase != Phase::Lost))
        return false;
    m_evictedKeyTime = std::max(m_evictedKeyTime.value_or(*createdAt), *createdAt);
    eraseKey(it);
    m_keysByReceipt.pop_front();
    return true;
}

void SlotOwner::eraseKey(std::unordered_map<IdempotencyKey, Entry>::iterator it)
{
    if (it->second.response)
        m_cachedResponseBytes -= it->second.response->size();
    if (!m_cachedResponses.empty() && m_cachedResponses.front() == it->first)
        m_cachedResponses.pop_front();
    m_keys.erase(it);
}

} // namespace godwit
