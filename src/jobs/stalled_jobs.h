#pragma once

#include "jobs/job_table.h"
#include "jobs/runner.h"

#include <string_view>

namespace fulmar::jobs {

// A job counts as stalled once a task of it could have run for this long and nothing of it did.
inline constexpr Millis stallTime { 1'000 };

// What a stalled task waits for.
enum class StallReason : std::uint8_t {
    // This process is not sure that it holds the shard.
    LeaseUnsure,
    // An earlier holder may have started it on a runner that has not answered since.
    EarlierRuns,
    // After a failed or refused run.
    Pause,
    // Another member of its gang still has a run.
    Gang,
    // A runner on which it can be isolated; see crash_evidence.h.
    Isolation,
    // A usable runner that has room for it.
    Runner,
    // It is placed, and its run has not been confirmed, or its stop has not.
    Starting,
    Unconfirmed,
    Stopping,
    // It is placed, and its runner does not have the run.
    RunUnknown,
};

[[nodiscard]] std::string_view toString(StallReason);

// The jobs of a shard that are stalled, as of the last check.
struct StalledJobs {
    std::size_t count { 0 };
    // The one that has been stalled for the longest time.
    struct Oldest {
        TaskName task;
        StallReason reason { StallReason::Runner };
        Millis stalledFor { 0 };
    };
    std::optional<Oldest> oldest;
};

// The first task of the job that could run and does not; the tasks of a long-running step count each, others
// only while no task of the job runs. Tasks that only their team's quota holds back could not run.
[[nodiscard]] std::optional<TaskName> findStalledTask(
    const JobEntry&, const std::map<RunnerId, Runner>&, WallTime);

// What a waiting or placed task waits for. `areEarlierRunsResolved`: of the job's pool.
[[nodiscard]] StallReason stallReasonOf(const JobEntry&, const TaskName&, const std::map<RunnerId, Runner>&,
    bool mayStart, bool areEarlierRunsResolved, TimePoint now);

// The runners of the pool by what keeps the task from them, such as "free:2,full:3,reserved:7".
[[nodiscard]] std::string describeRunners(
    const JobEntry&, const TaskName&, const std::map<RunnerId, Runner>&, TimePoint now);

} // namespace fulmar::jobs
