#include "jobs/stalled_jobs.h"

#include "jobs/placement.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace fulmar::jobs {

namespace {

const Run* runOf(const Task& task, const TaskName& name, const std::map<RunnerId, Runner>& runners)
{
    if (task.state != TaskState::Placed)
        return nullptr;
    auto found = runners.find(task.runner);
    if (found == runners.end())
        return nullptr;
    auto run = found->second.runs().find(name);
    return run == found->second.runs().end() ? nullptr : &run->second;
}

bool isRunning(const Task& task, const TaskName& name, const std::map<RunnerId, Runner>& runners)
{
    const auto* run = runOf(task, name, runners);
    return run && run->phase == RunPhase::Running;
}

} // namespace

std::string_view toString(StallReason reason)
{
    static constexpr std::array<std::string_view, 10> names { "lease-unsure", "earlier-runs", "pause", "gang",
        "isolation", "runner", "starting", "unconfirmed", "stopping", "run-unknown" };
    return names[std::size_t(reason)];
}

std::optional<TaskName> findStalledTask(
    const JobEntry& entry, const std::map<RunnerId, Runner>& runners, WallTime wallNow)
{
    std::optional<TaskName> stalled;
    for (const auto& stepOccurrence : entry.stepOccurrences) {
        if (stepOccurrence.isDone() || !entry.isStartable(stepOccurrence, wallNow))
            continue;
        auto isLongRunning = entry.job.steps[stepOccurrence.step].isLongRunning;
        TaskName name { entry.job.id, stepOccurrence.occurrence, stepOccurrence.step, 0 };
        for (; name.index < stepOccurrence.tasks.size(); ++name.index) {
            const auto& task = stepOccurrence.tasks[name.index];
            if (task.state == TaskState::Done)
                continue;
            // It waits for the team's other work, not for a fault to pass.
            if (task.state == TaskState::Waiting && stepOccurrence.isHeldBackByQuota)
                continue;
            if (isRunning(task, name, runners)) {
                if (!isLongRunning)
                    return std::nullopt;
            } else if (!stalled) {
                stalled = name;
            }
        }
    }
    return stalled;
}

StallReason stallReasonOf(const JobEntry& entry, const TaskName& name,
    const std::map<RunnerId, Runner>& runners, bool mayStart, bool areEarlierRunsResolved, TimePoint now)
{
    const auto& stepOccurrence = entry.stepOccurrence(name.occurrence, name.step);
    const auto& task = stepOccurrence.tasks[name.index];
    if (task.state == TaskState::Placed) {
        const auto* run = runOf(task, name, runners);
        if (!run)
            return StallReason::RunUnknown;
        if (run->phase == RunPhase::Stopping)
            return StallReason::Stopping;
        return run->phase == RunPhase::Starting ? StallReason::Starting : StallReason::Unconfirmed;
    }
    if (!mayStart)
        return StallReason::LeaseUnsure;
    if (entry.isRecovered && !areEarlierRunsResolved)
        return StallReason::EarlierRuns;
    if (now < task.notBefore)
        return StallReason::Pause;
    if (entry.job.steps[name.step].isGang && stepOccurrence.placedCount > 0)
        return StallReason::Gang;
    return isolationFor(task.crashes, task.isCrashSuspect) == Isolation::None ? StallReason::Runner
                                                                              : StallReason::Isolation;
}

std::string describeRunners(
    const JobEntry& entry, const TaskName& name, const std::map<RunnerId, Runner>& runners, TimePoint now)
{
    const auto& step = entry.job.steps[name.step];
    std::map<std::string_view, std::size_t> counts;
    for (const auto& [id, runner] : runners) {
        if (runner.report().pool != entry.job.policy.pool)
            continue;
        auto reason = unusableReason(runner, now);
        if (reason.empty())
            reason = !hasRoomFor(runner, step, name) ? "full" : runner.isSetApart ? "set-apart" : "free";
        ++counts[reason];
    }
    std::string text;
    for (const auto& [reason, count] : counts)
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", reason, count);
    return text;
}

} // namespace fulmar::jobs
