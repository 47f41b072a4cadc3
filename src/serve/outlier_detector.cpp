#include "serve/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace fulmar::serve {

namespace {

constexpr double minCalls = 5;
constexpr double outlierFailureShare = 0.5;
constexpr double outlierRelativeRunTime = 4;
constexpr double runTimeWeight = 0.1;
// Limits the weight of a single extremely slow call.
constexpr double maxRelativeRunTime = 20;
constexpr Duration halfLife = std::chrono::seconds(5);
constexpr Duration firstEjection = std::chrono::seconds(5);
constexpr std::uint32_t maxDoublings = 4;
constexpr std::uint32_t probationCalls = 3;
constexpr double maxEjectedShare = 0.3;
constexpr double minHealthyShare = 0.5;

} // namespace

void OutlierDetector::onSuccess(double relativeRunTime, TimePoint now)
{
    decay(now);
    ++m_successes;
    m_meanRelativeRunTime
        += runTimeWeight * (std::min(relativeRunTime, maxRelativeRunTime) - m_meanRelativeRunTime);
    if (m_probationCallsLeft > 0 && relativeRunTime < outlierRelativeRunTime && --m_probationCallsLeft == 0) {
        m_failures = 0;
        m_meanRelativeRunTime = 1;
    }
}

void OutlierDetector::onFailure(TimePoint now)
{
    decay(now);
    ++m_failures;
}

bool OutlierDetector::isOutlier() const
{
    auto calls = m_failures + m_successes;
    // On probation a single failure is enough.
    if (m_probationCallsLeft > 0 && m_failures >= 1)
        return true;
    if (calls < minCalls)
        return false;
    return m_failures > outlierFailureShare * calls || m_meanRelativeRunTime > outlierRelativeRunTime;
}

void OutlierDetector::eject(TimePoint now)
{
    auto length = firstEjection * (1 << std::min(m_ejections, maxDoublings));
    m_ejectedUntil = now + length;
    ++m_ejections;
    m_probationCallsLeft = probationCalls;
    m_failures = 0;
    m_successes = 0;
}

void OutlierDetector::decay(TimePoint now)
{
    auto elapsed = std::chrono::duration<double>(now - m_decayedAt) / std::chrono::duration<double>(halfLife);
    auto factor = std::exp2(-elapsed);
    m_failures *= factor;
    m_successes *= factor;
    m_decayedAt = now;
    if (m_probationCallsLeft == 0 && now > m_ejectedUntil + firstEjection * (1 << maxDoublings))
        m_ejections = 0;
}

std::uint32_t ejectionCap(std::uint32_t serving)
{
    if (serving < 2)
        return 0;
    return std::max(1U, std::uint32_t(maxEjectedShare * serving));
}

bool isPanic(std::uint32_t healthy, std::uint32_t all) { return healthy < minHealthyShare * all; }

} // namespace fulmar::serve
