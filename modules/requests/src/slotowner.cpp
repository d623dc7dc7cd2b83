#include <godwit/base/rendezvous.h>
#include <godwit/requests/idempotency.h>
#include <godwit/requests/slotowner.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr Duration RetryWhenUncertain = std::chrono::seconds(2);
constexpr Duration RetryWhenFull = std::chrono::seconds(5);

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

void SlotOwner::adopt(const SlotClaim &claim, Instant at)
{
    m_slotCount = claim.slotCount;
    const bool fits = m_keys.size() + claim.keys.size() <= m_settings.keys;
    for (auto [number, slot] : claim.slots) {
        // Without room for the keys of the journal, all keys from before the takeover count as
        // lost.
        if (!fits)
            slot.gapBefore = at.wall + m_settings.clockSkew;
        // The slot may be known already, with a later gap than the document says.
        if (const auto it = m_slots.find(number); it != m_slots.end() && it->second.gapBefore)
            slot.gapBefore =
                    std::max(slot.gapBefore.value_or(*it->second.gapBefore), *it->second.gapBefore);
        m_slots[number] = std::move(slot);
    }
    if (!fits)
        return;
    for (const auto &[key, ran] : claim.keys) {
        Entry &entry = m_keys[key];
        entry.phase = Phase::Lost;
        entry.journaled = true;
        entry.state = ran ? RunState::Ran : RunState::Unknown;
        m_order.emplace_back(at.wall, key);
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
        const Phase before = it->second.phase;
        if (const auto answered = joinExisting(request, it->second))
            actions.replies.push_back(*answered);
        else if (before == Phase::Idle)
            m_waiting.push_back(request.key);
    } else {
        Entry entry;
        entry.body = request.body;
        entry.waiters.push_back({request.attempt, request.startBefore});
        m_keys.emplace(request.key, std::move(entry));
        m_order.emplace_back(at.wall, request.key);
        m_waiting.push_back(request.key);
        m_queue.push_back(request.key);
    }
    // Only a key that needs no journal write can start at once.
    const auto it = m_keys.find(request.key);
    if (isOutage(at.now) || (it != m_keys.end() && it->second.journaled))
        pump(at.now, actions);
    driveWrites(at, actions);
    return actions;
}

std::optional<SlotReply> SlotOwner::refusal(const SlotRequest &request, Instant at)
{
    if (!isValidIdempotencyKey(request.key))
        return reply(request.attempt, ResultCode::IdempotencyKeyInvalid, RunState::NotRun);
    const Slot *slot = slotOf(request.key);
    if (!slot || m_closed)
        return reply(request.attempt, ResultCode::SlotNotOwned, RunState::Unknown,
                     RetryWhenUncertain);
    if (m_keys.contains(request.key))
        return {};
    if (const auto refused = refusalByTime(request, *slot, at))
        return refused;
    const RunState state = unlessTaken(request.key, at.now);
    if (!canWait(*slot, at.now))
        return reply(request.attempt, ResultCode::SlotOwnershipUncertain, state,
                     RetryWhenUncertain);
    if (m_waiting.size() >= m_settings.waiting || !makeRoom())
        return reply(request.attempt, ResultCode::SlotFull, state, RetryWhenFull);
    return {};
}

std::optional<SlotReply> SlotOwner::refusalByTime(const SlotRequest &request, const Slot &slot,
                                                  Instant at) const
{
    const auto made = keyCreationTime(request.key);
    if (request.startBefore <= at.now)
        return reply(request.attempt, ResultCode::AttemptExpired, unlessTaken(request.key, at.now));
    if (made && *made > at.wall + m_settings.clockSkew) {
        // No host with a clock within the skew has accepted a key that is twice as far ahead.
        const bool absurd = *made > at.wall + 2 * m_settings.clockSkew;
        return reply(request.attempt, ResultCode::IdempotencyKeyTimeInvalid,
                     absurd ? RunState::NotRun : RunState::Unknown);
    }
    if (made && *made < at.wall - m_settings.retention)
        return reply(request.attempt, ResultCode::IdempotencyKeyTooOld, RunState::Unknown);
    const bool forgotten = made && m_forgottenUntil && *made <= *m_forgottenUntil;
    if (forgotten || (slot.gapBefore && !(made && *made > *slot.gapBefore)))
        return reply(request.attempt, ResultCode::SlotKeyLost, RunState::Unknown);
    return {};
}

