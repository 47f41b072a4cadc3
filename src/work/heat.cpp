#include "work/heat.h"

#include <algorithm>
#include <tuple>

namespace fulmar::work {

namespace {

// Shares of a worker's capacity in use.
constexpr double hotProcessors = 1.15;
constexpr double scorchingProcessors = 1.5;
constexpr double fullProcessors = 1.0;
constexpr double hotMemory = 0.95;
constexpr double memoryAfterEviction = 0.9;
// Throttled tasks use this share of the processors that they used before, at most.
constexpr double throttledShare = 0.5;

// Urgent tasks are worth most, then those that cannot be repeated, then those that have run longest.
bool isWorthLess(const Task* left, const Task* right)
{
    auto worth = [](const Task* task) {
        return std::tuple(task->record.spec.urgent, !task->record.spec.idempotent, task->preemptions,
            -task->startedAt.time_since_epoch().count(), task->id());
    };
    return worth(left) < worth(right);
}

std::vector<Task*> byWorth(const Worker& worker)
{
    std::vector<Task*> tasks;
    std::copy_if(worker.tasks.begin(), worker.tasks.end(), std::back_inserter(tasks), [](const Task* task) {
        return task->step == StartStep::Confirmed && task->eviction == Eviction::None;
    });
    std::sort(tasks.begin(), tasks.end(), isWorthLess);
    return tasks;
}

bool isEvictable(const Task* task) { return task->record.spec.idempotent; }

std::vector<HeatAction> relieveMemory(const Worker& worker, const std::vector<Task*>& tasks)
{
    std::vector<HeatAction> actions;
    auto used = worker.used.memoryMb;
    for (const auto* task : worker.tasks)
        if (task->eviction != Eviction::None)
            used -= task->used.memoryMb;
    for (auto* task : tasks) {
        if (used <= worker.capacity.memoryMb * memoryAfterEviction)
            break;
        if (!isEvictable(task))
            continue;
        actions.push_back({ task, HeatStep::Evict });
        used -= task->used.memoryMb;
    }
    return actions;
}

std::vector<HeatAction> relieveProcessors(const Worker& worker, const std::vector<Task*>& tasks)
{
    std::vector<HeatAction> actions;
    auto excess = worker.used.processors - worker.capacity.processors * fullProcessors;
    for (auto* task : tasks) {
        if (excess <= 0)
            return actions;
        if (task->throttled)
            continue;
        actions.push_back({ task, HeatStep::Throttle });
        excess -= task->used.processors * (1 - throttledShare);
    }
    // All that is left to throttle is throttled and it is still hot.
    if (actions.empty() && worker.used.processors > worker.capacity.processors * scorchingProcessors)
        if (auto victim = std::find_if(tasks.begin(), tasks.end(), isEvictable); victim != tasks.end())
            actions.push_back({ *victim, HeatStep::Evict });
    return actions;
}

// A resumed task uses as much again as it does now.
std::vector<HeatAction> resumeWhatFits(const Worker& worker, const std::vector<Task*>& tasks)
{
    std::vector<HeatAction> actions;
    auto idle = worker.capacity.processors * fullProcessors - worker.used.processors;
    const std::vector<Task*> dearestFirst(tasks.rbegin(), tasks.rend());
    for (auto* task : dearestFirst) {
        auto regained = task->used.processors * (1 / throttledShare - 1);
        if (!task->throttled || regained > idle)
            continue;
        actions.push_back({ task, HeatStep::Resume });
        idle -= regained;
    }
    return actions;
}

} // namespace

std::vector<HeatAction> coolDown(const Worker& worker)
{
    auto tasks = byWorth(worker);
    if (worker.used.memoryMb > worker.capacity.memoryMb * hotMemory)
        return relieveMemory(worker, tasks);
    if (worker.used.processors > worker.capacity.processors * hotProcessors)
        return relieveProcessors(worker, tasks);
    return resumeWhatFits(worker, tasks);
}

} // namespace fulmar::work
