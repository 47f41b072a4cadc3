#include "work/size_model.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

namespace {

constexpr std::uint32_t samplesToTrust = 6;
constexpr double newestWeight = 0.1;
constexpr double processorDeviations = 0.5;
constexpr double processorMargin = 1.0;
constexpr double memoryMargin = 1.05;
constexpr double memoryDecay = 0.001;
constexpr double leastProcessors = 0.05;
constexpr double leastMemoryMb = 16;

} // namespace

void SizeModel::observe(const JobId& job, const Resources& used)
{
    auto& usage = m_jobs[job];
    ++usage.samples;
    auto weight = std::max(newestWeight, 1.0 / usage.samples);
    auto difference = used.processors - usage.meanProcessors;
    usage.meanProcessors += weight * difference;
    usage.varianceProcessors = (1 - weight) * (usage.varianceProcessors + weight * difference * difference);
    usage.peakMemoryMb = std::max(used.memoryMb, usage.peakMemoryMb * (1 - memoryDecay));
}

Resources SizeModel::estimate(const TaskSpec& spec) const
{
    auto position = m_jobs.find(spec.job);
    if (position == m_jobs.end())
        return spec.size;
    const auto& usage = position->second;
    auto processors = (usage.meanProcessors + processorDeviations * std::sqrt(usage.varianceProcessors))
        * processorMargin;
    Resources learned { std::max(processors, leastProcessors),
        std::max(usage.peakMemoryMb * memoryMargin, leastMemoryMb), spec.size.accelerators };
    if (usage.samples >= samplesToTrust)
        return learned;
    return { std::max(learned.processors, spec.size.processors),
        std::max(learned.memoryMb, spec.size.memoryMb), spec.size.accelerators };
}

Resources SizeModel::estimateRunning(const TaskSpec& spec, const Resources& used) const
{
    auto need = estimate(spec);
    need.memoryMb = std::max(need.memoryMb, used.memoryMb * memoryMargin);
    need.processors = std::max(need.processors, used.processors);
    return need;
}

} // namespace fulmar
