#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace fulmar::work {

// Tells a worker that fails everything from a job that can never run. A failure speaks against the worker
// if the same job succeeds elsewhere, and against the job if other jobs succeed on the same worker:
// afterwards, or shortly before while something has succeeded since. So a job's fault is not charged to
// workers, nor a worker's to jobs, and an outage under which everything fails is charged to neither.
class FaultEvidence {
public:
    void onSuccess(const JobId&, const VmId&, TimePoint now);
    // `task` counts how many of the job's tasks have failed.
    void onFailure(const TaskId& task, const JobId&, const VmId&, TimePoint now);

    // Distinct jobs whose latest failure on the worker speaks against the worker. A success there clears it.
    [[nodiscard]] std::size_t against(const VmId&) const;
    // Distinct jobs that have failed on the worker since its last success, without those at fault themselves.
    [[nodiscard]] std::size_t unresolvedJobs(const VmId&) const;
    // True if any task has succeeded on the worker.
    [[nodiscard]] bool hasSucceeded(const VmId&) const;

    // Distinct workers on which the job's latest failure speaks against the job. A success clears it.
    [[nodiscard]] std::size_t against(const JobId&) const;
    // Distinct tasks of the job that have failed since its last success.
    [[nodiscard]] std::size_t failedTasks(const JobId&) const;

    // True if a failure of the job on the worker at that time speaks against the job.
    [[nodiscard]] bool implicatesJob(const JobId&, const VmId&, TimePoint failedAt) const;

    // Forgets what is older than `before`.
    void forget(TimePoint before);

private:
    // Newest success by one job or on one worker, and the newest by or on any other.
    template <typename Key> struct Successes {
        std::optional<std::pair<Key, TimePoint>> newest;
        std::optional<std::pair<Key, TimePoint>> other;

        void add(const Key& key, TimePoint now)
        {
            if (newest && newest->first != key)
                other = newest;
            newest = { key, now };
        }

        // The newest success that does not belong to `key`.
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
