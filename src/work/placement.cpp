#include "work/placement.h"

#include <map>

namespace fulmar::work {

namespace {

constexpr double sameWorkerPenalty = 0.5;
constexpr double sameRackPenalty = 0.25;
constexpr double sameZonePenalty = 0.05;
constexpr std::size_t maxPenalizedTasks = 4;

// Numbers of a job's tasks in each rack and zone of a pool.
struct JobSpread {
    std::map<RackId, std::size_t> racks;
    std::map<ZoneId, std::size_t> zones;
};

std::size_t tasksOfJob(const Worker& worker, const JobId& job)
{
    return std::count_if(worker.tasks.begin(), worker.tasks.end(),
        [&](const Task* task) { return task->record.spec.job == job; });
}

JobSpread countSpread(const std::vector<Worker*>& workers, const JobId& job)
{
    JobSpread spread;
    for (const auto* worker : workers)
        if (auto count = tasksOfJob(*worker, job)) {
            spread.racks[worker->rack] += count;
            spread.zones[worker->zone] += count;
        }
    return spread;
}

template <typename Key> std::size_t cappedCount(const std::map<Key, std::size_t>& counts, const Key& key)
{
    auto position = counts.find(key);
    return position == counts.end() ? 0 : std::min(position->second, maxPenalizedTasks);
}

double score(const Worker& worker, const PlacementRequest& request, const JobSpread& spread)
{
    auto left = worker.capacity - worker.reserved - request.need;
    auto unused = (left.processors / std::max(worker.capacity.processors, 1.0)
                      + left.memoryMb / std::max(worker.capacity.memoryMb, 1.0))
        / 2;
    // Keeps workers with accelerators for the tasks that need them.
    if (request.need.accelerators == 0 && worker.capacity.accelerators > 0)
        unused += 1;
    return unused
        + sameWorkerPenalty * double(std::min(tasksOfJob(worker, request.spec->job), maxPenalizedTasks))
        + sameRackPenalty * double(cappedCount(spread.racks, worker.rack))
        + sameZonePenalty * double(cappedCount(spread.zones, worker.zone));
}

} // namespace

bool accepts(const Worker& worker, const PlacementRequest& request)
{
    return worker.live && !worker.leaving && !worker.withdrawn
        && (!worker.maintenanceAt || request.expectedEnd <= *worker.maintenanceAt)
        && (!request.failedOn || !request.failedOn->contains(worker.id));
}

Worker* chooseWorker(const std::vector<Worker*>& workers, const PlacementRequest& request,
    const FillLimits& limits, const std::function<bool(const Worker&)>& admits)
{
    Worker* best = nullptr;
    double bestScore = 0;
    std::optional<JobSpread> spread;
    for (auto* worker : workers) {
        if (!accepts(*worker, request) || !fits(request.need, freeCapacity(*worker, limits))
            || !admits(*worker))
            continue;
        if (!spread)
            spread = countSpread(workers, request.spec->job);
        if (auto value = score(*worker, request, *spread); !best || value < bestScore) {
            best = worker;
            bestScore = value;
        }
    }
    return best;
}

} // namespace fulmar::work
