#include <godwit/requests/requesttracker.h>

#include <algorithm>
#include <utility>

namespace godwit {

namespace {

/// Returns true for codes that every other host would return as well.
bool isFinalForAllHosts(ResultCode code)
{
    switch (code) {
    case ResultCode::IdempotencyKeyInvalid:
    case ResultCode::IdempotencyKeyTimeInvalid:
    case ResultCode::IdempotencyKeyTooOld:
    case ResultCode::IdempotencyBodyMismatch:
    case ResultCode::SlotKeyLost:
    case ResultCode::SlotAnswerGone:
    case ResultCode::PoisonSuspected:
        return true;
    default:
        return false;
    }
}

} // namespace

RequestTracker::RequestTracker(Spec spec)
    : m_spec(std::move(spec))
{}

RequestTracker::StartedAttempt RequestTracker::startAttempt()
{
    const AttemptKey key{m_spec.id, AttemptId{m_nextAttempt++}};
    Attempt &attempt = m_attempts[key];
    attempt.resumeAt = m_position;
    return {key, attempt.resumeAt};
}

RequestTracker::Actions RequestTracker::handleChunk(const AttemptKey &key, const Pin &pin,
                                                    std::uint64_t position, std::string_view bytes)
{
    Attempt *attempt = findOpenAttempt(key);
    if (!attempt)
        return {};
    if (pin != m_spec.pin) {
        closeAttempt(key, *attempt, RunState::Ran);
        return handleAttemptFailure(ResultCode::PinMismatch, {});
    }
    if (!m_sourceAttempt && attempt->resumeAt == m_position)
        m_sourceAttempt = key;
    const std::uint64_t end = position + bytes.size();
    // Another attempt may have produced different bytes, so its bytes are ignored.
    if (m_sourceAttempt != key || end <= m_position) {
        ++m_ignoredEvents;
        return {};
    }
    if (position > m_position) {
        closeAttempt(key, *attempt, RunState::Unknown);
        return handleAttemptFailure(ResultCode::StreamBroken, {});
    }
    Actions actions;
    actions.deliver = bytes.substr(m_position - position);
    m_position = end;
    // The other attempts can no longer contribute to the response.
    for (auto &[other, otherAttempt] : m_attempts) {
        if (other != key && otherAttempt.isOpen && !std::exchange(otherAttempt.isWithdrawing, true))
            actions.withdraw.push_back(other);
    }
    return actions;
}

RequestTracker::Actions RequestTracker::handleReply(const AttemptKey &key, const Pin &pin,
                                                    ResultCode code, RunState state,
                                                    std::uint64_t length, Duration retryAfter)
{
    Attempt *attempt = findOpenAttempt(key);
    if (!attempt)
        return {};
    if (code == ResultCode::Ok && pin != m_spec.pin) {
        closeAttempt(key, *attempt, RunState::Ran);
        return handleAttemptFailure(ResultCode::PinMismatch, retryAfter);
    }
    const bool isSource = m_sourceAttempt ? m_sourceAttempt == key : length == m_position;
    if (code == ResultCode::Ok && isSource && length == m_position)
        return finish(ResultCode::Ok, RunState::Ran, {});
    closeAttempt(key, *attempt, state);
    return handleAttemptFailure(code == ResultCode::Ok ? ResultCode::StreamBroken : code,
                                retryAfter);
}

RequestTracker::Actions RequestTracker::handleSilence(const AttemptKey &key)
{
    Attempt *attempt = findOpenAttempt(key);
    if (!attempt || attempt->isSilent)
        return {};
    attempt->isSilent = true;
    if (m_sourceAttempt == key)
        m_sourceAttempt.reset();
    Actions actions = handleAttemptFailure(ResultCode::BackendSilent, {});
    if (!m_isFinal && !std::exchange(attempt->isWithdrawing, true))
        actions.withdraw.push_back(key);
    return actions;
}

RequestTracker::Actions RequestTracker::handleWithdrawReply(const AttemptKey &key, RunState state)
{
    Attempt *attempt = findOpenAttempt(key);
    if (!attempt)
        return {};
    // A running attempt that is not silent may still complete.
    if (state != RunState::NotRun && !attempt->isSilent)
        return {};
    closeAttempt(key, *attempt, state);
    return handleAttemptFailure(ResultCode::BackendSilent, {});
}

RequestTracker::Actions RequestTracker::abandon(ResultCode code, Duration retryAfter)
{
    if (m_isFinal)
        return {};
    // A proof about a key is valid only for the time at which it was given: another request with
    // the same key may have run since.
    const RunState state = combinedState();
    const bool isStale = m_spec.hasIdempotencyKey && state == RunState::NotRun;
    return finish(code, isStale ? RunState::Unknown : state, retryAfter);
}

RequestTracker::Actions RequestTracker::cancel()
{
    return abandon(ResultCode::RequestCancelled, {});
}

RequestTracker::Actions RequestTracker::tick(TimePoint now)
{
    Actions actions;
    if (m_isFinal)
        return actions;
    if (now >= m_spec.deadline)
        return abandon(ResultCode::DeadlineExceeded, {});
    if (now < m_spec.deadline - WithdrawLead)
        return actions;
    for (auto &[key, attempt] : m_attempts) {
        if (attempt.isOpen && m_sourceAttempt != key && !std::exchange(attempt.isWithdrawing, true))
            actions.withdraw.push_back(key);
    }
    return actions;
}

RequestTracker::Attempt *RequestTracker::findOpenAttempt(const AttemptKey &key)
{
    const auto it = m_attempts.find(key);
    if (!m_isFinal && it != m_attempts.end() && it->second.isOpen)
        return &it->second;
    ++m_ignoredEvents;
    return nullptr;
}

void RequestTracker::closeAttempt(const AttemptKey &key, Attempt &attempt, RunState state)
{
    attempt.isOpen = false;
    attempt.state = state;
    if (m_sourceAttempt == key)
        m_sourceAttempt.reset();
}

RequestTracker::Actions RequestTracker::handleAttemptFailure(ResultCode code, Duration retryAfter)
{
    if (isFinalForAllHosts(code))
        return finish(code, combinedState(), retryAfter);
    if (hasOpenAttempt())
        return {};
    if (!mayRetry(code))
        return finish(code, combinedState(), retryAfter);
    Actions actions;
    actions.mayRetry = true;
    return actions;
}

bool RequestTracker::hasOpenAttempt() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto &item) {
        return item.second.isOpen && !item.second.isSilent;
    });
}

