#pragma once

#include <algorithm>

namespace godwit {

/// Limits retries and hedges to a share of the requests, so that an overload is not multiplied by
/// its own retries.
class RetryBudget
{
public:
    static constexpr double RetryRatio = 0.1;
    /// Retries that may be made at once after a quiet time.
    static constexpr double MaxTokens = 10.0;

    /// A caller's request was admitted.
    void recordRequest() { m_tokens = std::min(m_tokens + RetryRatio, MaxTokens); }

    /// Takes one retry from the budget, or returns false if it is spent.
    bool tryAcquire()
    {
        // Tenths are not exact in binary; ten requests must buy one retry.
        if (m_tokens < 1.0 - 1e-9)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_tokens = 0.0;
};

} // namespace godwit
