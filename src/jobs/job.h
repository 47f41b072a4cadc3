#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::jobs {

using Millis = std::chrono::milliseconds;

// What a task takes of a runner, or what a runner has.
struct Resources {
    // Thousandths of a core.
    std::int64_t cpu { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };

    Resources& operator+=(const Resources& other)
    {
        cpu += other.cpu;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        cpu -= other.cpu;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
    [[nodiscard]] bool fitsIn(const Resources& room) const
    {
        return cpu <= room.cpu && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
    bool operator==(const Resources&) const = default;
};

// Alike tasks of a job.
struct Step {
    std::uint32_t count { 0 };
    Resources each;
    // The submitter's rough guess of a task's run time.
    Millis estimate { 0 };
    // Earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    bool hasCheckpoints { false };
    // The tasks make progress only while all of them run.
    bool isGang { false };
    bool wantsOneRack { false };
    // Label that the runner must carry; empty for any runner.
    std::string requiredLabel;
    // Rack that holds the step's data; empty if it does not matter.
    std::string dataRack;
    // Most tasks of the step on one runner; 0 for no limit.
    std::uint32_t maxPerRunner { 0 };
    // Copies of one task may run side by side.
    bool allowsCopies { false };
    // Runs until the job is cancelled.
    bool isLongRunning { false };
    // Tasks of one image behave alike.
    std::string image;
    // Bound of the tail latency of what the tasks serve; 0 if they serve nothing.
    Millis tailTarget { 0 };
    // Takes only processor time that other tasks leave unused; its cpu is not reserved.
    bool isBestEffort { false };
    // Tasks that our own orders may keep from working at one time.
    std::uint32_t maxUnavailable { 0 };

    [[nodiscard]] Resources reserved() const
    {
        auto resources = each;
        if (isBestEffort)
            resources.cpu = 0;
        return resources;
    }
};

// What the configuration says of the queue that took a job, as of the moment it was taken.
struct QueuePolicy {
    PoolId pool;
    // 0 goes first.
    std::int32_t priority { 0 };
    // Failed runs of one task after which the job has failed.
    std::uint32_t maxFailures { 1 };
    // The latency objective is this factor times the job's longest chain of work...
    double stretch { 1 };
    // ...plus this.
    Millis latencyTarget { 0 };
};

struct Job {
    // 16 hexadecimal digits, chosen by the submitter.
    JobId id;
    std::string queue;
    QueuePolicy policy;
    // Passed to the runners as it came.
    std::string spec;
    std::vector<Step> steps;
    // Times that the steps run; 0 or 1 for a job without a schedule.
    std::uint32_t occurrences { 1 };
    // Since 1970; 0 for at once.
    Millis firstDue { 0 };
    Millis interval { 0 };

    [[nodiscard]] bool isScheduled() const { return firstDue.count() > 0; }
    [[nodiscard]] bool isLongRunning() const;
    // Core-milliseconds that the job is expected to take.
    [[nodiscard]] double estimatedWork() const;
    // Run time of the longest chain of steps by the submitter's estimates.
    [[nodiscard]] Millis estimatedCriticalPath() const;
    // Latency objective by the submitter's estimates.
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

// What must outlive the process of a job's progress.
struct JobProgress {
    JobState state { JobState::Queued };
    // Done tasks and failed runs, a step of an occurrence each.
    struct StepProgress {
        std::uint32_t occurrence { 0 };
        std::uint32_t step { 0 };
        std::vector<bool> done;
        // Attempts that failed, by task: a failure that a second holder of the shard hears of again is
        // counted once.
        std::vector<std::vector<std::uint64_t>> failures;
    };
    std::vector<StepProgress> steps;
};

// The form in which jobs travel between processes and are stored.
[[nodiscard]] std::string encodeJob(const Job&);
// Empty if the text is not a whole job.
[[nodiscard]] std::optional<Job> decodeJob(std::string_view);

[[nodiscard]] std::string encodeProgress(const JobProgress&);
[[nodiscard]] std::optional<JobProgress> decodeProgress(std::string_view);

} // namespace fulmar::jobs
