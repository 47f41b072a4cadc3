#pragma once

#include "work/task_placer.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::work {

// Decides for one shard which task runs where. Pure: what happens is fed in with the time, what is to be done
// is taken out. The caller stores rows, calls workers and reports the results back.
class Scheduler {
public:
    // `owner` is unique to this ownership of the shard; start operations are named after it.
    Scheduler(SchedulerSettings, std::string owner);

    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    // Refuses what can never run: larger than every worker of its pool, or of a job that keeps failing on
    // workers where others succeed. The second is tried again now and then.
    [[nodiscard]] Result<void> admit(const TaskSpec&, TimePoint now) const;

    // Takes a task whose row is stored: just accepted, or read by a new owner.
    void add(TaskRecord, Moment);

    // Null if the task is unknown or its row was deleted after its end.
    [[nodiscard]] const TaskRecord* find(const TaskId&) const;

    // Asks for the end of a task. A task already ended keeps its end; one never started is cancelled at once;
    // one that may run is stopped. The result counts once its row is stored.
    [[nodiscard]] Result<TaskRecord> cancel(const TaskId&, Moment);

    // True if the task has ended and is known by its row alone.
    [[nodiscard]] bool isArchived(const TaskId& id) const { return m_registry.isArchived(id); }

    // True if the task's row in the table is as it is here.
    [[nodiscard]] bool isStored(const TaskId& id) const { return m_registry.isStored(id); }

    void setQuota(const TeamConfig& quota) { m_registry.shares().setQuota(quota); }
    // A worker whose VM is not serving gets no tasks, whatever the platform's lagging list says.
    void setWithdrawn(const VmId&, bool);
    // When the next maintenance step takes a worker; empty if none is planned.
    void setMaintenance(const VmId&, std::optional<TimePoint>);

    void onReports(const std::vector<WorkerReport>&, Moment);
    void onStartResult(const StartAction&, const Result<void>&, Moment);
    void onRenewResult(const RenewAction&, const Result<void>&, TimePoint now);
    void onOrderResult(const OrderAction&, const Result<void>&, TimePoint now);

    // Queues the renewals that are due; part of plan(), and all that an owner does whose lease on the shard
    // has lapsed.
    void queueRenewals(TimePoint now);

    // Decides what the time and the latest events call for.
    void plan(Moment);

    // Rows to store, most pressing first; each goes back by onStored or onNotStored.
    [[nodiscard]] std::vector<RowChange> takeRows(std::size_t max) { return m_registry.takeRows(max); }
    void onStored(const std::vector<RowChange>& rows) { m_registry.onStored(rows); }
    void onNotStored(const std::vector<RowChange>& rows) { m_registry.onNotStored(rows); }

    // Calls to make. A start taken counts as sent, whatever becomes of it.
    [[nodiscard]] std::optional<StartAction> takeStart(TimePoint now) { return m_registry.takeStart(now); }
    [[nodiscard]] std::optional<RenewAction> takeRenewal(TimePoint now);
    [[nodiscard]] std::optional<OrderAction> takeOrder() { return m_registry.takeOrder(); }
    // What happened since the last call, for the time line.
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
    // A task that has failed is tried elsewhere, unless the evidence or the number of tries is against it.
    void retryOrGiveUp(Task&, const std::string& detail, Moment);
    void stopJobIfBroken(const JobId&, const PoolId&, Moment);
    void relieveOverload(const Worker&, Moment);
    void evaluateWorkers(Moment);
    void sweep(Moment);
    void sweepTask(Task&, bool workerIsGone, Moment);

    TaskRegistry m_registry;
    Evictor m_evictor;
    FaultEvidence m_evidence;
    Quarantine m_quarantine;
    TaskPlacer m_placer;
    // Jobs that keep failing, and when one of their tasks is next tried.
    std::unordered_map<JobId, TimePoint> m_brokenJobs;
    std::deque<VmId> m_renewals;
    TimePoint m_sweptAt {};
    TimePoint m_evaluatedAt {};
};

} // namespace fulmar::work
