#include "jobs/job_table.h"

#include <algorithm>
#include <cassert>

namespace fulmar::jobs {

namespace {

// Pause before a failed task runs again, so that immediate failures do not retry in a tight loop.
constexpr std::chrono::milliseconds pauseAfterFailure { 100 };

void finish(JobEntry& entry, JobState state, TimePoint now)
{
    entry.state = state;
    entry.ended = now;
    entry.isDirty = true;
}

void skipEnded(JobEntry& entry)
{
    auto isEnded = [&](std::uint32_t occurrence) {
        for (std::uint32_t step = 0; step < entry.job.steps.size(); ++step)
            if (!entry.stepOccurrence(occurrence, step).isDone())
                return false;
        return true;
    };
    while (entry.endedOccurrences < entry.endHeld() && isEnded(entry.endedOccurrences))
        ++entry.endedOccurrences;
}

// Whether the attempt, or one of those that are known by their number alone, was counted before.
template <typename Entries, typename AttemptOf>
bool isCounted(const JobEntry& entry, const Entries& entries, Attempt attempt, AttemptOf attemptOf)
{
    return std::any_of(entries.begin(), entries.end(), [&](const auto& each) {
        auto known = attemptOf(each);
        return known == attempt || (known == 0 && attempt <= entry.countedUpTo);
    });
}

void markDone(JobEntry& entry, StepOccurrence& stepOccurrence, Task& task, TimePoint now)
{
    if (task.state == TaskState::Done)
        return;
    if (task.state == TaskState::Placed)
        --stepOccurrence.placedCount;
    task.state = TaskState::Done;
    ++stepOccurrence.doneCount;
    entry.isDirty = true;
    skipEnded(entry);
    if (entry.endedOccurrences == entry.occurrenceCount() && !entry.isOver())
        finish(entry, JobState::Completed, now);
}

void returnToWaiting(StepOccurrence& stepOccurrence, Task& task)
{
    if (task.state != TaskState::Placed)
        return;
    --stepOccurrence.placedCount;
    task.state = TaskState::Waiting;
    task.runner = {};
}

// The members of a gang resume from one checkpoint: with different ones they cannot work together.
void setCheckpoint(
    JobEntry& entry, const TaskName& name, CheckpointSource source, const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    auto& stepOccurrence = entry.stepOccurrence(name.occurrence, name.step);
    if (!entry.job.steps[name.step].isGang) {
        stepOccurrence.tasks[name.index].checkpoint = checkpoint;
        return;
    }
    if (source < stepOccurrence.gangCheckpoint)
        return;
    stepOccurrence.gangCheckpoint = source;
    for (auto& member : stepOccurrence.tasks)
        member.checkpoint = checkpoint;
}

} // namespace

Task* JobEntry::find(const TaskName& name)
{
    if (name.step >= job.steps.size() || name.index >= job.steps[name.step].count
        || name.occurrence < firstHeld() || name.occurrence >= occurrenceCount())
        return nullptr;
    if (name.occurrence >= endHeld()) {
        if (name.occurrence >= std::uint64_t(endedOccurrences) + maxOpen)
            return nullptr;
        hold(name.occurrence);
    }
    return &stepOccurrence(name.occurrence, name.step).tasks[name.index];
}

void JobEntry::hold(std::uint32_t occurrence)
{
    while (endHeld() <= occurrence) {
        auto next = endHeld();
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            auto& added = stepOccurrences.emplace_back();
            added.occurrence = next;
            added.step = step;
            added.tasks.resize(job.steps[step].count);
        }
    }
}

void JobEntry::updateHeld(WallTime now)
{
    while (!stepOccurrences.empty() && stepOccurrences.front().occurrence < endedOccurrences)
        stepOccurrences.erase(
            stepOccurrences.begin(), stepOccurrences.begin() + std::ptrdiff_t(job.steps.size()));
    while (endHeld() < occurrenceCount() && isDue(endHeld(), now))
        hold(endHeld());
}

bool JobEntry::isDue(std::uint32_t occurrence, WallTime now) const
{
    if (occurrence >= std::uint64_t(endedOccurrences) + maxOpen)
        return false;
    return !job.isScheduled() || now.time_since_epoch() >= job.firstStart + job.interval * occurrence;
}

bool JobEntry::isDue(const StepOccurrence& stepOccurrence, WallTime now) const
{
    return isDue(stepOccurrence.occurrence, now);
}

bool JobEntry::isStartable(const StepOccurrence& stepOccurrence, WallTime now) const
{
    if (!isDue(stepOccurrence, now))
        return false;
    const auto& after = job.steps[stepOccurrence.step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t before) {
        return this->stepOccurrence(stepOccurrence.occurrence, before).isDone();
    });
}

TimePoint JobEntry::deadlineOf(const StepOccurrence& stepOccurrence, TimePoint now, WallTime wallNow) const
{
    if (!job.isScheduled())
        return deadline;
    auto dueAt = job.firstStart + job.interval * stepOccurrence.occurrence;
    return now + std::chrono::duration_cast<Duration>(dueAt - wallNow.time_since_epoch()) + job.objective();
}

Millis JobEntry::remainingCriticalPath(const StepOccurrence& part) const
{
    std::vector<Millis> end(job.steps.size());
    Millis longest { 0 };
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        for (auto before : job.steps[step].after)
            end[step] = std::max(end[step], end[before]);
        if (!stepOccurrence(part.occurrence, step).isDone())
            end[step] += job.steps[step].expectedRunTime();
        longest = std::max(longest, end[step]);
    }
    return longest;
}

