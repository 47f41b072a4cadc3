#include "jobs/adaptive_timeout.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// RFC 6298, section 2.
constexpr double meanWeight = 0.125;
constexpr double deviationWeight = 0.25;
constexpr double deviationFactor = 4;
// A process that has used up its CPU quota is suspended for up to 100 ms.
constexpr AdaptiveTimeout::Millis minTimeout { 100 };
// A healthy runner that left an order unanswered answers the resend within this time, even over a slow link.
constexpr AdaptiveTimeout::Millis maxTimeout { 1'500 };
// Before the first answer.
constexpr AdaptiveTimeout::Millis initialTimeout { 500 };
// Keeps the shift below defined.
constexpr std::uint32_t maxDoublings = 8;

} // namespace

void AdaptiveTimeout::observe(Duration took)
{
    auto sample = std::chrono::duration<double, std::milli>(took);
    if (!m_hasSample) {
        m_hasSample = true;
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    auto error = std::chrono::duration<double, std::milli>(std::abs((sample - m_mean).count()));
    m_deviation += (error - m_deviation) * deviationWeight;
    m_mean += (sample - m_mean) * meanWeight;
}

AdaptiveTimeout::Millis AdaptiveTimeout::timeout(std::uint32_t unanswered) const
{
    auto base
        = m_hasSample ? std::chrono::ceil<Millis>(m_mean + m_deviation * deviationFactor) : initialTimeout;
    base = std::clamp(base, minTimeout, maxTimeout);
    return std::min(base * (1U << std::min(unanswered, maxDoublings)), maxTimeout);
}

} // namespace fulmar::jobs
