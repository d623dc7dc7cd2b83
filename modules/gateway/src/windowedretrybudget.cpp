#include <godwit/gateway/windowedretrybudget.h>

#include <algorithm>

namespace godwit {

namespace {

/// Slices per window. Counts are kept for one slice more than the window of the bound, so that
/// every position of that window is covered.
constexpr std::int64_t SlicesPerWindow = 50;
/// The bound is measured where attempts arrive, a little later than they are sent.
constexpr double SafetyFactor = 0.9;

} // namespace

WindowedRetryBudget::WindowedRetryBudget(const RetryBudgetLimits &limits)
    : m_limits(limits)
{}

WindowedRetryBudget::Slice &WindowedRetryBudget::currentSlice(Service &service, TimePoint now) const
{
    const Duration length = std::max(Duration(1), m_limits.window / SlicesPerWindow);
    const std::int64_t number = now.time_since_epoch() / length;
    while (!service.slices.empty() && service.slices.front().number < number - SlicesPerWindow) {
        service.requests -= service.slices.front().requests;
        service.retries -= service.slices.front().retries;
        service.slices.pop_front();
    }
    if (service.slices.empty() || service.slices.back().number < number)
        service.slices.push_back({number, 0, 0});
    return service.slices.back();
}

void WindowedRetryBudget::recordRequest(const std::string &service, TimePoint now)
{
    Service &counts = m_services[service];
    ++currentSlice(counts, now).requests;
    ++counts.requests;
}

bool WindowedRetryBudget::tryAcquire(const std::string &service, TimePoint now)
{
    Service &counts = m_services[service];
    Slice &slice = currentSlice(counts, now);
    const double limit = SafetyFactor
                         * (m_limits.ratio * counts.requests
                            + m_limits.slack / static_cast<double>(m_limits.entryProcesses));
    if (counts.retries + 1 > limit)
        return false;
    ++slice.retries;
    ++counts.retries;
    return true;
}

} // namespace godwit
