#include <godwit/routing/loadestimate.h>

#include <algorithm>

namespace godwit {

void LoadEstimate::setSenderCount(std::size_t senders)
{
    m_senderCount = static_cast<double>(std::max<std::size_t>(1, senders));
}

void LoadEstimate::applyReport(const LoadReport &report)
{
    if (m_reported && report.takenAt < m_report.takenAt)
        return;
    m_report = report;
    m_report.slots = std::max(1U, report.slots);
    m_reported = true;
    m_queuedTokens = static_cast<double>(report.queuedTokens);
    m_queuedTokensAt = report.takenAt;
    m_netRequests = 0;
    while (!m_requestChanges.empty() && m_requestChanges.front().at <= report.takenAt)
        m_requestChanges.pop_front();
    for (const RequestChange &change : m_requestChanges)
        applyRequestChange(change);
}

void LoadEstimate::recordSent(double tokens, TimePoint now)
{
    ++m_ownRequests;
    addRequestChange({now, tokens, 1});
}

void LoadEstimate::recordFinished(TimePoint now)
{
    if (m_ownRequests == 0)
        return;
    --m_ownRequests;
    addRequestChange({now, 0, -1});
}

double LoadEstimate::confidence(TimePoint now) const
{
    if (!m_reported)
        return 0;
    const double age = toSeconds(now - m_report.takenAt - MaxFreshAge);
    return std::clamp(1 - age / toSeconds(StaleAge - MaxFreshAge), 0.0, 1.0);
}

double LoadEstimate::queuedTokens(TimePoint now) const
{
    const double elapsed = std::max(0.0, toSeconds(now - m_queuedTokensAt));
    return std::max(0.0, m_queuedTokens - elapsed * prefillRate());
}

double LoadEstimate::requests() const
{
    const double reported =
            static_cast<double>(m_report.running) + m_report.waiting + m_netRequests;
    return std::max(static_cast<double>(m_ownRequests), reported);
}

Duration LoadEstimate::queueingTime(TimePoint now) const
{
    return estimateWait(requests(), now);
}

Duration LoadEstimate::admissionWait(TimePoint now) const
{
    return estimateWait(requests() + m_netRequests * (m_senderCount - 1), now);
}

Duration LoadEstimate::estimateWait(double requests, TimePoint now) const
{
    const double prefillWait = queuedTokens(now) / prefillRate();
    const double excessRequests = std::max(0.0, requests + 1 - m_report.slots);
    const double slotWait = excessRequests * toSeconds(m_report.meanHoldTime) / m_report.slots;
    // Prompts are processed while other requests wait for slots, so the two waits overlap.
    return fromSeconds(std::max(prefillWait, slotWait));
}

double LoadEstimate::prefillRate() const
{
    return m_report.prefillTokensPerSecond > 0 ? m_report.prefillTokensPerSecond
                                               : DefaultPrefillRate;
}

void LoadEstimate::addRequestChange(const RequestChange &change)
{
    applyRequestChange(change);
    m_requestChanges.push_back(change);
    if (m_requestChanges.size() > MaxRequestChanges)
        m_requestChanges.pop_front();
}

void LoadEstimate::applyRequestChange(const RequestChange &change)
{
    m_queuedTokens = queuedTokens(change.at) + change.tokens;
    m_queuedTokensAt = std::max(m_queuedTokensAt, change.at);
    m_netRequests += change.requestDelta;
}

} // namespace godwit
