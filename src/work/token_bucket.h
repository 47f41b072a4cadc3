#pragma once

#include "core/clock.h"

#include <algorithm>

namespace fulmar::work {

// Rate limiter that allows `perSecond` actions on average and bursts of up to `burst`.
class TokenBucket {
public:
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    [[nodiscard]] bool tryTake(TimePoint now)
    {
        auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_burst, m_tokens + std::max(0.0, elapsed) * m_perSecond);
        m_refilledAt = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_refilledAt {};
};

} // namespace fulmar::work
