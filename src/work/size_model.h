#pragma once

#include "work/resources.h"
#include "work/task.h"

#include <unordered_map>

namespace fulmar::work {

// What a job's tasks have been seen to use.
struct JobUsage {
    std::uint32_t samples { 0 };
    double meanProcessors { 0 };
    double varianceProcessors { 0 };
    // Highest memory seen, forgotten slowly.
    double peakMemoryMb { 0 };
};

// Takes one report of a task that has run long enough to be typical.
void observe(JobUsage&, const Resources& used);

// What to hold for a task of the job: the declared size until enough was seen, then the learned size with a
// margin.
[[nodiscard]] Resources estimateSize(const JobUsage&, const Resources& declared);

// What to hold for a running task: at least its own usage with a margin.
[[nodiscard]] Resources estimateRunning(const JobUsage&, const Resources& declared, const Resources& used);

// Learns what each job's tasks really use from lagging reports, because declared sizes are far off.
class SizeModel {
public:
    // The job's usage; stays where it is.
    [[nodiscard]] JobUsage& of(const JobId& job) { return m_jobs[job]; }

private:
    std::unordered_map<JobId, JobUsage> m_jobs;
};

} // namespace fulmar::work
