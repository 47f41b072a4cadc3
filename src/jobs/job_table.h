#pragma once

#include "jobs/crash_evidence.h"
#include "jobs/job.h"
#include "jobs/runner_orders.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <optional>
#include <unordered_map>

namespace fulmar::jobs {

enum class TaskState : std::uint8_t {
    Waiting,
    // A start was ordered, or the task is running.
    Placed,
    Done,
};

struct Task {
    TaskState state { TaskState::Waiting };
    RunnerId runner;
    std::vector<Attempt> failedAttempts;
    // Crashes of runners under this task; empty again once a run has outlived crashMemory.
    std::vector<CrashRecord> crashes;
    // The runner crashed just after the start of this task, and no later run has outlived crashWindow.
    bool isCrashSuspect { false };
    // Where the next run resumes.
    std::string checkpoint;
    // After a failed or refused run: not placed before this time.
    TimePoint notBefore;
};

// Where a checkpoint comes from; the greater of two is the newer one.
struct CheckpointSource {
    Attempt attempt { 0 };
    // The run's end carried it; else a poll before the run was lost.
    bool isFromEnd { false };

    auto operator<=>(const CheckpointSource&) const = default;
};

// The tasks of a step in one occurrence of the job.
struct StepOccurrence {
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::vector<Task> tasks;
    std::uint32_t doneCount { 0 };
    std::uint32_t placedCount { 0 };
    // Of the checkpoint that all tasks have, if the step is a gang.
    CheckpointSource gangCheckpoint;
    // In the last planning round nothing but the team's quota kept its waiting tasks from starting.
    bool isHeldBackByQuota { false };

    [[nodiscard]] bool isDone() const { return doneCount == tasks.size(); }
    [[nodiscard]] std::uint32_t waitingCount() const
    {
        return std::uint32_t(tasks.size()) - doneCount - placedCount;
    }
};

struct JobEntry {
    Job job;
    JobState state { JobState::Queued };
    // When this process first saw the job.
    TimePoint arrived;
    // Arrival plus the latency objective. Jobs with a schedule have a deadline for each occurrence instead.
    TimePoint deadline;
    // Latency objective, by the run times expected at arrival.
    Millis objective { 0 };
    // See JobWorth.
    double worth { 1 };
    TimePoint ended;
    // Only stored jobs are shown to callers and started.
    bool isStored { false };
    // It was kept for its time after its end; it stays known until the removal of its rows is stored.
    bool isRemovalQueued { false };
    // Restored from an earlier holder of the shard, whose runs may not all be known yet.
    bool isRecovered { false };
    // A runner has crashed under one of its tasks, though that task may be cleared since.
    bool hasCrashRecords { false };
    // The progress has changed since it was last passed to the store.
    bool isDirty { false };
    // When it was first seen that a task could run and nothing of the job did; see stalled_jobs.h.
    std::optional<TimePoint> stalledSince;
    // State that the store holds; callers are shown this one.
    JobState storedState { JobState::Queued };
    // Of the occurrences that are due, or that a runner has told of; all steps of one after those of the one
    // before it. Occurrences that are not due yet or have ended take no memory.
    std::deque<StepOccurrence> stepOccurrences;
    // The occurrences before this one have ended.
    std::uint32_t endedOccurrences { 0 };
    // Occurrences from that one on that may be in progress; bounds the progress row.
    std::uint32_t maxOpen { 1 };
    // See JobProgress.
    Attempt countedUpTo { 0 };