std::optional<SlotReply> SlotOwner::joinExisting(const SlotRequest &request, Entry &entry)
{
    if (entry.body && *entry.body != request.body)
        return reply(request.attempt, ResultCode::IdempotencyBodyMismatch, RunState::NotRun);
    if (entry.phase == Phase::Lost)
        return reply(request.attempt,
                     entry.state == RunState::Ran ? ResultCode::SlotAnswerGone
                                                  : ResultCode::SlotKeyLost,
                     entry.state);
    if (entry.phase == Phase::Finished) {
        SlotReply done = reply(request.attempt, ResultCode::SlotAnswerGone, RunState::Ran);
        if (entry.answer) {
            done.code = ResultCode::Ok;
            done.answer = *entry.answer;
        }
        return done;
    }
    if (entry.waiters.size() >= m_settings.waitersPerKey)
        return reply(request.attempt, ResultCode::SlotFull, RunState::Unknown, RetryWhenFull);
    if (entry.phase == Phase::Idle)
        entry.phase = Phase::Waiting;
    entry.body = request.body;
    entry.waiters.push_back({request.attempt, request.startBefore});
    return {};
}

bool SlotOwner::confirmDispatch(const IdempotencyKey &key, Instant at, SlotActions &actions)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second.phase != Phase::Ordered)
        return false;
    Entry &entry = it->second;
    if (!entry.waiters.empty() && mayStart(key, entry, at.now)) {
        entry.phase = Phase::Running;
        if (!entry.journaled) {
            entry.countedBehind = true;
            ++m_behind;
        }
        return true;
    }
    entry.phase = Phase::Idle;
    --m_active;
    replyAll(entry, ResultCode::SlotOwnershipUncertain, unlessTaken(key, at.now), actions);
    return false;
}

SlotActions SlotOwner::finished(const IdempotencyKey &key, RunState state, std::string answer,
                                Instant at)
{
    SlotActions actions;
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second.phase != Phase::Running)
        return actions;
    Entry &entry = it->second;
    --m_active;
    if (state == RunState::NotRun) {
        entry.phase = Phase::Idle;
        replyAll(entry, ResultCode::BackendUnavailable, unlessTaken(key, at.now), actions);
        return actions;
    }
    entry.state = state;
    if (state == RunState::Unknown) {
        entry.phase = Phase::Lost;
        replyAll(entry, ResultCode::BackendFailed, state, actions);
        return actions;
    }
    entry.phase = Phase::Finished;
    m_finished.push_back(key);
    for (const Waiter &waiter : entry.waiters)
        actions.replies.push_back({waiter.attempt, ResultCode::Ok, RunState::Ran, answer, {}});
    entry.waiters.clear();
    keepAnswer(key, entry, std::move(answer));
    return actions;
}

RunState SlotOwner::withdraw(const IdempotencyKey &key, const AttemptKey &attempt, Instant at)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end()) {
        const Slot *slot = slotOf(key);
        const SlotRequest probe{attempt, key, {}, TimePoint::max()};
        const bool lost = !slot || refusalByTime(probe, *slot, at);
        return lost ? RunState::Unknown : unlessTaken(key, at.now);
    }
    Entry &entry = it->second;
    switch (entry.phase) {
    case Phase::Waiting:
    case Phase::Idle:
        std::erase_if(entry.waiters, [&](const Waiter &w) { return w.attempt == attempt; });
        return unlessTaken(key, at.now);
    case Phase::Ordered:
    case Phase::Running:
        return RunState::Unknown;
    case Phase::Finished:
    case Phase::Lost:
        return entry.state;
    }
    return RunState::Unknown;
}

