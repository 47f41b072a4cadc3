#pragma once

#include "work/resources.h"
#include "work/task.h"

#include <unordered_map>

namespace fulmar::work {

// Learns what a job's tasks really use from lagging reports, because declared sizes are far off.
class SizeModel {
public:
    // Takes one report of a task that has run long enough to be typical.
    void observe(const JobId&, const Resources& used);

    // What to hold for a task of this job: the declared size until enough was seen, then the learned size
    // with a margin.
    [[nodiscard]] Resources estimate(const TaskSpec&) const;

    // What to hold for a running task: at least its own usage with a margin.
    [[nodiscard]] Resources estimateRunning(const TaskSpec&, const Resources& used) const;

private:
    struct Usage {
        std::uint32_t samples { 0 };
        double meanProcessors { 0 };
        double varianceProcessors { 0 };
        // Highest memory seen, forgotten slowly.
        double peakMemoryMb { 0 };
    };

    std::unordered_map<JobId, Usage> m_jobs;
};

} // namespace fulmar::work
