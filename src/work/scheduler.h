#pragma once

#include "core/event.h"
#include "work/fleet_view.h"
#include "work/placement.h"
#include "work/row_queue.h"
#include "work/size_model.h"
#include "work/task_queue.h"
#include "work/team_shares.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar {

struct SchedulerSettings {
    FillLimits fill;
    // Part of each team's quota that counts in this shard, 0 to 1.
    double shardShare { 1 };
    // Lease given to a running task, and how often it is renewed.
    std::chrono::milliseconds lease { 30'000 };
    std::chrono::milliseconds renewInterval { 10'000 };
    // A worker's report may be this old.
    std::chrono::milliseconds reportLag { 10'000 };
    // A worker absent from the list for this long gets no tasks.
    std::chrono::milliseconds missingAfter { 30'000 };
    // Rows of ended tasks are deleted after this time.
    std::chrono::seconds retention { 900 };
};

struct StartAction {
    VmId worker;
    TaskStart start;
};

struct RenewAction {
    VmId worker;
    std::vector<TaskId> tasks;
};

struct OrderAction {
    VmId worker;
    TaskId task;
    TaskOrder order { TaskOrder::Stop };
    OperationId operation;
};

struct WorkEvent {
    std::string kind;
    std::vector<EventField> fields;
};

// Decides for one shard which task runs where. Pure: what happens is fed in with the time, what is to be done
// is taken out. The caller stores rows, calls workers and reports the results back.
class Scheduler {
public:
    // `owner` is unique to this ownership of the shard; start operations are named after it.
    Scheduler(SchedulerSettings, std::string owner);

    // Refuses what can never run: larger than every worker of its pool.
    [[nodiscard]] Result<void> admit(const TaskSpec&) const;

    // Takes a task whose row is stored: just accepted, or read by a new owner.
    void add(TaskRecord, TimePoint now);

    [[nodiscard]] const TaskRecord* find(const TaskId&) const;

    // Asks for the end of a task. A task already ended keeps its end; one never started is cancelled at once;
    // one that may run is stopped. The result counts once its row is stored.
    [[nodiscard]] Result<TaskRecord> cancel(const TaskId&, TimePoint now, WallTime wallNow);

    // True if the task's row in the table is as it is here.
    [[nodiscard]] bool isStored(const TaskId&) const;

    void setQuota(const TeamConfig& quota) { m_shares.setQuota(quota); }
    // When the next maintenance step takes a worker; empty if none is planned.
    void setMaintenance(const VmId&, std::optional<TimePoint>);

    void onReports(const std::vector<WorkerReport>&, TimePoint now, WallTime wallNow);
    void onStartResult(const StartAction&, const Result<void>&, TimePoint now, WallTime wallNow);
    void onRenewResult(const RenewAction&, const Result<void>&, TimePoint now);
    void onOrderResult(const OrderAction&, const Result<void>&, TimePoint now);

    // Decides what the time and the latest events call for.
    void plan(TimePoint now, WallTime wallNow);

    // Rows to store, most pressing first; each goes back by onStored or onNotStored.
    [[nodiscard]] std::vector<RowChange> takeRows(std::size_t max);
    void onStored(const std::vector<RowChange>&, TimePoint now);
    void onNotStored(const std::vector<RowChange>&);

    // Calls to make. A start taken counts as sent, whatever becomes of it.
    [[nodiscard]] std::optional<StartAction> takeStart(TimePoint now);
    [[nodiscard]] std::optional<RenewAction> takeRenewal(TimePoint now);
    [[nodiscard]] std::optional<OrderAction> takeOrder();

    // What happened since the last call, for the time line.
    [[nodiscard]] std::vector<WorkEvent> takeEvents() { return std::exchange(m_events, {}); }

    [[nodiscard]] std::size_t taskCount() const { return m_tasks.size(); }
    [[nodiscard]] std::size_t waitingCount() const { return m_queue.size(); }
    [[nodiscard]] const FleetView& fleet() const { return m_fleet; }
    [[nodiscard]] const TeamShares& shares() const { return m_shares; }

private:
    void enqueue(Task&, TimePoint now);
    void release(Task&);
    void place(Task&, Worker&, const Resources& need, TimePoint now, WallTime wallNow);
    void end(Task&, TaskState, std::string detail, TimePoint now, WallTime wallNow);
    void confirm(Task&, WallTime wallNow);
    void lose(Task&, const std::string& cause, TimePoint now, WallTime wallNow);
    void markRow(Task&, RowUrgency);
    void note(const char* kind, const Task&, const std::string& detail);
    void order(Task&, TaskOrder);
    void apply(Worker&, const TaskReport&, TimePoint now, WallTime wallNow);
    void onStopped(Task&, TimePoint now, WallTime wallNow);
    void sweep(TimePoint now, WallTime wallNow);
    void sweepTask(Task&, TimePoint now, WallTime wallNow);
    void fillPool(const PoolId&, PoolLines&, TimePoint now, WallTime wallNow);
    void fillLane(const PoolId&, TeamLines&, TimePoint now, WallTime wallNow);
    bool tryPlace(Task&, TimePoint now, WallTime wallNow);
    [[nodiscard]] Task* lookUp(const TaskId&);

    const SchedulerSettings m_settings;
    const std::string m_owner;
    std::uint64_t m_operations { 0 };
    std::unordered_map<TaskId, Task> m_tasks;
    FleetView m_fleet;
    TaskQueue m_queue;
    TeamShares m_shares;
    SizeModel m_sizes;
    RowQueue m_rows;
    std::deque<TaskId> m_ready;
    std::deque<OrderAction> m_orders;
    std::deque<VmId> m_renewals;
    // Ended tasks in the order of their end.
    std::deque<std::pair<TimePoint, TaskId>> m_ended;
    std::vector<WorkEvent> m_events;
    TimePoint m_sweptAt {};
};

} // namespace fulmar
