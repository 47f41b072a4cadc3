#pragma once

#include "work/task_registry.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fulmar::bench::longwork {

using namespace fulmar::work;

// The plain way, to compare with: each pool's tasks in the order of arrival, urgent ones in front, each on
// the first worker that has room for its declared size; a failed task that may be repeated goes to the back
// of the queue, a few times.
class NaiveScheduler {
public:
    void add(TaskRecord, Moment);
    void cancel(const TaskId&, Moment);
    void onReports(const std::vector<WorkerReport>&, Moment);
    void onStartResult(const StartAction&, const Result<void>&, Moment) { }
    void onOrderResult(const OrderAction&, const Result<void>&, TimePoint) { }
    void plan(Moment);

    [[nodiscard]] std::vector<RowChange> takeRows(std::size_t max);
    void onStored(const std::vector<RowChange>&) { }
    [[nodiscard]] std::optional<StartAction> takeStart(TimePoint);
    [[nodiscard]] std::optional<OrderAction> takeOrder();
    [[nodiscard]] const TaskRecord* find(const TaskId&) const;
    [[nodiscard]] std::size_t quarantinedCount() const { return 0; }

private:
    struct Worker {
        VmId id;
        Resources capacity;
        Resources reserved;
    };

    struct Pool {
        std::deque<TaskId> queue;
        std::vector<VmId> workers;
    };

    void end(TaskRecord&, TaskState);
    void release(const TaskRecord&);
    bool tryPlace(const Pool&, TaskRecord&);

    std::unordered_map<TaskId, TaskRecord> m_tasks;
    std::unordered_map<VmId, Worker> m_workers;
    std::map<PoolId, Pool> m_pools;
    std::deque<TaskRecord> m_rows;
    std::deque<StartAction> m_starts;
    std::deque<OrderAction> m_orders;
    std::uint64_t m_operations { 0 };
};

} // namespace fulmar::bench::longwork
