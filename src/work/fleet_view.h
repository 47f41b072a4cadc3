#pragma once

#include "work/work_state.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::work {

// The shard's workers by id and by pool, as the platform's lagging list shows them.
class FleetView {
public:
    // Takes a listed worker over, without its task reports.
    Worker& update(const WorkerReport&, TimePoint now);

    // The worker, or an unlisted one that accepts nothing yet: a row can name a worker before the list does.
    Worker& findOrAdd(const VmId&, const PoolId&, TimePoint now);

    [[nodiscard]] Worker* find(const VmId&);
    [[nodiscard]] const std::vector<Worker*>& workersOf(const PoolId&) const;
    [[nodiscard]] std::unordered_map<VmId, Worker>& workers() { return m_workers; }
    [[nodiscard]] const std::unordered_map<VmId, Worker>& workers() const { return m_workers; }

    [[nodiscard]] const std::unordered_map<PoolId, std::vector<Worker*>>& pools() const { return m_pools; }

    // Capacity of all live workers.
    [[nodiscard]] const Resources& capacity() const { return m_capacity; }

    // Books a task on a worker, or changes or ends the booking.
    static void place(Task&, Worker&, const Resources& need);
    static void resize(Task&, const Resources& need);
    static void release(Task&);

    // Forgets workers that hold nothing and have not been listed since `before`.
    void forget(TimePoint before);

private:
    void moveToPool(Worker&, const PoolId&);
    void removeFromPool(const Worker&);

    std::unordered_map<VmId, Worker> m_workers;
    std::unordered_map<PoolId, std::vector<Worker*>> m_pools;
    Resources m_capacity;
};

} // namespace fulmar::work