SlotActions SlotOwner::promiseAnswer(const PromiseAnswer &answer, Instant at)
{
    SlotActions actions;
    const auto it = m_promises.find(answer.from);
    if (it == m_promises.end())
        return actions;
    Promise &promise = it->second;
    const auto asked = promise.asked.find(answer.id);
    if (asked == promise.asked.end())
        return actions;
    if (answer.granted)
        promise.until = std::max(promise.until, asked->second + m_settings.promise);
    promise.asked.erase(asked);
    pump(at.now, actions);
    return actions;
}

SlotActions SlotOwner::tick(Instant at)
{
    SlotActions actions;
    if (m_closed)
        return actions;
    pump(at.now, actions);
    driveWrites(at, actions);
    ask(at.now, actions);
    deleteOldSegments(at, actions);
    forgetOld(at);
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
    return *m_leaseStart + m_settings.lease - m_settings.leaseMargin;
}

bool SlotOwner::isLeased(TimePoint now) const
{
    return m_leaseStart && now < leaseEnd();
}

bool SlotOwner::isOutage(TimePoint now) const
{
    return m_leaseStart && now >= *m_leaseStart + m_settings.lease / 2;
}

bool SlotOwner::isPromised(const Slot &slot, TimePoint now) const
{
    const auto promised = [&](const HostId &host) {
        const auto it = m_promises.find(host);
        return it != m_promises.end() && now < it->second.until;
    };
    // Without successors nobody could refuse, and a restarted process of this host takes over.
    return !slot.successors.empty()
           && std::all_of(slot.successors.begin(), slot.successors.end(), promised);
}

bool SlotOwner::isExclusive(const Slot *slot, TimePoint now) const
{
    return slot && !m_closed && (isLeased(now) || (isOutage(now) && isPromised(*slot, now)));
}

bool SlotOwner::canWait(const Slot &slot, TimePoint now) const
{
    // New keys are refused while the lease still proves that they have not run elsewhere.
    return !m_leaseStart || now < *m_leaseStart + m_settings.lease * 5 / 8 || isPromised(slot, now);
}

bool SlotOwner::mayStart(const IdempotencyKey &key, const Entry &entry, TimePoint now) const
{
    if (m_closed)
        return false;
    if (entry.journaled && isLeased(now))
        return true;
    const Slot *slot = slotOf(key);
    return slot && isOutage(now) && isPromised(*slot, now);
}

RunState SlotOwner::unlessTaken(const IdempotencyKey &key, TimePoint now) const
{
    return isExclusive(slotOf(key), now) ? RunState::NotRun : RunState::Unknown;
}

void SlotOwner::replyAll(Entry &entry, ResultCode code, RunState state, SlotActions &actions)
{
    for (const Waiter &waiter : entry.waiters)
        actions.replies.push_back(reply(waiter.attempt, code, state, RetryWhenUncertain));
    entry.waiters.clear();
}

void SlotOwner::pump(TimePoint now, SlotActions &actions)
{
    std::deque<IdempotencyKey> still;
    for (IdempotencyKey &key : m_waiting) {
        const auto it = m_keys.find(key);
        if (it == m_keys.end() || it->second.phase != Phase::Waiting)
            continue;
        Entry &entry = it->second;
        expireWaiters(key, entry, now, actions);
        if (entry.waiters.empty()) {
            entry.phase = Phase::Idle;
        } else if (mayStart(key, entry, now)) {
            entry.phase = Phase::Ordered;
            ++m_active;
            actions.dispatches.push_back({key, entry.waiters.front().attempt});
        } else if (const Slot *slot = slotOf(key); slot && canWait(*slot, now)) {
            still.push_back(std::move(key));
        } else {
            entry.phase = Phase::Idle;
            replyAll(entry, ResultCode::SlotOwnershipUncertain, unlessTaken(key, now), actions);
        }
    }
    m_waiting = std::move(still);
}

