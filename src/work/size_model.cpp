#include "work/size_model.h"

#include <algorithm>
#include <cmath>

namespace fulmar::work {

namespace {

constexpr std::uint32_t minTrustedSamples = 6;
constexpr double minSampleWeight = 0.1;
constexpr double processorMarginStdDevs = 0.5;
constexpr double memoryMargin = 1.05;
constexpr double memoryDecayPerSample = 0.001;
constexpr double minProcessors = 0.05;
constexpr double minMemoryMb = 16;

} // namespace

void observe(JobUsage& usage, const Resources& used)
{
    ++usage.samples;
    auto weight = std::max(minSampleWeight, 1.0 / usage.samples);
    auto difference = used.processors - usage.meanProcessors;
    usage.meanProcessors += weight * difference;
    usage.varianceProcessors = (1 - weight) * (usage.varianceProcessors + weight * difference * difference);
    usage.peakMemoryMb = std::max(used.memoryMb, usage.peakMemoryMb * (1 - memoryDecayPerSample));
}

// Processor use of the tasks on a worker varies independently and evens out, so a small margin per task
// suffices. A memory shortage ends a task, so memory follows the peak.
Resources estimateSize(const JobUsage& usage, const Resources& declared)
{
    if (usage.samples == 0)
        return declared;
    auto processors = usage.meanProcessors + processorMarginStdDevs * std::sqrt(usage.varianceProcessors);
    Resources learned { std::max(processors, minProcessors),
        std::max(usage.peakMemoryMb * memoryMargin, minMemoryMb), declared.accelerators };
    if (usage.samples >= minTrustedSamples)
        return learned;
    return { std::max(learned.processors, declared.processors), std::max(learned.memoryMb, declared.memoryMb),
        declared.accelerators };
}

Resources estimateRunning(const JobUsage& usage, const Resources& declared, const Resources& used)
{
    auto need = estimateSize(usage, declared);
    need.memoryMb = std::max(need.memoryMb, used.memoryMb * memoryMargin);
    need.processors = std::max(need.processors, used.processors);
    return need;
}

} // namespace fulmar::work
