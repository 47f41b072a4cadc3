#include "jobs/adaptive_timeout.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// Weights of the newest sample and factor of the spread: RFC 6298, section 2.
constexpr double usualWeight = 0.125;
constexpr double spreadWeight = 0.25;
constexpr double spreadFactor = 4;
// A process whose share of a core is used up is suspended for up to a tenth of a second.
constexpr AnswerPatience::Millis shortest { 100 };
// A runner that is well answers a second order by then, however slow the way is.
constexpr AnswerPatience::Millis longest { 1'500 };
// Before the first answer.
constexpr AnswerPatience::Millis initial { 500 };
// Keeps the shift below defined.
constexpr std::uint32_t maxDoublings = 8;

} // namespace

void AnswerPatience::observe(Duration took)
{
    auto sample = std::chrono::duration<double, std::milli>(took);
    if (!m_hasSample) {
        m_hasSample = true;
        m_usual = sample;
        m_spread = sample / 2;
        return;
    }
    auto off = std::chrono::duration<double, std::milli>(std::abs((sample - m_usual).count()));
    m_spread += (off - m_spread) * spreadWeight;
    m_usual += (sample - m_usual) * usualWeight;
}

AnswerPatience::Millis AnswerPatience::timeout(std::uint32_t earlierTries) const
{
    auto base = m_hasSample ? std::chrono::ceil<Millis>(m_usual + m_spread * spreadFactor) : initial;
    base = std::clamp(base, shortest, longest);
    return std::min(base * (1U << std::min(earlierTries, maxDoublings)), longest);
}

} // namespace fulmar::jobs
