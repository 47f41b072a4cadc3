#pragma once

#include <algorithm>

namespace fulmar::serve {

// Limits retries to a share of first attempts, so that retries cannot multiply the load when targets fail.
class RetryBudget {
public:
    // `share`: retries allowed per new call.
    void onFreshCall(double share) { m_tokens = std::min(maxTokens, m_tokens + share); }

    // Consumes one retry from the budget; false if none is left.
    [[nodiscard]] bool tryTake()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    // Also the number of retries available before a service has had many calls.
    static constexpr double maxTokens = 10;

    double m_tokens { maxTokens };
};

} // namespace fulmar::serve
