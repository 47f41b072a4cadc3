#pragma once

#include "work/resources.h"
#include "work/task.h"

#include <unordered_map>

namespace fulmar::work {

// Observed resource usage of a job's tasks.
struct JobUsage {
    std::uint32_t samples { 0 };
    double meanProcessors { 0 };
    double varianceProcessors { 0 };
    // Peak memory, with slow decay.
    double peakMemoryMb { 0 };
};

// Adds one usage report. The task must be past its warm-up, so that its usage is typical.
void observe(JobUsage&, const Resources& used);

// Resources to reserve for a task of the job: the learned size with a margin. Until there are enough samples,
// at least the declared size.
[[nodiscard]] Resources estimateSize(const JobUsage&, const Resources& declared);

// Resources to reserve for a running task: at least its own usage, with a margin for memory.
[[nodiscard]] Resources estimateRunning(const JobUsage&, const Resources& declared, const Resources& used);

// Learns the actual usage of each job's tasks from reports, because declared sizes are far off.
class SizeModel {
public:
    // The job's usage. The reference stays valid.
    [[nodiscard]] JobUsage& usageOf(const JobId& job) { return m_jobs[job]; }

private:
    std::unordered_map<JobId, JobUsage> m_jobs;
};

} // namespace fulmar::work