double JobEntry::remainingWork(std::uint32_t occurrence) const
{
    double work = 0;
    for (const auto& held : stepOccurrences)
        if (const auto& step = job.steps[held.step]; held.occurrence == occurrence && !step.isLongRunning)
            work += double(step.perTask.cpu) / 1000 * double(step.expectedRunTime().count())
                * double(held.tasks.size() - held.doneCount);
    return work;
}

JobProgress JobEntry::progress() const
{
    JobProgress progress { state, 0, 0, {} };
    // A job that is over needs nothing else.
    if (isOver())
        return progress;
    progress.endedOccurrences = endedOccurrences;
    progress.countedUpTo = countedUpTo;
    for (const auto& stepOccurrence : stepOccurrences) {
        if (stepOccurrence.occurrence < endedOccurrences)
            continue;
        JobProgress::StepProgress step { stepOccurrence.occurrence, stepOccurrence.step, {}, {}, {} };
        auto isTouched = false;
        for (const auto& task : stepOccurrence.tasks) {
            step.done.push_back(task.state == TaskState::Done);
            step.failures.push_back(task.failedAttempts);
            step.crashes.push_back(task.crashes);
            isTouched
                |= task.state == TaskState::Done || !task.failedAttempts.empty() || !task.crashes.empty();
        }
        if (isTouched)
            progress.steps.push_back(std::move(step));
    }
    return progress;
}

JobEntry& JobTable::add(Job job, TimePoint now)
{
    JobEntry entry;
    entry.arrived = now;
    entry.objective = job.objective();
    entry.deadline = now + entry.objective;
    entry.maxOpen = maxOpenOccurrences(job, m_maxRowBytes);
    auto id = job.id;
    entry.job = std::move(job);
    if (!entry.job.isScheduled())
        entry.updateHeld({});
    return m_jobs.insert_or_assign(id, std::move(entry)).first->second;
}

JobEntry& JobTable::restore(Job job, const JobProgress& progress, TimePoint now)
{
    auto& entry = add(std::move(job), now);
    entry.isStored = true;
    entry.isRecovered = true;
    entry.state = progress.state;
    entry.storedState = progress.state;
    if (entry.isOver())
        entry.ended = now;
    entry.countedUpTo = progress.countedUpTo;
    entry.stepOccurrences.clear();
    entry.endedOccurrences = std::min(progress.endedOccurrences, entry.occurrenceCount());
    for (const auto& step : progress.steps) {
        for (std::uint32_t index = 0; index < step.done.size(); ++index) {
            auto* task = entry.find({ entry.job.id, step.occurrence, step.step, index });
            if (!task)
                continue;
            task->failedAttempts = step.failures[index];
            if (index < step.crashes.size())
                task->crashes = step.crashes[index];
            task->isCrashSuspect = std::any_of(task->crashes.begin(), task->crashes.end(),
                [](const CrashRecord& crash) { return crash.wasSuspect; });
            entry.hasCrashRecords |= !task->crashes.empty();
            if (step.done[index] && task->state != TaskState::Done) {
                task->state = TaskState::Done;
                ++entry.stepOccurrence(step.occurrence, step.step).doneCount;
            }
        }
    }
    skipEnded(entry);
    if (!entry.job.isScheduled())
        entry.updateHeld({});
    return entry;
}

JobEntry* JobTable::find(const JobId& id)
{
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void recordEnd(JobEntry& entry, const TaskName& name, Attempt attempt, EndKind kind,
    const std::string& checkpoint, TimePoint now)
{
    auto* task = entry.find(name);
    if (!task)
        return;
    auto& stepOccurrence = entry.stepOccurrence(name.occurrence, name.step);
    const auto& step = entry.job.steps[name.step];
    if (kind == EndKind::Done && !step.isLongRunning) {
        // A member that completes does so for the whole gang.
        if (step.isGang) {
            for (auto& member : stepOccurrence.tasks)
                markDone(entry, stepOccurrence, member, now);
        } else {
            markDone(entry, stepOccurrence, *task, now);
        }
        return;
    }
    returnToWaiting(stepOccurrence, *task);
    task->isCrashSuspect = false;
    setCheckpoint(entry, name, { attempt, true }, checkpoint);
    if (kind == EndKind::Failed)
        countFailure(entry, name, attempt, now);
}

void countFailure(JobEntry& entry, const TaskName& name, Attempt attempt, TimePoint now)
{
    auto* task = entry.find(name);
    if (!task)
        return;
    task->notBefore = now + pauseAfterFailure;
    auto isKnown = isCounted(entry, task->failedAttempts, attempt, [](Attempt known) { return known; });
    if (entry.job.steps[name.step].isLongRunning || isKnown)
        return;
    task->failedAttempts.push_back(attempt);
    entry.isDirty = true;
    if (task->failedAttempts.size() >= entry.job.policy.maxFailures && !entry.isOver())
        finish(entry, JobState::Failed, now);
}

void countCrash(JobEntry& entry, const CrashedRun& run, TimePoint now)
{
    auto* task = entry.find(run.task);
    if (!task || task->state == TaskState::Done || entry.isOver())
        return;
    auto& crashes = task->crashes;
    if (isCounted(entry, crashes, run.attempt, [](const CrashRecord& crash) { return crash.attempt; }))
        return;
    crashes.push_back({ run.attempt, run.isSuspect });
    entry.hasCrashRecords = true;
    task->isCrashSuspect |= run.isSuspect;
    entry.isDirty = true;
    if (isConvicted(crashes, run.isOnlySuspect))
        finish(entry, JobState::Failed, now);
}

void releaseTask(JobEntry& entry, const TaskName& name, Attempt attempt, const std::string& checkpoint)
{
    auto* task = entry.find(name);
    if (!task)
        return;
    returnToWaiting(entry.stepOccurrence(name.occurrence, name.step), *task);
    setCheckpoint(entry, name, { attempt, false }, checkpoint);
}

} // namespace fulmar::jobs
