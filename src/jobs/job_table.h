#pragma once

#include "jobs/job.h"
#include "jobs/runner_orders.h"

#include <unordered_map>

namespace fulmar::jobs {

enum class TaskState : std::uint8_t {
    Waiting,
    // Ordered to start somewhere, or running.
    Placed,
    Done,
};

struct Task {
    TaskState state { TaskState::Waiting };
    RunnerId runner;
    std::vector<Attempt> failedAttempts;
    // Where the next run resumes.
    std::string checkpoint;
    // Not to be placed before, after a run that ended badly.
    TimePoint notBefore;
};

// The tasks of a step in one occurrence of the job.
struct StepRun {
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::vector<Task> tasks;
    std::uint32_t done { 0 };
    std::uint32_t placed { 0 };

    [[nodiscard]] bool isDone() const { return done == tasks.size(); }
    [[nodiscard]] std::uint32_t waiting() const { return std::uint32_t(tasks.size()) - done - placed; }
};

struct JobEntry {
    Job job;
    JobState state { JobState::Queued };
    // When this process first saw it.
    TimePoint arrived;
    // When its latency objective ends by the estimates.
    TimePoint due;
    TimePoint ended;
    // It may be shown to callers and started.
    bool isStored { false };
    // Taken over from an earlier holder, whose runs of it may not all be known yet.
    bool isRecovered { false };
    // The progress has changed since it was last handed to the store.
    bool isDirty { false };
    // State that the store holds; what callers are shown.
    JobState storedState { JobState::Queued };
    std::vector<StepRun> stepRuns;

    [[nodiscard]] bool isOver() const { return state >= JobState::Completed; }
    [[nodiscard]] StepRun& stepRun(std::uint32_t occurrence, std::uint32_t step)
    {
        return stepRuns[occurrence * job.steps.size() + step];
    }
    [[nodiscard]] Task* find(const TaskName&);
    // All steps that this one follows are done, and the occurrence is due.
    [[nodiscard]] bool isStartable(const StepRun&, WallTime) const;
    // Run time by the estimates of the longest chain of steps that are not done.
    [[nodiscard]] Millis remainingCriticalPath() const;
    [[nodiscard]] JobProgress progress() const;
};

// All jobs of a shard and how far they are.
class JobTable {
public:
    JobEntry& add(Job, TimePoint now);
    JobEntry& restore(Job, const JobProgress&, TimePoint now);
    [[nodiscard]] JobEntry* find(const JobId&);
    void remove(const JobId& id) { m_jobs.erase(id); }
    [[nodiscard]] std::unordered_map<JobId, JobEntry>& all() { return m_jobs; }
    [[nodiscard]] const std::unordered_map<JobId, JobEntry>& all() const { return m_jobs; }

private:
    std::unordered_map<JobId, JobEntry> m_jobs;
};

// A task's run ended; moves the task and its job on.
void applyEnd(JobEntry&, const TaskName&, Attempt, EndKind, const std::string& checkpoint, TimePoint now);

// A run of the task failed, wherever it ran; counted once an attempt. Fails the job when there were too many.
void countFailure(JobEntry&, const TaskName&, Attempt, TimePoint now);

// The run was lost without an end; the task waits again.
void releaseTask(JobEntry&, const TaskName&, const std::string& checkpoint);

} // namespace fulmar::jobs