bool RequestTracker::mayRetry(ResultCode code) const
{
    if (m_position > 0 && !m_spec.isResumable)
        return false;
    // The owner of the slot has given the final result for the key.
    if (m_spec.hasIdempotencyKey && code == ResultCode::BackendFailed)
        return false;
    return m_spec.isIdempotent || m_spec.hasIdempotencyKey || combinedState() == RunState::NotRun;
}

RunState RequestTracker::combinedState() const
{
    // Without an attempt, nothing ran for this request, but an earlier request may have used the
    // same key.
    RunState state =
            m_spec.hasIdempotencyKey && m_attempts.empty() ? RunState::Unknown : RunState::NotRun;
    for (const auto &[key, attempt] : m_attempts) {
        if (attempt.state == RunState::Ran)
            return RunState::Ran;
        if (attempt.state == RunState::Unknown)
            state = RunState::Unknown;
    }
    // A position above 0 means that an attempt ran at least partly.
    return m_position > 0 && state == RunState::NotRun ? RunState::Unknown : state;
}

RequestTracker::Actions RequestTracker::finish(ResultCode code, RunState state, Duration retryAfter)
{
    m_isFinal = true;
    Actions actions;
    actions.final = FinalResponse{code, state, retryAfter};
    for (auto &[key, attempt] : m_attempts) {
        if (attempt.isOpen && m_sourceAttempt != key && !attempt.isWithdrawing)
            actions.withdraw.push_back(key);
    }
    return actions;
}

} // namespace godwit
