#pragma once

#include "work/work_state.h"

#include <map>
#include <set>

namespace fulmar::work {

// Orders tasks by time of acceptance, so that a requeued task keeps its position, also under a new owner.
struct ByAcceptance {
    bool operator()(const Task* left, const Task* right) const
    {
        if (left->record.accepted != right->record.accepted)
            return left->record.accepted < right->record.accepted;
        return left->id() < right->id();
    }
};

using TeamQueue = std::set<Task*, ByAcceptance>;
using TeamQueues = std::map<TeamId, TeamQueue>;

// A pool's queued tasks by urgency and team.
struct PoolQueues {
    TeamQueues urgent;
    TeamQueues normal;

    [[nodiscard]] bool empty() const { return urgent.empty() && normal.empty(); }
};

// The tasks that wait for a worker, by pool, urgency and team.
class TaskQueue {
public:
    void push(Task& task)
    {
        queuesOf(task)[task.record.spec.team].insert(&task);
        ++m_size;
    }

    // The task must be in the queue.
    void remove(Task& task)
    {
        auto& teams = queuesOf(task);
        auto team = teams.find(task.record.spec.team);
        team->second.erase(&task);
        if (team->second.empty())
            teams.erase(team);
        if (auto pool = m_pools.find(task.record.spec.pool); pool->second.empty())
            m_pools.erase(pool);
        --m_size;
    }

    [[nodiscard]] std::map<PoolId, PoolQueues>& pools() { return m_pools; }
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    TeamQueues& queuesOf(const Task& task)
    {
        auto& pool = m_pools[task.record.spec.pool];
        return task.record.spec.urgent ? pool.urgent : pool.normal;
    }

    std::map<PoolId, PoolQueues> m_pools;
    std::size_t m_size { 0 };
};

} // namespace fulmar::work
