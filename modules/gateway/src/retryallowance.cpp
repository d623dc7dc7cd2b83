#include <godwit/gateway/retryallowance.h>

#include <algorithm>

namespace godwit {

namespace {

/// Part of the bound that the buckets hold, and that flows in during one window.
constexpr double HalfOfBound = 0.5;
/// Attempts that the share may save up, in windows of requests.
constexpr double LargestShare = 1e4;

} // namespace

RetryAllowance::RetryAllowance(const RetryBound &bound)
    : m_bound(bound)
{}

void RetryAllowance::setProcesses(std::size_t n)
{
    m_processes = std::max<std::size_t>(1, n);
}

double RetryAllowance::slackLimit() const
{
    return HalfOfBound * m_bound.slack / static_cast<double>(m_processes);
}

RetryAllowance::Bucket &RetryAllowance::refilled(const std::string &service, TimePoint now)
{
    Bucket &bucket = m_buckets[service];
    if (!bucket.used) {
        bucket.used = true;
        bucket.slack = slackLimit();
    } else if (m_bound.window > Duration::zero()) {
        const double windows = toSeconds(now - bucket.refilledAt) / toSeconds(m_bound.window);
        bucket.slack = std::min(slackLimit(), bucket.slack + windows * slackLimit());
        // Requests of earlier windows do not count for the present one.
        bucket.shared = std::clamp(bucket.shared * (1 - windows), 0.0, LargestShare);
    }
    bucket.refilledAt = now;
    return bucket;
}

void RetryAllowance::request(const std::string &service, TimePoint now)
{
    refilled(service, now).shared += HalfOfBound * m_bound.share;
}

bool RetryAllowance::take(const std::string &service, TimePoint now)
{
    Bucket &bucket = refilled(service, now);
    double &source = bucket.shared >= 1 ? bucket.shared : bucket.slack;
    if (source < 1)
        return false;
    source -= 1;
    return true;
}

} // namespace godwit
