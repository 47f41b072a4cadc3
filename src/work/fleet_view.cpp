#include "work/fleet_view.h"

#include <cassert>

namespace fulmar::work {

Worker& FleetView::update(const WorkerReport& report, TimePoint now)
{
    auto [position, isNew] = m_workers.try_emplace(report.worker);
    auto& worker = position->second;
    if (isNew)
        worker.id = report.worker;
    if (isNew || worker.pool != report.pool)
        moveToPool(worker, report.pool);
    m_capacity -= worker.live ? worker.capacity : Resources {};
    worker.zone = report.zone;
    worker.rack = report.rack;
    worker.capacity = { report.processors, double(report.memoryMb), double(report.accelerators) };
    worker.live = report.live;
    worker.leaving = report.leaving;
    worker.listedAt = now;
    m_capacity += worker.live ? worker.capacity : Resources {};
    return worker;
}

Worker& FleetView::findOrAdd(const VmId& id, const PoolId& pool, TimePoint now)
{
    auto [position, isNew] = m_workers.try_emplace(id);
    auto& worker = position->second;
    if (isNew) {
        worker.id = id;
        worker.live = false;
        worker.listedAt = now;
        moveToPool(worker, pool);
    }
    return worker;
}

Worker* FleetView::find(const VmId& id)
{
    auto position = m_workers.find(id);
    return position == m_workers.end() ? nullptr : &position->second;
}

const std::vector<Worker*>& FleetView::workersOf(const PoolId& pool) const
{
    static const std::vector<Worker*> none;
    auto position = m_pools.find(pool);
    return position == m_pools.end() ? none : position->second;
}

void FleetView::place(Task& task, Worker& worker, const Resources& need)
{
    assert(!task.placed);
    task.placed = true;
    task.worker = &worker;
    task.reserved = need;
    worker.reserved += need;
    worker.tasks.push_back(&task);
}

void FleetView::resize(Task& task, const Resources& need)
{
    assert(task.placed);
    task.worker->reserved += need - task.reserved;
    task.reserved = need;
}

void FleetView::release(Task& task)
{
    assert(task.placed);
    task.worker->reserved -= task.reserved;
    std::erase(task.worker->tasks, &task);
    if (task.worker->tasks.empty())
        task.worker->reserved = {};
    task.worker = nullptr;
    task.placed = false;
    task.reserved = {};
    task.used = {};
}

void FleetView::forget(TimePoint before)
{
    for (auto position = m_workers.begin(); position != m_workers.end();) {
        const auto& worker = position->second;
        if (worker.listedAt >= before || !worker.tasks.empty()) {
            ++position;
            continue;
        }
        removeFromPool(worker);
        m_capacity -= worker.live ? worker.capacity : Resources {};
        position = m_workers.erase(position);
    }
}

void FleetView::moveToPool(Worker& worker, const PoolId& pool)
{
    removeFromPool(worker);
    worker.pool = pool;
    m_pools[pool].push_back(&worker);
}

void FleetView::removeFromPool(const Worker& worker)
{
    if (auto position = m_pools.find(worker.pool); position != m_pools.end())
        std::erase(position->second, &worker);
}

} // namespace fulmar::work
