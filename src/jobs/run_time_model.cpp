#include "jobs/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// A run's weight falls to 1/e after this many later runs.
constexpr double runsRemembered = 500;
// The prior, that estimates are right, has the weight of this many runs whose estimates vary by a factor
// of 1.6 (the variance is that of their logarithms).
constexpr double priorRuns = 4;
constexpr double priorVariance = 0.25;
// Callers choose the images' names.
constexpr std::size_t maxImages = 2'000;

double logMillis(Millis time) { return std::log(double(std::max<std::int64_t>(1, time.count()))); }

} // namespace

void RunTimeModel::recordRun(const std::string& queue, const Step& step, Millis runTime)
{
    std::pair key { queue, step.image };
    if (m_sums.size() >= maxImages && !m_sums.contains(key))
        removeLeastUsed();
    auto& sums = m_sums[key];
    auto x = logMillis(step.estimate);
    auto y = logMillis(runTime);
    for (auto* sum : { &sums.weight, &sums.x, &sums.y, &sums.xx, &sums.xy, &sums.yy })
        *sum *= 1 - 1 / runsRemembered;
    sums.weight += 1;
    sums.x += x;
    sums.y += y;
    sums.xx += x * x;
    sums.xy += x * y;
    sums.yy += y * y;
}

void RunTimeModel::removeLeastUsed()
{
    m_sums.erase(std::min_element(m_sums.begin(), m_sums.end(),
        [](const auto& a, const auto& b) { return a.second.weight < b.second.weight; }));
}

void RunTimeModel::predict(Job& job) const
{
    for (auto& step : job.steps)
        if (auto sums = m_sums.find({ job.queue, step.image }); sums != m_sums.end() && !step.isLongRunning)
            step.predictedRunTime = predict(sums->second, step.estimate);
}

Millis RunTimeModel::predict(const Sums& sums, Millis estimate)
{
    auto meanX = sums.x / sums.weight;
    auto meanY = sums.y / sums.weight;
    auto priorSum = priorRuns * priorVariance;
    auto sumXX = std::max(0.0, sums.xx - sums.x * meanX);
    auto sumXY = sums.xy - sums.x * meanY;
    auto sumYY = std::max(0.0, sums.yy - sums.y * meanY);
    // Without a prior, the first few runs would give an arbitrary slope and offset.
    auto slope = std::clamp((sumXY + priorSum) / (sumXX + priorSum), 0.0, 1.0);
    auto offset = (meanY - meanX) * sums.weight / (sums.weight + priorRuns);
    auto residual
        = std::max(0.0, sumYY - 2 * slope * sumXY + slope * slope * sumXX) / (sums.weight + priorRuns);
    // The mean of a log-normal variable exceeds its median.
    auto logRunTime = meanX + offset + slope * (logMillis(estimate) - meanX) + residual / 2;
    return std::max(Millis(1), Millis(std::llround(std::exp(logRunTime))));
}

} // namespace fulmar::jobs
