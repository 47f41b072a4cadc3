#include "jobs/placement.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

constexpr std::string_view emptyingReason = "emptying";

bool hasLabel(const RunnerReport& report, const std::string& label)
{
    return label.empty()
        || std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

// Additional cost of placing a long-running task, in multiples of the runner's capacity. VMs without such
// tasks can be moved or switched off, so the tasks share VMs; tasks of one step are kept apart, so that few
// are lost with one VM, and off VMs that are due for maintenance.
double longRunningCost(const Runner& runner, const Step& step, const TaskName& taskName)
{
    if (!step.isLongRunning)
        return 0;
    return runner.countOfStep(taskName) + (runner.hasLongRunningRuns() ? 0 : 1)
        + (runner.isMaintenanceDue ? 2 : 0);
}

// Free millicores after placement, so that the tightest fit costs least; a runner outside the preferred rack
// costs twice its capacity more.
double placementCost(
    const Runner& runner, const Step& step, const TaskName& taskName, const RackId& preferredRack)
{
    auto capacity = double(runner.report().capacity.cpu);
    auto cost = double(runner.room().cpu - step.reserved().cpu);
    cost += longRunningCost(runner, step, taskName) * capacity;
    if (!preferredRack.empty() && runner.report().rack != preferredRack)
        cost += capacity * 2;
    return cost;
}

} // namespace

std::string_view unusableReason(const Runner& runner, TimePoint now)
{
    if (!runner.isListed)
        return "unlisted";
    if (runner.isReportOutdated)
        return "restarted";
    if (!runner.hasAnsweredThisEpoch)
        return "not-heard";
    if (!runner.isStored)
        return "not-recorded";
    if (runner.cordon == Cordon::OrderPending)
        return "reserved";
    if (runner.report().isDraining)
        return "draining";
    if (runner.isUnreachable())
        return "silent";
    if (now < runner.avoidUntil)
        return "avoided";
    return runner.cordon == Cordon::Emptying ? emptyingReason : "";
}

bool isUsableLastResort(const Runner& runner, TimePoint now)
{
    return unusableReason(runner, now) == emptyingReason;
}

bool isUsable(const Runner& runner, TimePoint now) { return unusableReason(runner, now).empty(); }

bool hasRoomFor(const Runner& runner, const Step& step, const TaskName& taskName)
{
    return step.reserved().fitsIn(runner.room()) && hasLabel(runner.report(), step.requiredLabel)
        && (step.maxPerRunner == 0 || runner.countOfStep(taskName) < step.maxPerRunner);
}

bool hasRoomBesideLongRunning(const Runner& runner, const Step& step, const TaskName& taskName)
{
    auto room = runner.report().capacity;
    for (const auto& [task, run] : runner.runs())
        if (run.isLongRunning)
            room -= run.reserved;
    return step.reserved().fitsIn(room) && hasLabel(runner.report(), step.requiredLabel)
        && (!step.isLongRunning || step.maxPerRunner == 0
            || runner.countOfStep(taskName) < step.maxPerRunner);
}

Runner* chooseRunner(
    std::vector<Runner*>& candidates, const Step& step, const TaskName& taskName, const RackId& preferredRack)
{
    Runner* best = nullptr;
    double bestCost = 0;
    for (auto* runner : candidates) {
        if (!hasRoomFor(*runner, step, taskName))
            continue;
        if (auto cost = placementCost(*runner, step, taskName, preferredRack); !best || cost < bestCost) {
            best = runner;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace fulmar::jobs
