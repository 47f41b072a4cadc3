#pragma once

#include "work/task_placer.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::work {

// Schedules the tasks of one shard on workers. Does no I/O and reads no clock: the caller passes in events
// with their time, takes out rows to store and calls to make, and reports the results back.
class Scheduler {
public:
    // `owner` is unique to this term of ownership of the shard; it is the prefix of operation ids.
    Scheduler(SchedulerSettings, std::string owner);

    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    // Refuses tasks that cannot run: larger than every worker of the pool, or of a broken job, which keeps
    // failing on workers where other jobs succeed. One task of a broken job at a time is admitted, after a
    // pause since its last failure.
    [[nodiscard]] Result<void> admit(const TaskSpec&, TimePoint now) const;

    // Adds a task whose row is stored: just accepted, or loaded by a new owner.
    void add(TaskRecord, Moment);

    // Null if the task is not in memory: unknown, or ended longer than endedInMemory ago.
    [[nodiscard]] const TaskRecord* find(const TaskId&) const;

    // Requests cancellation. An ended task keeps its state, a task that was not started is cancelled at once,
    // and a task that may run is stopped. The result is valid only once the row is stored.
    [[nodiscard]] Result<TaskRecord> cancel(const TaskId&, Moment);

    // True if the task has ended and only its row in the table is left.
    [[nodiscard]] bool isArchived(const TaskId& id) const { return m_registry.isArchived(id); }

    // True if the task's row in the table is up to date.
    [[nodiscard]] bool isStored(const TaskId& id) const { return m_registry.isStored(id); }

    void setQuota(const TeamConfig& quota) { m_registry.shares().setQuota(quota); }
    // Withdrawn workers get no tasks. Their VM is not serving, which the platform's lagging list may not show
    // yet.
    void setWithdrawn(const VmId&, bool);
    // Start of the next maintenance step that includes the worker; empty if none is planned.
    void setMaintenance(const VmId&, std::optional<TimePoint>);

    void onReports(const std::vector<WorkerReport>&, Moment);
    void onStartResult(const StartAction&, const Result<void>&, Moment);
    void onRenewResult(const RenewAction&, const Result<void>&, TimePoint now);
    void onOrderResult(const OrderAction&, const Result<void>&, TimePoint now);

    // Queues lease renewals that are due. plan() includes this; an owner whose lease on the shard has lapsed
    // calls only this.
    void queueRenewals(TimePoint now);

    // Makes all decisions that are due: lease expiry, quarantine, evictions, restarts and placement.
    void plan(Moment);

    // Rows to store, in order of priority. The caller returns each to onStored or onNotStored.
    [[nodiscard]] std::vector<RowChange> takeRows(std::size_t max) { return m_registry.takeRows(max); }
    void onStored(const std::vector<RowChange>& rows) { m_registry.onStored(rows); }
    void onNotStored(const std::vector<RowChange>& rows) { m_registry.onNotStored(rows); }

    // Calls to make to workers. A start counts as sent once it is taken.
    [[nodiscard]] std::optional<StartAction> takeStart(TimePoint now) { return m_registry.takeStart(now); }
    [[nodiscard]] std::optional<RenewAction> takeRenewal(TimePoint now);
    [[nodiscard]] std::optional<OrderAction> takeOrder() { return m_registry.takeOrder(); }
    // Timeline events since the last call.
    [[nodiscard]] std::vector<WorkEvent> takeEvents() { return m_registry.takeEvents(); }

    [[nodiscard]] std::size_t taskCount() const { return m_registry.taskCount(); }
    [[nodiscard]] std::size_t waitingCount() const { return m_registry.waitingCount(); }
    [[nodiscard]] std::size_t quarantinedCount() const { return m_quarantine.size(); }
    [[nodiscard]] const TaskRegistry& registry() const { return m_registry; }

private:
    [[nodiscard]] Task* taskOf(const Worker&, const TaskReport&);
    void apply(Task&, const TaskReport&, Moment);
    void onRunning(Task&, const TaskReport&, Moment);
    void onFinished(Task&, const TaskReport&, Moment);
    void onFailed(Task&, const std::string& detail, Moment);
    // Requeues a failed task, or ends it as CannotRun if its job is known as broken, the evidence implicates
    // its job, or it had too many starts.
    void retryOrGiveUp(Task&, const std::string& detail, Moment);
    void stopJobIfBroken(const JobId&, const PoolId&, Moment);
    void relieveOverload(const Worker&, Moment);
    void updateQuarantine(Moment);
    void checkLeases(Moment);
    void checkLease(Task&, bool workerIsGone, Moment);

    TaskRegistry m_registry;
    Evictor m_evictor;
    FaultEvidence m_evidence;
    Quarantine m_quarantine;
    TaskPlacer m_placer;
    // Broken jobs, with the time from which another of their tasks may be tried.
    std::unordered_map<JobId, TimePoint> m_brokenJobs;
    std::deque<VmId> m_renewals;
    TimePoint m_leasesCheckedAt {};
    TimePoint m_quarantineUpdatedAt {};
};

} // namespace fulmar::work
