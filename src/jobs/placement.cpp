#include "jobs/placement.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

bool hasLabel(const RunnerReport& report, const std::string& label)
{
    return label.empty()
        || std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

// Cores left over after the task: the least is the tightest fit. Lasting tasks are spread instead, so that
// few of them are lost with one runner.
double cost(const Runner& runner, const Step& step, const RackId& preferredRack)
{
    auto left = double(runner.room().cpu - step.reserved().cpu);
    auto cost = step.isLasting ? -left : left;
    if (!preferredRack.empty() && runner.report().rack != preferredRack)
        cost += double(runner.report().capacity.cpu) * 2;
    return cost;
}

} // namespace

bool isUsable(const Runner& runner, TimePoint now)
{
    return runner.isListed && runner.isFenced && runner.isRecorded && !runner.isReserved
        && !runner.report().isDraining && !runner.isSilent() && now >= runner.avoidUntil;
}

Runner* choosePlace(
    std::vector<Runner*>& candidates, const Step& step, const TaskName& sameStep, const RackId& preferredRack)
{
    Runner* best = nullptr;
    double bestCost = 0;
    auto need = step.reserved();
    for (auto* runner : candidates) {
        if (!need.fitsIn(runner->room()) || !hasLabel(runner->report(), step.requiredLabel))
            continue;
        if (step.maxPerRunner > 0 && runner->countOfStep(sameStep) >= step.maxPerRunner)
            continue;
        if (auto each = cost(*runner, step, preferredRack); !best || each < bestCost) {
            best = runner;
            bestCost = each;
        }
    }
    return best;
}

} // namespace fulmar::jobs
