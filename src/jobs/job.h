#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::jobs {

using Millis = std::chrono::milliseconds;

// A set of identical tasks of a job.
struct Step {
    std::uint32_t count { 0 };
    Resources perTask;
    // The submitter's rough estimate of a task's run time.
    Millis estimate { 0 };
    // Run time predicted from earlier runs; see RunTimeModel. Not stored.
    std::optional<Millis> predictedRunTime;
    // Earlier steps that must be complete first.
    std::vector<std::uint32_t> after;
    bool hasCheckpoints { false };
    // The tasks make progress only while all of them run.
    bool isGang { false };
    bool wantsOneRack { false };
    // Label that the runner must carry; empty for any runner.
    std::string requiredLabel;
    // Rack that holds the step's data; empty if irrelevant.
    std::string dataRack;
    // Most tasks of the step on one runner; 0 for no limit.
    std::uint32_t maxPerRunner { 0 };
    // Copies of one task may run at the same time.
    bool allowsCopies { false };
    // Runs until the job is cancelled.
    bool isLongRunning { false };
    // Tasks of the same image behave alike.
    std::string image;
    // Bound on the tail latency of the service that the tasks provide; 0 if they provide none.
    Millis tailLatencyTarget { 0 };
    // Uses only processor time left over by other tasks; its cpu is not reserved.
    bool isBestEffort { false };
    // Disruption budget: a task is evacuated only if at most this many tasks of the step, at least 1, are
    // then unavailable for whatever reason.
    std::uint32_t maxUnavailable { 0 };

    [[nodiscard]] Resources reserved() const
    {
        auto resources = perTask;
        if (isBestEffort)
            resources.cpu = 0;
        return resources;
    }
    [[nodiscard]] Millis expectedRunTime() const { return predictedRunTime.value_or(estimate); }
};

// Scheduling settings of a queue. A job keeps the settings that applied when it was accepted.
struct QueuePolicy {
    PoolId pool;
    // 0 is the most urgent.
    std::int32_t priority { 0 };
    // Failed runs of one task after which the job fails.
    std::uint32_t maxFailures { 1 };
    // Latency objective: `stretch` times the job's critical path plus `latencyAllowance`.
    double stretch { 1 };
    Millis latencyAllowance { 0 };

    bool operator==(const QueuePolicy&) const = default;
};

struct Job {
    // 16 hexadecimal digits, chosen by the submitter.
    JobId id;
    std::string queue;
    // Whose key submitted it; empty for a public queue, in a configuration without teams, and in rows of the
    // release before teams.
    TeamId team;
    // The team had submitted more than its share when the job was accepted.
    bool isBeyondShare { false };
    QueuePolicy policy;
    // Passed to the runners unchanged.
    std::string spec;
    std::vector<Step> steps;
    // Number of times that the steps run; 0 or 1 for a job without a schedule.
    std::uint32_t occurrences { 1 };
    // Start of the first occurrence, since 1970; 0 to start at once.
    Millis firstStart { 0 };
    Millis interval { 0 };

    [[nodiscard]] bool isScheduled() const { return firstStart.count() > 0; }
    [[nodiscard]] bool isLongRunning() const;
    // In core-milliseconds, without long-running steps.
    [[nodiscard]] double expectedWork() const;
    // Longest chain of dependent steps, by expected run time.
    [[nodiscard]] Millis expectedCriticalPath() const;
    // Latency objective, by expected run times.
    [[nodiscard]] Millis objective() const;
};

// One task of one occurrence of a job.
struct TaskName {
    JobId job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };

    auto operator<=>(const TaskName&) const = default;
};

enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

[[nodiscard]] std::string_view toString(JobState);

// A crash of a runner under a task.
struct CrashRecord {
    std::uint64_t attempt { 0 };
    // The run had just begun; see crash_evidence.h.
    bool wasSuspect { false };
};

// The part of a job's progress that is stored.
struct JobProgress {
    JobState state { JobState::Queued };
    // The occurrences before this one have ended; `steps` has none of them.
    std::uint32_t endedOccurrences { 0 };
    // A row without room for attempts has only their number by task: each is then 0 in `failures` and
    // `crashes`, and was at most this one.
    std::uint64_t countedUpTo { 0 };
    // Done tasks and failed runs of one step of one occurrence.
    struct StepProgress {
        std::uint32_t occurrence { 0 };
        std::uint32_t step { 0 };
        std::vector<bool> done;
        // Failed attempts by task, so that a failure reported again to the next holder of the shard is
        // counted once.
        std::vector<std::vector<std::uint64_t>> failures;
        // Crashes of runners by task; they must outlast a change of the holder.
        std::vector<std::vector<CrashRecord>> crashes;
    };
    std::vector<StepProgress> steps;
};

// Encoding of jobs for storage and for messages between processes.
[[nodiscard]] std::string encodeJob(const Job&);
// Empty if the text is not a complete job.
[[nodiscard]] std::optional<Job> decodeJob(std::string_view);

// Row size of the store where the settings name none.
inline constexpr std::size_t defaultMaxRowBytes { 65'536 };

// Whether every row of the job fits in the store, whatever becomes of its tasks.
[[nodiscard]] bool fitsInRows(const Job&, std::size_t maxRowBytes);
// Occurrences of the job, from the first that has not ended, that may be in progress without exceeding the
// size of the progress row; at least 1.
[[nodiscard]] std::uint32_t maxOpenOccurrences(const Job&, std::size_t maxRowBytes);

[[nodiscard]] std::string encodeProgress(const JobProgress&);
// Leaves out the attempts if the row exceeds the limit otherwise, and the crashes of a job whose tasks are
// too many for them.
[[nodiscard]] std::string encodeProgress(const JobProgress&, const Job&, std::size_t maxRowBytes);
[[nodiscard]] std::optional<JobProgress> decodeProgress(std::string_view);

} // namespace fulmar::jobs
