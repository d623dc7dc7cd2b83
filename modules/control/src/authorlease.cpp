#include <godwit/control/authorlease.h>

#include <algorithm>

namespace godwit {

namespace {

/// A refusal is a reply, so the service is available.
bool isOutage(StorageStatus status)
{
    return status == StorageStatus::Timeout || status == StorageStatus::Unreachable;
}

} // namespace

AuthorLease::AuthorLease(std::string holder, Settings settings, Random random)
    : m_holder(std::move(holder))
    , m_settings(settings)
    , m_random(random)
    , m_backoff(settings.firstBackoff)
{}

std::vector<LeaseAction> AuthorLease::start(TimePoint now)
{
    m_lastTimer = now;
    return read(now);
}

std::vector<LeaseAction> AuthorLease::read(TimePoint now)
{
    m_needsRead = true;
    m_callDeadline = now + m_settings.callTimeout;
    return {ReadAuthor{++m_call}};
}

std::vector<LeaseAction> AuthorLease::write(TimePoint now, Duration lease, FencingNumber fencing)
{
    // The renewal count makes each written record unique, so that a read shows which write took
    // effect.
    const std::uint64_t renewals =
            std::max({m_previous.renewals, m_record.renewals, m_written.renewals}) + 1;
    m_written = {fencing, m_holder, renewals, lease};
    m_sentAt = now;
    m_callDeadline = now + m_settings.callTimeout;
    // Once a release has been sent, another process may take over the record.
    if (lease == Duration(0) && m_state == State::Held)
        m_state = State::Idle;
    m_releasing = m_releasing || lease == Duration(0);
    return {WriteAuthor{++m_call, m_storedRevision, toJsonText(m_written)}};
}

std::vector<LeaseAction> AuthorLease::onCallFailed(TimePoint now, bool outage)
{
    m_callDeadline.reset();
    m_needsRead = true; // A write may have taken effect.
    m_outage = outage;
    m_retryAt = now + m_backoff / 2
                + Duration(static_cast<std::int64_t>(
                        m_random.below(static_cast<std::uint64_t>(m_backoff.count()) + 1)));
    m_backoff = std::min(m_backoff * 2, m_settings.maxBackoff);
    return {};
}

void AuthorLease::recordStored(const AuthorRecord &record, std::uint64_t storedRevision)
{
    m_record = record;
    m_storedRevision = storedRevision;
    m_outage = false;
    m_needsRead = false;
    m_backoff = m_settings.firstBackoff;
    m_state = record.lease > Duration(0) ? State::Held : State::Idle;
}

std::vector<LeaseAction> AuthorLease::onRead(TimePoint now, std::uint64_t call,
                                             const StorageReply &reply)
{
    if (call != m_call || !m_callDeadline || m_state == State::Lost)
        return {};
    if (reply.status != StorageStatus::Success)
        return onCallFailed(now, isOutage(reply.status));
    m_callDeadline.reset();
    AuthorRecord record;
    if (reply.storedRevision != 0) {
        const auto parsed = capture([&] { return parseJson<AuthorRecord>(reply.value); });
        if (!succeeded(parsed))
            return onCallFailed(now, false);
        record = std::get<0>(parsed);
    }
    m_outage = false;
    m_needsRead = false;
    if (!record.holder.empty() && record.holder == m_holder)
        return onOwnRecord(now, record, reply.storedRevision);
    return onForeignRecord(now, record, reply.storedRevision);
}

std::vector<LeaseAction> AuthorLease::onOwnRecord(TimePoint now, const AuthorRecord &record,
                                                  std::uint64_t storedRevision)
{
    if (record == m_written) {
        m_leaseStart = m_sentAt;
        m_paused = m_paused && !isTimerOnTime(now);
        m_releasing = false;
    }
    recordStored(record, storedRevision);
    // A release with unknown outcome may still take effect until a later write has replaced the
    // record.
    if (m_releasing)
        m_state = State::Idle;
    return nextCall(now);
}

std::vector<LeaseAction> AuthorLease::onForeignRecord(TimePoint now, const AuthorRecord &record,
                                                      std::uint64_t storedRevision)
{
    if (m_record.fencing != FencingNumber{}) {
        m_state = State::Lost;
        return {};
    }
    if (m_state == State::Waiting && record == m_previous && storedRevision == m_storedRevision)
        return nextCall(now);
    m_previous = record;
    m_storedRevision = storedRevision;
    m_state = State::Waiting;
    m_waitUntil = m_settings.waitsForPreviousLease ? now + record.lease : now;
    return nextCall(now);
}

std::vector<LeaseAction> AuthorLease::onWrite(TimePoint now, std::uint64_t call,
                                              const StorageReply &reply)
{
    if (call != m_call || !m_callDeadline || m_state == State::Lost)
        return {};
    if (reply.status == StorageStatus::CompareFailed) {
        m_callDeadline.reset();
        return read(now);
    }
    if (reply.status != StorageStatus::Success)
        return onCallFailed(now, isOutage(reply.status));
    m_callDeadline.reset();
    m_leaseStart = m_sentAt;
    m_paused = m_paused && !isTimerOnTime(now);
    m_releasing = false;
    recordStored(m_written, reply.storedRevision);
    return {};
}

std::vector<LeaseAction> AuthorLease::setOrdersPending(TimePoint now, bool pending)
{
    if (m_ordersPending && !pending)
        m_idleSince = now;
    m_ordersPending = pending;
    return m_state == State::Idle ? nextCall(now) : Actions();
}

std::vector<LeaseAction> AuthorLease::nextCall(TimePoint now)
{
    if (m_callDeadline || m_state == State::Lost || now < m_retryAt)
        return {};
    if (m_needsRead)
        return m_ordersPending || m_state == State::Unknown || m_state == State::Waiting
                       ? read(now)
                       : Actions();
    const Duration lease = m_ordersPending ? m_settings.lease : Duration(0);
    if (m_state == State::Waiting) {
        if (now < m_waitUntil)
            return {};
        return write(now, lease, {m_previous.fencing.value + 1});
    }
    if (m_state == State::Idle && m_ordersPending)
        return write(now, lease, m_record.fencing);
    if (m_state == State::Held && m_ordersPending
        && (m_paused || now >= m_leaseStart + m_settings.lease / 3))
        return write(now, lease, m_record.fencing);
    if (m_state == State::Held && !m_ordersPending && now >= m_idleSince + m_settings.releaseDelay)
        return write(now, Duration(0), m_record.fencing);
    return {};
}

std::vector<LeaseAction> AuthorLease::onTimer(TimePoint now)
{
    if (!isTimerOnTime(now)) {
        m_paused = true;
        m_outage = false;
    }
    m_lastTimer = now;
    if (m_callDeadline && now >= *m_callDeadline)
        return onCallFailed(now, true);
    return nextCall(now);
}

bool AuthorLease::isTimerOnTime(TimePoint now) const
{
    return now - m_lastTimer <= m_settings.tick + m_settings.pauseLimit;
}

bool AuthorLease::isLeaseValid(TimePoint now) const
{
    return m_state == State::Held && now < m_leaseStart + m_record.lease - m_record.lease / 4;
}

bool AuthorLease::canSendOrder(TimePoint now, bool checksFencing, OutageOrders outage) const
{
    // Without m_ordersPending the lease may be released while the order is still on its way.
    if (!m_ordersPending || m_record.fencing == FencingNumber{} || m_state == State::Lost
        || !isTimerOnTime(now))
        return false;
    if (isLeaseValid(now) && !m_paused)
        return true;
    if (!m_outage)
        return false;
    return checksFencing || (outage == OutageOrders::Continue && !m_paused);
}

} // namespace godwit
