#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace fulmar::work {

// Distinguishes a worker on which every job fails from a job that fails on every worker. A failure implicates
// the worker if the same job succeeds on another worker, and the job if another job succeeds on the same
// worker. The success must be later than the failure, or at most recentWindow earlier if some task, of any
// job on any worker, has succeeded after the failure. An outage in which all tasks fail thus implicates
// neither.
class FaultEvidence {
public:
    void onSuccess(const JobId&, const VmId&, TimePoint now);
    // `task` is kept to count the distinct failed tasks of the job.
    void onFailure(const TaskId& task, const JobId&, const VmId&, TimePoint now);

    // Distinct jobs whose latest failure on the worker implicates the worker. A success there clears them.
    [[nodiscard]] std::size_t countJobsImplicatingWorker(const VmId&) const;
    // Distinct jobs that failed on the worker since its last success, without those that are implicated
    // themselves.
    [[nodiscard]] std::size_t unresolvedJobs(const VmId&) const;
    // True if a task is known to have succeeded on the worker.
    [[nodiscard]] bool hasSucceeded(const VmId&) const;

    // Distinct workers on which the job's latest failure implicates the job. A success of the job clears
    // them.
    [[nodiscard]] std::size_t countWorkersImplicatingJob(const JobId&) const;
    // Distinct tasks of the job that failed since its last success, up to maxKeptFailures.
    [[nodiscard]] std::size_t failedTasks(const JobId&) const;

    // True if a failure of the job on the worker at that time implicates the job.
    [[nodiscard]] bool implicatesJob(const JobId&, const VmId&, TimePoint failedAt) const;

    // Drops the histories of workers and jobs without events since `before`.
    void forget(TimePoint before);

private:
    // The newest success, and the newest under a different key (job or worker).
    template <typename Key> struct Successes {
        std::optional<std::pair<Key, TimePoint>> newest;
        std::optional<std::pair<Key, TimePoint>> other;

        void add(const Key& key, TimePoint now)
        {
            if (newest && newest->first != key)
                other = newest;
            newest = { key, now };
        }

        // Time of the newest success under a key other than `key`.
        [[nodiscard]] std::optional<TimePoint> newestExcept(const Key& key) const
        {
            if (newest && newest->first != key)
                return newest->second;
            if (other)
                return other->second;
            return std::nullopt;
        }
    };

    struct WorkerHistory {
        std::map<JobId, TimePoint> failures;
        Successes<JobId> successes;
        TimePoint updatedAt {};
    };

    struct JobHistory {
        std::map<VmId, TimePoint> failures;
        std::set<TaskId> tasks;
        Successes<VmId> successes;
        TimePoint updatedAt {};
    };

    [[nodiscard]] bool implicatesWorker(const VmId&, const JobId&, TimePoint failedAt) const;

    [[nodiscard]] bool isConclusive(TimePoint success, TimePoint failedAt) const;

    std::unordered_map<VmId, WorkerHistory> m_workers;
    std::unordered_map<JobId, JobHistory> m_jobs;
    TimePoint m_lastSuccess {};
};

} // namespace fulmar::work
