#pragma once

#include <algorithm>

namespace godwit {

/// Token bucket that limits retries and hedged attempts to a fraction of the requests, so that
/// retries do not amplify an overload.
class RetryBudget
{
public:
    static constexpr double RetryRatio = 0.1;
    /// Burst size: retries that may be made at once after a period without retries.
    static constexpr double MaxTokens = 10.0;

    /// Records an admitted request of a caller, which earns a fraction of a retry.
    void recordRequest() { m_tokens = std::min(m_tokens + RetryRatio, MaxTokens); }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    bool tryAcquire()
    {
        // 0.1 has no exact binary representation; the tolerance makes ten requests earn one retry.
        if (m_tokens < 1.0 - 1e-9)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_tokens = 0.0;
};

} // namespace godwit
