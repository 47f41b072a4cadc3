#pragma once

#include "work/work_state.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::work {

// The workers by id and by pool, as shown by the platform's list, which lags.
class FleetView {
public:
    // Adds or updates a listed worker; ignores its task reports.
    Worker& update(const WorkerReport&, TimePoint now);

    // Returns the worker; adds one that is not live if it is unknown. A row can name a worker that was not
    // listed yet.
    Worker& findOrAdd(const VmId&, const PoolId&, TimePoint now);

    [[nodiscard]] Worker* find(const VmId&);
    [[nodiscard]] const std::vector<Worker*>& workersOf(const PoolId&) const;
    [[nodiscard]] std::unordered_map<VmId, Worker>& workers() { return m_workers; }
    [[nodiscard]] const std::unordered_map<VmId, Worker>& workers() const { return m_workers; }

    [[nodiscard]] const std::unordered_map<PoolId, std::vector<Worker*>>& pools() const { return m_pools; }

    // Capacity of all live workers.
    [[nodiscard]] const Resources& capacity() const { return m_capacity; }

    // Reserve resources for a task on a worker; change or release the reservation.
    static void place(Task&, Worker&, const Resources& need);
    static void resize(Task&, const Resources& need);
    static void release(Task&);

    // Removes workers without tasks that were last listed before `before`.
    void forget(TimePoint before);

private:
    void moveToPool(Worker&, const PoolId&);
    void removeFromPool(const Worker&);

    std::unordered_map<VmId, Worker> m_workers;
    std::unordered_map<PoolId, std::vector<Worker*>> m_pools;
    Resources m_capacity;
};

} // namespace fulmar::work
