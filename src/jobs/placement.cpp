#include "jobs/placement.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

bool hasLabel(const RunnerReport& report, const std::string& label)
{
    return label.empty()
        || std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

// Free millicores after placement, so that the tightest fit costs least; a runner outside the preferred rack
// costs twice its capacity more. Long-running tasks are spread instead, so that few are lost with one runner,
// and kept off VMs that are due for maintenance.
double placementCost(const Runner& runner, const Step& step, const RackId& preferredRack)
{
    auto freeAfter = double(runner.room().cpu - step.reserved().cpu);
    auto cost = step.isLongRunning ? -freeAfter : freeAfter;
    if (step.isLongRunning && runner.isMaintenanceDue)
        cost += double(runner.report().capacity.cpu) * 2;
    if (!preferredRack.empty() && runner.report().rack != preferredRack)
        cost += double(runner.report().capacity.cpu) * 2;
    return cost;
}

} // namespace

std::string_view unusableReason(const Runner& runner, TimePoint now)
{
    if (!runner.isListed)
        return "unlisted";
    if (!runner.hasAnsweredThisEpoch)
        return "not-heard";
    if (!runner.isStored)
        return "not-recorded";
    if (runner.isCordoned)
        return "reserved";
    if (runner.report().isDraining)
        return "draining";
    if (runner.isUnreachable())
        return "silent";
    return now < runner.avoidUntil ? "avoided" : "";
}

bool isUsable(const Runner& runner, TimePoint now) { return unusableReason(runner, now).empty(); }

Runner* chooseRunner(
    std::vector<Runner*>& candidates, const Step& step, const TaskName& taskName, const RackId& preferredRack)
{
    Runner* best = nullptr;
    double bestCost = 0;
    auto need = step.reserved();
    for (auto* runner : candidates) {
        if (!need.fitsIn(runner->room()) || !hasLabel(runner->report(), step.requiredLabel))
            continue;
        if (step.maxPerRunner > 0 && runner->countOfStep(taskName) >= step.maxPerRunner)
            continue;
        if (auto cost = placementCost(*runner, step, preferredRack); !best || cost < bestCost) {
            best = runner;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace fulmar::jobs
