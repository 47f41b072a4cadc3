#pragma once

#include "core/event.h"
#include "work/actions.h"
#include "work/fleet_view.h"
#include "work/row_queue.h"
#include "work/size_model.h"
#include "work/task_queue.h"
#include "work/team_shares.h"
#include "work/token_bucket.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace fulmar::work {

// The current time on the monotonic clock, for decisions, and on the wall clock, for rows.
struct Moment {
    TimePoint now {};
    WallTime wallNow {};
};

// All tasks of a shard and their state transitions. Each transition keeps the queue, the reservations on
// workers, the usage of teams and the rows to store consistent. The callers decide which transition to make.
class TaskRegistry {
public:
    TaskRegistry(SchedulerSettings, std::string owner);

    // Adds a task whose row is stored. Returns false if the task is known already.
    bool add(TaskRecord, Moment);

    [[nodiscard]] Task* find(const TaskId&);
    [[nodiscard]] const Task* find(const TaskId&) const;

    // Assigns a queued task to a worker. The worker is called once the row that names this start is stored
    // and the tasks in `awaitedEvictions` have left the worker.
    void place(Task&, Worker&, const Resources& need, Moment, std::vector<TaskId> awaitedEvictions = {});
    // The worker confirmed the start. This is not stored; a new owner learns it from the worker.
    void confirm(Task&, Moment);
    // Returns the task to the queue. With a `delay`, after that time and within the restart budget.
    void requeue(Task&, const std::string& cause, Moment, std::optional<Duration> delay = std::nullopt);
    // The outcome of the task can no longer be learned. Requeues it only if it is idempotent.
    void markLost(Task&, const std::string& cause, Moment);
    void end(Task&, TaskState, std::string detail, Moment);

    // Changes the resources reserved for a running task.
    void resize(Task&, const Resources& need);

    // Queues delayed tasks that are due, urgent ones first, within the restart budget.
    void enqueueDelayed(Moment);
    // Drops ended tasks from memory after endedInMemory and queues their rows for deletion after retention.
    void expireEnded(TimePoint now);
    // True if the task has ended and only its row in the table is left.
    [[nodiscard]] bool isArchived(const TaskId& id) const { return m_archived.contains(id); }

    void order(const Task&, TaskOrder);
    void recordEvent(const char* kind, const Task&, const std::string& detail);
    void recordEvent(const char* kind, std::vector<EventField> fields)
    {
        m_events.push_back({ kind, std::move(fields) });
    }
    void markRow(Task& task, RowPriority priority) { m_rows.mark(task, priority); }

    [[nodiscard]] std::vector<RowChange> takeRows(std::size_t max);
    void onStored(const std::vector<RowChange>&);
    void onNotStored(const std::vector<RowChange>&);
    [[nodiscard]] bool isStored(const TaskId&) const;

    // The next start whose row is stored. From then on it counts as sent.
    [[nodiscard]] std::optional<StartAction> takeStart(TimePoint now);
    [[nodiscard]] std::optional<OrderAction> takeOrder();
    [[nodiscard]] std::vector<WorkEvent> takeEvents() { return std::exchange(m_events, {}); }

    [[nodiscard]] const SchedulerSettings& settings() const { return m_settings; }
    [[nodiscard]] FleetView& fleet() { return m_fleet; }
    [[nodiscard]] const FleetView& fleet() const { return m_fleet; }
    [[nodiscard]] TaskQueue& queue() { return m_queue; }
    [[nodiscard]] TeamShares& shares() { return m_shares; }
    [[nodiscard]] const TeamShares& shares() const { return m_shares; }
    [[nodiscard]] std::size_t taskCount() const { return m_tasks.size(); }
    [[nodiscard]] const std::unordered_map<TaskId, Task>& tasks() const { return m_tasks; }
    [[nodiscard]] std::size_t waitingCount() const { return m_queue.size() + m_delayed.size(); }
    // Tasks of the job that have not ended.
    [[nodiscard]] std::size_t activeTaskCount(const JobId&) const;
    // The job's queued tasks, including delayed ones.
    [[nodiscard]] std::vector<Task*> waitingTasksOf(const JobId&);
    // Resources reserved in the pool for pinned tasks, which are neither urgent nor idempotent.
    [[nodiscard]] Resources pinned(const PoolId&) const;

private:
    // Orders urgent tasks first, then by due time.
    struct DelayedKey {
        bool isNormal { false };
        TimePoint due {};
        TaskId task;

        auto operator<=>(const DelayedKey&) const = default;
    };

    void enqueue(Task&, TimePoint now);
    void release(Task&);
    void reserve(Task&, Worker&, const Resources& need);
    void resetStart(Task&);

    const SchedulerSettings m_settings;
    const std::string m_owner;
    std::uint64_t m_operations { 0 };
    std::unordered_map<TaskId, Task> m_tasks;
    std::unordered_map<JobId, std::size_t> m_activeTaskCounts;
    std::unordered_map<PoolId, Resources> m_pinned;
    FleetView m_fleet;
    TaskQueue m_queue;
    TeamShares m_shares;
    SizeModel m_sizes;
    RowQueue m_rows;
    TokenBucket m_restarts;
    std::set<DelayedKey> m_delayed;
    std::deque<TaskId> m_storedStarts;
    std::deque<OrderAction> m_orders;
    // Ended tasks that are still in m_tasks, roughly in order of their end.
    std::deque<std::pair<TimePoint, TaskId>> m_ended;
    // Ended tasks of which only the row is left, in order of removal from m_tasks.
    std::deque<std::pair<TimePoint, TaskId>> m_expiring;
    std::unordered_set<TaskId> m_archived;
    std::vector<TaskId> m_deletions;
    std::vector<WorkEvent> m_events;
};

} // namespace fulmar::work
