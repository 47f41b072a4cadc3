#include "work/preemption.h"

#include <algorithm>

namespace fulmar::work {

namespace {

// Processor-seconds. Makes a task more expensive with each preemption, so that none is preempted for ever.
constexpr double surchargePerEviction = 60;

bool isEvictable(const Task& task)
{
    return task.record.spec.idempotent && !task.record.spec.urgent && task.startStep == StartStep::Confirmed
        && task.eviction == Eviction::None;
}

// Selects the tasks with the smallest loss until the request fits, then drops those that are not needed.
std::optional<PreemptionPlan> planOn(Worker& worker, const PlacementRequest& request,
    const FillLimits& limits, const std::function<bool(const Task&)>& mayEvict, TimePoint now)
{
    std::vector<std::pair<double, Task*>> candidates;
    for (auto* task : worker.tasks)
        if (isEvictable(*task) && mayEvict(*task))
            candidates.emplace_back(evictionLoss(*task, now), task);
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second->id()) < std::tie(right.first, right.second->id());
    });
    auto free = freeCapacity(worker, limits);
    std::size_t count = 0;
    while (!fits(request.need, free) && count < candidates.size())
        free += candidates[count++].second->reserved;
    if (!fits(request.need, free))
        return std::nullopt;
    PreemptionPlan plan { &worker, {}, 0 };
    for (auto i = count; i-- > 0;) {
        auto [loss, task] = candidates[i];
        if (fits(request.need, free - task->reserved)) {
            free -= task->reserved;
            continue;
        }
        plan.victims.push_back(task);
        plan.loss += loss;
    }
    return plan;
}

} // namespace

double evictionLoss(const Task& task, TimePoint now)
{
    auto unsaved = std::chrono::duration<double>(now - task.checkpointAt).count();
    return unsaved * std::max(task.reserved.processors, 0.1) + surchargePerEviction * task.preemptions;
}

std::optional<PreemptionPlan> choosePreemption(const std::vector<Worker*>& workers,
    const PlacementRequest& request, const FillLimits& limits,
    const std::function<bool(const Worker&)>& admits, const std::function<bool(const Task&)>& mayEvict,
    TimePoint now)
{
    std::optional<PreemptionPlan> best;
    for (auto* worker : workers) {
        if (!accepts(*worker, request) || !fits(request.need, usableCapacity(*worker, limits))
            || !admits(*worker))
            continue;
        if (auto plan = planOn(*worker, request, limits, mayEvict, now);
            plan && (!best || plan->loss < best->loss))
            best = std::move(plan);
    }
    return best;
}

} // namespace fulmar::work
