#pragma once

#include <algorithm>

namespace fulmar::serve {

// Allows retries as a share of fresh calls, so that retries cannot multiply the load when targets fail.
class RetryBudget {
public:
    // `share`: retries allowed per fresh call.
    void onFreshCall(double share) { m_tokens = std::min(maxTokens, m_tokens + share); }

    // Whether a retry is allowed; it then counts.
    [[nodiscard]] bool tryTake()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    // Also what a service may retry before it has had many calls.
    static constexpr double maxTokens = 10;

    double m_tokens { maxTokens };
};

} // namespace fulmar::serve