void SlotOwner::expireWaiters(const IdempotencyKey &key, Entry &entry, TimePoint now,
                              SlotActions &actions)
{
    std::erase_if(entry.waiters, [&](const Waiter &waiter) {
        if (now < waiter.startBefore)
            return false;
        actions.replies.push_back(reply(waiter.attempt, ResultCode::AttemptExpired,
                                        unlessTaken(key, now), RetryWhenUncertain));
        return true;
    });
}

void SlotOwner::keepAnswer(const IdempotencyKey &key, Entry &entry, std::string answer)
{
    if (answer.size() > m_settings.answerBytes)
        return;
    m_answerBytes += answer.size();
    entry.answer = std::move(answer);
    m_answers.push_back(key);
    while (m_answerBytes > m_settings.answerBytes) {
        if (const auto it = m_keys.find(m_answers.front());
            it != m_keys.end() && it->second.answer) {
            m_answerBytes -= it->second.answer->size();
            it->second.answer.reset();
        }
        m_answers.pop_front();
    }
}

void SlotOwner::close(TimePoint now, SlotActions &actions)
{
    m_write.reset();
    for (const IdempotencyKey &key : std::exchange(m_waiting, {})) {
        if (const auto it = m_keys.find(key);
            it != m_keys.end() && it->second.phase == Phase::Waiting) {
            it->second.phase = Phase::Idle;
            replyAll(it->second, ResultCode::SlotNotOwned, unlessTaken(key, now), actions);
        }
    }
    m_queue.clear();
}

void SlotOwner::ask(TimePoint now, SlotActions &actions)
{
    const bool troubled = m_leaseStart && now >= *m_leaseStart + m_settings.lease * 5 / 12;
    if (!troubled || now < m_nextAskAt)
        return;
    m_nextAskAt = now + m_settings.promise / 4;
    std::set<HostId> hosts;
    for (const auto &[number, slot] : m_slots)
        hosts.insert(slot.successors.begin(), slot.successors.end());
    const std::uint64_t beat = m_write ? m_write->segment.beat : m_segment->beat;
    for (const HostId &host : hosts) {
        Promise &promise = m_promises[host];
        std::erase_if(promise.asked,
                      [&](const auto &asked) { return asked.second + m_settings.promise <= now; });
        const PromiseQuestion question{m_nextQuestion++, m_journal, beat, m_settings.promise};
        promise.asked[question.id] = now;
        actions.questions.push_back({host, question});
    }
}

void SlotOwner::forgetOld(Instant at)
{
    const Duration kept = m_settings.retention + 2 * m_settings.clockSkew;
    while (!m_order.empty() && m_order.front().first + kept < at.wall) {
        const auto it = m_keys.find(m_order.front().second);
        if (it != m_keys.end()) {
            const Phase phase = it->second.phase;
            // What is in progress is looked at again after another retention time.
            if (phase == Phase::Running || phase == Phase::Ordered || phase == Phase::Waiting
                || !it->second.journaled) {
                m_order.emplace_back(at.wall, m_order.front().second);
            } else {
                forget(it);
            }
        }
        m_order.pop_front();
    }
    for (auto &[number, slot] : m_slots) {
        if (slot.gapBefore && *slot.gapBefore + kept < at.wall)
            slot.gapBefore.reset();
    }
}

bool SlotOwner::makeRoom()
{
    if (m_keys.size() < m_settings.keys)
        return true;
    if (m_order.empty())
        return false;
    const IdempotencyKey oldest = m_order.front().second;
    const auto made = keyCreationTime(oldest);
    const auto it = m_keys.find(oldest);
    if (!made || it == m_keys.end() || !it->second.journaled
        || (it->second.phase != Phase::Finished && it->second.phase != Phase::Lost))
        return false;
    m_forgottenUntil = std::max(m_forgottenUntil.value_or(*made), *made);
    forget(it);
    m_order.pop_front();
    return true;
}

void SlotOwner::forget(std::unordered_map<IdempotencyKey, Entry>::iterator it)
{
    if (it->second.answer)
        m_answerBytes -= it->second.answer->size();
    if (!m_answers.empty() && m_answers.front() == it->first)
        m_answers.pop_front();
    m_keys.erase(it);
}

} // namespace godwit
