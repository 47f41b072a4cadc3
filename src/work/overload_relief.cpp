#include "work/overload_relief.h"

#include <algorithm>
#include <tuple>

namespace fulmar::work {

namespace {

// Thresholds of reported usage as shares of a worker's capacity.
constexpr double overloadedProcessors = 1.15;
constexpr double evictionProcessors = 1.5;
constexpr double targetProcessors = 1.0;
constexpr double overloadedMemory = 0.95;
constexpr double targetMemory = 0.9;
// A throttled task uses at most this share of its earlier processor use.
constexpr double throttledShare = 0.5;

// Urgent tasks have the highest priority, then tasks that are not idempotent, then those preempted more
// often, then those that have run longest.
bool hasLowerPriority(const Task* left, const Task* right)
{
    auto rank = [](const Task* task) {
        return std::tuple(task->record.spec.urgent, !task->record.spec.idempotent, task->preemptions,
            -task->startedAt.time_since_epoch().count(), task->id());
    };
    return rank(left) < rank(right);
}

std::vector<Task*> byPriority(const Worker& worker)
{
    std::vector<Task*> tasks;
    std::copy_if(worker.tasks.begin(), worker.tasks.end(), std::back_inserter(tasks), [](const Task* task) {
        return task->startStep == StartStep::Confirmed && task->eviction == Eviction::None;
    });
    std::sort(tasks.begin(), tasks.end(), hasLowerPriority);
    return tasks;
}

bool isEvictable(const Task* task) { return task->record.spec.idempotent; }

std::vector<ReliefAction> relieveMemory(const Worker& worker, const std::vector<Task*>& tasks)
{
    std::vector<ReliefAction> actions;
    auto used = worker.used.memoryMb;
    for (const auto* task : worker.tasks)
        if (task->eviction != Eviction::None)
            used -= task->used.memoryMb;
    for (auto* task : tasks) {
        if (used <= worker.capacity.memoryMb * targetMemory)
            break;
        if (!isEvictable(task))
            continue;
        actions.push_back({ task, ReliefStep::Evict });
        used -= task->used.memoryMb;
    }
    return actions;
}

std::vector<ReliefAction> relieveProcessors(const Worker& worker, const std::vector<Task*>& tasks)
{
    std::vector<ReliefAction> actions;
    auto excess = worker.used.processors - worker.capacity.processors * targetProcessors;
    for (auto* task : tasks) {
        if (excess <= 0)
            return actions;
        if (task->throttled)
            continue;
        actions.push_back({ task, ReliefStep::Throttle });
        excess -= task->used.processors * (1 - throttledShare);
    }
    // All tasks are throttled and the worker is still overloaded.
    if (actions.empty() && worker.used.processors > worker.capacity.processors * evictionProcessors)
        if (auto victim = std::find_if(tasks.begin(), tasks.end(), isEvictable); victim != tasks.end())
            actions.push_back({ *victim, ReliefStep::Evict });
    return actions;
}

// Resumes throttled tasks, highest priority first. With throttledShare, a resumed task uses twice as much as
// now.
std::vector<ReliefAction> resumeWhatFits(const Worker& worker, const std::vector<Task*>& tasks)
{
    std::vector<ReliefAction> actions;
    auto idle = worker.capacity.processors * targetProcessors - worker.used.processors;
    const std::vector<Task*> highestFirst(tasks.rbegin(), tasks.rend());
    for (auto* task : highestFirst) {
        auto regained = task->used.processors * (1 / throttledShare - 1);
        if (!task->throttled || regained > idle)
            continue;
        actions.push_back({ task, ReliefStep::Resume });
        idle -= regained;
    }
    return actions;
}

} // namespace

std::vector<ReliefAction> overloadActions(const Worker& worker)
{
    auto tasks = byPriority(worker);
    if (worker.used.memoryMb > worker.capacity.memoryMb * overloadedMemory)
        return relieveMemory(worker, tasks);
    if (worker.used.processors > worker.capacity.processors * overloadedProcessors)
        return relieveProcessors(worker, tasks);
    return resumeWhatFits(worker, tasks);
}

} // namespace fulmar::work