    [[nodiscard]] bool isOver() const { return state >= JobState::Completed; }
    // The store holds its end; callers are not told of it before.
    [[nodiscard]] bool isEndStored() const { return isOver() && storedState == state; }
    [[nodiscard]] std::uint32_t occurrenceCount() const { return std::max(1U, job.occurrences); }
    [[nodiscard]] std::uint32_t firstHeld() const
    {
        return stepOccurrences.empty() ? endedOccurrences : stepOccurrences.front().occurrence;
    }
    // The first occurrence after those held.
    [[nodiscard]] std::uint32_t endHeld() const
    {
        return firstHeld() + std::uint32_t(stepOccurrences.size() / job.steps.size());
    }
    // Of an occurrence that is held.
    [[nodiscard]] StepOccurrence& stepOccurrence(std::uint32_t occurrence, std::uint32_t step)
    {
        return stepOccurrences[indexOf(occurrence, step)];
    }
    [[nodiscard]] const StepOccurrence& stepOccurrence(std::uint32_t occurrence, std::uint32_t step) const
    {
        return stepOccurrences[indexOf(occurrence, step)];
    }
    // Drops the occurrences that have ended and adds those that have become due. Invalidates references to
    // tasks.
    void updateHeld(WallTime);
    // Adds the occurrences up to that one.
    void hold(std::uint32_t occurrence);
    // Null for a task that the job does not have, and for one whose occurrence has ended and was dropped or
    // may not be in progress yet.
    [[nodiscard]] Task* find(const TaskName&);
    // Its time has come, and few enough occurrences before it are in progress.
    [[nodiscard]] bool isDue(const StepOccurrence&, WallTime) const;
    // All steps that this one depends on are done, and the occurrence is due.
    [[nodiscard]] bool isStartable(const StepOccurrence&, WallTime) const;
    // Latest end of the occurrence by the latency objective, which counts from the time when it is due.
    [[nodiscard]] TimePoint deadlineOf(const StepOccurrence&, TimePoint now, WallTime wallNow) const;
    // Longest chain of dependent unfinished steps of the occurrence, by expected run time.
    [[nodiscard]] Millis remainingCriticalPath(const StepOccurrence&) const;
    // Expected work of the occurrence's tasks that are not done, without long-running steps; in
    // core-milliseconds.
    [[nodiscard]] double remainingWork(std::uint32_t occurrence) const;
    [[nodiscard]] JobProgress progress() const;

private:
    [[nodiscard]] std::size_t indexOf(std::uint32_t occurrence, std::uint32_t step) const
    {
        assert(occurrence >= firstHeld() && occurrence < endHeld());
        return std::size_t(occurrence - firstHeld()) * job.steps.size() + step;
    }
    [[nodiscard]] bool isDue(std::uint32_t occurrence, WallTime) const;
};

// All jobs of a shard with their progress.
class JobTable {
public:
    explicit JobTable(std::size_t maxRowBytes = defaultMaxRowBytes)
        : m_maxRowBytes(maxRowBytes)
    {
    }

    JobEntry& add(Job, TimePoint now);
    JobEntry& restore(Job, const JobProgress&, TimePoint now);
    [[nodiscard]] JobEntry* find(const JobId&);
    void remove(const JobId& id) { m_jobs.erase(id); }
    [[nodiscard]] std::unordered_map<JobId, JobEntry>& all() { return m_jobs; }
    [[nodiscard]] const std::unordered_map<JobId, JobEntry>& all() const { return m_jobs; }

private:
    const std::size_t m_maxRowBytes;
    std::unordered_map<JobId, JobEntry> m_jobs;
};

// A run ended: updates the task and its job.
void recordEnd(JobEntry&, const TaskName&, Attempt, EndKind, const std::string& checkpoint, TimePoint now);

// A run of the task failed, on whatever runner; each attempt counts once. Fails the job after too many
// failures.
void countFailure(JobEntry&, const TaskName&, Attempt, TimePoint now);

// The runner crashed during the run; each attempt counts once. Fails the job once the task is convicted.
void countCrash(JobEntry&, const CrashedRun&, TimePoint now);

// The run was lost without an end; the task waits again.
void releaseTask(JobEntry&, const TaskName&, Attempt, const std::string& checkpoint);

} // namespace fulmar::jobs
