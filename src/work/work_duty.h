#pragma once

#include "config/model.h"
#include "core/event.h"
#include "platform/table.h"
#include "platform/workers.h"
#include "work/row_writer.h"
#include "work/scheduler.h"
#include "work/submission_batcher.h"

#include <fmt/format.h>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace fulmar::work {

// The lease that makes this process the owner of a shard.
template <typename L>
concept ShardLease = requires(const L& lease, TimePoint now) {
    // True while this process may act as the owner.
    {
        lease.held(now)
    } -> std::same_as<bool>;
    // The lease row at the version that this process wrote. All writes of the owner are conditional on it.
    {
        lease.condition()
    } -> std::same_as<Condition>;
};

struct WorkSettings {
    // Name of the shard: rows are `task/<shard>/<id>`.
    std::string shard { "0" };
    SchedulerSettings scheduler;
    std::chrono::milliseconds reportInterval { 2'000 };
    // Pause after a failed call to the table, and between reads of the sequence while suspended.
    std::chrono::milliseconds tableBackoff { 250 };
    // Time limit per step for calls to workers.
    std::chrono::milliseconds callBudget { 60 };
    // Maximum number of rows in one transaction.
    std::size_t batchRows { 256 };
    // Maximum number of submissions that wait to be stored.
    std::size_t maxSubmissions { 20'000 };
};

// A request to cancel a task. `done` gets the record once the request is stored; state Starting or
// Running with cancelRequested means that the worker is being told to stop the task.
struct CancelTask {
    TaskId task;
    TimePoint deadline {};
    TaskReply done;
};

// Runs the scheduler of one shard of tasks while this control process holds the shard's lease: loads and
// stores rows, polls and calls the workers, and answers callers. All functions run on the duty's thread;
// step() is called every 50 to 100 ms.
template <PlatformClient P, WorkerClient W, Clock C, ShardLease L> class WorkDuty {
public:
    WorkDuty(WorkSettings settings, ProcessId process, P& platform, W& workers, const C& clock,
        const L& lease, EventLog& events)
        : m_settings(std::move(settings))
        , m_process(std::move(process))
        , m_platform(platform)
        , m_workers(workers)
        , m_clock(clock)
        , m_lease(lease)
        , m_events(events)
        , m_batcher(m_settings.maxSubmissions)
    {
    }

    [[nodiscard]] bool owns() const { return m_scheduler != nullptr; }
    // Null unless owns().
    [[nodiscard]] const Scheduler* scheduler() const { return m_scheduler.get(); }

    void submit(SubmitTask&& submission)
    {
        if (!isActiveOwner())
            return submission.done(notRun(Reason::LeaseLost, notOwner));
        auto known = status(submission.spec.task);
        if (known && known->spec != submission.spec)
            known = notRun(Reason::Conflict, "a different task has the same id");
        if (known || known.error().reason != Reason::NotFound)
            return submission.done(std::move(known));
        if (auto admitted = m_scheduler->admit(submission.spec, m_clock.now()); !admitted)
            return submission.done(tl::unexpected(admitted.error()));
        m_batcher.submit(std::move(submission), m_clock.wallNow());
    }

    // Blocks on a read of the table if the task has ended and only its row is left.
    [[nodiscard]] Result<TaskRecord> status(const TaskId& id)
    {
        if (!isActiveOwner())
            return notRun(Reason::LeaseLost, notOwner);
        if (const auto* record = m_scheduler->find(id))
            return *record;
        if (m_scheduler->isArchived(id))
            return readRow(id);
        return notRun(Reason::NotFound, fmt::format("no task {}", id.value()));
    }

    void cancel(CancelTask&& request)
    {
        if (!isActiveOwner())
            return request.done(notRun(Reason::LeaseLost, notOwner));
        if (m_scheduler->isArchived(request.task))
            return request.done(readRow(request.task));
        auto record = m_scheduler->cancel(request.task, moment());
        if (!record || m_scheduler->isStored(request.task))
            return request.done(std::move(record));
        m_cancels.emplace(request.task, std::move(request));
    }

    // Handles a new, changed or deleted configuration row of a team (its quota) or a VM (whether it is
    // serving). Ignores other rows.
    void onConfig(const Row& row)
    {
        if (row.key.starts_with(keys::teamPrefix)) {
            if (auto team = decode<TeamConfig>(row.value); team && !row.deleted)
                setQuota(*team);
            else if (row.deleted)
                setQuota({ TeamId(row.key.substr(std::string_view(keys::teamPrefix).size())), 0, 0, 0 });
        } else if (row.key.starts_with(keys::vmPrefix)) {
            VmId vm(row.key.substr(std::string_view(keys::vmPrefix).size()));
            auto record = decode<VmRecord>(row.value);
            auto isServing = row.deleted || !record || record->state == VmState::Serving;
            if (isServing)
                m_withdrawn.erase(vm);
            else
                m_withdrawn.insert(vm);
            if (m_scheduler)
                m_scheduler->setWithdrawn(vm, !isServing);
        }
    }

    void setQuota(const TeamConfig& team)
    {
        m_quotas[team.team] = team;
        if (m_scheduler)
            m_scheduler->setQuota(team);
    }

    // Start of the next maintenance step that includes the worker; empty if none is planned.
    void setMaintenance(const VmId& worker, std::optional<TimePoint> at)
    {
        m_maintenance[worker] = at;
        if (m_scheduler)
            m_scheduler->setMaintenance(worker, at);
    }

    // Releases the shard and answers all waiting callers before the process exits.
    void shutDown() { release("the process is shutting down"); }

    // One round: polls the workers' reports, makes decisions, stores rows and calls workers.
    void step()
    {
        auto now = m_clock.now();
        if (!m_lease.held(now)) {
            suspend();
            keepAlive();
            return;
        }
        if (!m_scheduler && !load())
            return;
        if (m_suspended && !resume())
            return;
        listWorkers();
        m_scheduler->plan(moment());
        store();
        if (!m_scheduler)
            return;
        callWorkers();
        expire(m_clock.now());
        recordEvents();
    }

private:
    static constexpr auto notOwner = "this process does not own the shard";

    // The open batch: row changes of known tasks, and new submissions.
    struct Batch {
        std::vector<RowChange> changes;
        std::vector<TaskRecord> submissions;
    };

    [[nodiscard]] bool isActiveOwner() const
    {
        return m_scheduler && !m_suspended && m_lease.held(m_clock.now());
    }

    [[nodiscard]] Moment moment() const { return { m_clock.now(), m_clock.wallNow() }; }

    [[nodiscard]] std::string rowPrefix() const
    {
        return fmt::format("{}{}/", keys::taskPrefix, m_settings.shard);
    }

    // Takes over the shard: reads its rows and creates its scheduler. Returns false if the table does not
    // answer.
    bool load()
    {
        if (m_clock.now() < m_tableRetryAt)
            return false;
        auto sequenceKey = fmt::format("task-sequence/{}", m_settings.shard);
        auto sequence = m_platform.read(sequenceKey, 0);
        if (!sequence)
            return backOff();
        auto rows = m_platform.read(rowPrefix(), 0);
        if (!rows)
            return backOff();
        auto condition = m_lease.condition();
        auto owner = fmt::format("{}-{}", m_process.value(), condition.version);
        m_writer = std::make_unique<RowWriter>(sequenceKey, owner);
        m_writer->start(versionOf(*sequence, sequenceKey));
        m_scheduler = std::make_unique<Scheduler>(m_settings.scheduler, owner);
        for (const auto& [team, quota] : m_quotas)
            m_scheduler->setQuota(quota);
        takeOver(*rows);
        m_nextListAt = {};
        return true;
    }

    // Adds the tasks of all rows. A row that cannot be decoded is left unchanged and recorded as an event.
    void takeOver(const Changes& rows)
    {
        for (const auto& row : rows.rows) {
            if (row.deleted)
                continue;
            if (auto record = decodeTask(row.value))
                m_scheduler->add(std::move(*record), moment());
            else
                m_events.record(m_clock.wallNow(), "task-row-unreadable",
                    { { "key", row.key }, { "error", record.error().detail } });
        }
        m_events.record(m_clock.wallNow(), "work-shard-loaded",
            { { "shard", m_settings.shard }, { "tasks", std::to_string(m_scheduler->taskCount()) } });
    }

    Result<TaskRecord> readRow(const TaskId& id)
    {
        auto key = rowPrefix() + id.value();
        auto changes = m_platform.read(key, 0);
        if (!changes)
            return tl::unexpected(changes.error());
        for (const auto& row : changes->rows)
            if (row.key == key && !row.deleted)
                return decodeTask(row.value);
        return notRun(Reason::NotFound, fmt::format("no task {}", id.value()));
    }

    static Version versionOf(const Changes& changes, const std::string& key)
    {
        for (const auto& row : changes.rows)
            if (row.key == key && !row.deleted)
                return row.version;
        return 0;
    }

    bool backOff()
    {
        m_tableRetryAt = m_clock.now() + m_settings.tableBackoff;
        return false;
    }

    // The lease on the shard has lapsed, perhaps because the table is unavailable. Until it is known whether
    // another process has taken over, nothing is started or stored; only the leases of running tasks are
    // renewed.
    void suspend()
    {
        if (!m_scheduler || m_suspended)
            return;
        m_suspended = true;
        m_events.record(m_clock.wallNow(), "work-shard-suspended", { { "shard", m_settings.shard } });
        answerAll("the lease on the shard has lapsed");
    }

    // Renews the leases of running tasks. This is safe even if another process owns the shard, as it starts
    // nothing.
    void keepAlive()
    {
        if (!m_scheduler)
            return;
        listWorkers();
        m_scheduler->queueRenewals(m_clock.now());
        renewLeases(m_clock.now() + m_settings.callBudget);
        if (m_clock.now() < m_tableRetryAt || !m_writer->idle())
            return;
        // Limits the rate of these reads to one per tableBackoff.
        backOff();
        if (auto sequence = m_platform.read(m_writer->sequenceKey(), 0); sequence && !isUnchanged(*sequence))
            release("another process has written the shard");
    }

    [[nodiscard]] bool isUnchanged(const Changes& sequence) const
    {
        return versionOf(sequence, m_writer->sequenceKey()) == m_writer->sequence();
    }

    // The lease is held again. If the shard was not written since, the state in memory is still valid, as
    // another owner must write a row before each start.
    bool resume()
    {
        if (m_clock.now() < m_tableRetryAt)
            return false;
        if (!m_writer->idle()) {
            commit(m_writer->retry(m_lease.condition()));
            if (!m_scheduler || !m_writer->idle())
                return false;
        } else {
            auto sequence = m_platform.read(m_writer->sequenceKey(), 0);
            if (!sequence)
                return backOff();
            if (!isUnchanged(*sequence)) {
                release("another process has written the shard");
                return false;
            }
        }
        m_suspended = false;
        m_events.record(m_clock.wallNow(), "work-shard-resumed", { { "shard", m_settings.shard } });
        return true;
    }

    void release(const std::string& cause)
    {
        if (!m_scheduler)
            return;
        recordEvents();
        m_events.record(
            m_clock.wallNow(), "work-shard-released", { { "shard", m_settings.shard }, { "cause", cause } });
        answerAll(cause);
        m_batch = {};
        m_scheduler.reset();
        m_writer.reset();
        m_suspended = false;
    }

    // Answers all waiting callers with the outcome as far as it is known.
    void answerAll(const std::string& cause)
    {
        m_batcher.abandon(cause);
        auto cancels = std::move(m_cancels);
        m_cancels.clear();
        for (auto& [id, request] : cancels)
            request.done(mayHaveRun(Reason::LeaseLost, "the cancellation may not be stored: " + cause));
    }

    void listWorkers()
    {
        if (m_clock.now() < m_nextListAt)
            return;
        m_nextListAt = m_clock.now() + m_settings.reportInterval;
        auto reports = m_workers.listWorkers();
        if (!reports)
            return;
        m_scheduler->onReports(*reports, moment());
        for (const auto& vm : m_withdrawn)
            m_scheduler->setWithdrawn(vm, true);
        for (const auto& [worker, at] : m_maintenance)
            m_scheduler->setMaintenance(worker, at);
    }

    // Retries the open batch if there is one, else writes the next.
    void store()
    {
        if (m_clock.now() < m_tableRetryAt)
            return;
        if (!m_writer->idle()) {
            commit(m_writer->retry(m_lease.condition()));
            return;
        }
        m_batch.submissions = m_batcher.takeBatch(m_settings.batchRows / 2);
        m_batch.changes = m_scheduler->takeRows(m_settings.batchRows - m_batch.submissions.size());
        if (m_batch.changes.empty() && m_batch.submissions.empty())
            return;
        commit(m_writer->begin(writes(), m_lease.condition()));
    }

    [[nodiscard]] std::vector<Write> writes() const
    {
        std::vector<Write> result;
        result.reserve(m_batch.submissions.size() + m_batch.changes.size() + 1);
        for (const auto& record : m_batch.submissions)
            result.push_back({ rowPrefix() + record.spec.task.value(), encode(record), false });
        for (const auto& change : m_batch.changes)
            result.push_back({ rowPrefix() + change.record.spec.task.value(),
                change.deletes ? "" : encode(change.record), change.deletes });
        return result;
    }

    void commit(const Transaction& transaction)
    {
        auto outcome = m_writer->onCommit(m_platform.commit(transaction));
        if (outcome == BatchOutcome::NeedsReadBack)
            outcome = m_writer->onReadBack(m_platform.read(m_writer->sequenceKey(), 0));
        if (outcome == BatchOutcome::Committed)
            onCommitted();
        else
            backOff();
        if (outcome == BatchOutcome::NotCommitted) {
            m_batcher.onNotCommitted(m_batch.submissions);
            m_scheduler->onNotStored(m_batch.changes);
            m_batch = {};
        }
        if (m_writer->displaced())
            release("another process has written the shard");
    }

    void onCommitted()
    {
        auto batch = std::move(m_batch);
        m_batch = {};
        for (const auto& record : batch.submissions)
            m_scheduler->add(record, moment());
        m_scheduler->onStored(batch.changes);
        m_batcher.onCommitted(batch.submissions);
        for (const auto& change : batch.changes)
            if (change.record.cancelRequested || isFinal(change.record.state))
                answerCancels(change.record.spec.task, change.record);
    }

    void answerCancels(const TaskId& id, const Result<TaskRecord>& result)
    {
        while (auto node = m_cancels.extract(id))
            node.mapped().done(result);
    }

    // Checks the lease before each call, as it may lapse between two calls.
    void callWorkers()
    {
        auto until = m_clock.now() + m_settings.callBudget;
        auto mayCall = [&] { return m_clock.now() < until && m_lease.held(m_clock.now()); };
        while (mayCall())
            if (auto action = m_scheduler->takeOrder())
                m_scheduler->onOrderResult(*action,
                    m_workers.orderTask(action->worker, action->task, action->order, action->operation),
                    m_clock.now());
            else
                break;
        while (mayCall())
            if (auto action = m_scheduler->takeStart(m_clock.now()))
                m_scheduler->onStartResult(
                    *action, m_workers.startTask(action->worker, action->start), moment());
            else
                break;
        renewLeases(until);
    }

    void renewLeases(TimePoint until)
    {
        while (m_clock.now() < until)
            if (auto action = m_scheduler->takeRenewal(m_clock.now()))
                m_scheduler->onRenewResult(*action,
                    m_workers.renewLeases(action->worker, action->tasks, m_settings.scheduler.lease),
                    m_clock.now());
            else
                break;
    }

    void expire(TimePoint now)
    {
        m_batcher.expire(now);
        std::vector<TaskId> late;
        for (const auto& [id, request] : m_cancels)
            if (request.deadline <= now)
                late.push_back(id);
        for (const auto& id : late)
            answerCancels(id,
                mayHaveRun(
                    Reason::StoreUnavailable, "the cancellation is not stored yet; query the task's status"));
    }

    void recordEvents()
    {
        for (auto& event : m_scheduler->takeEvents())
            m_events.record(m_clock.wallNow(), std::move(event.kind), std::move(event.fields));
    }

    const WorkSettings m_settings;
    const ProcessId m_process;
    P& m_platform;
    W& m_workers;
    const C& m_clock;
    const L& m_lease;
    EventLog& m_events;
    std::unique_ptr<Scheduler> m_scheduler;
    std::unique_ptr<RowWriter> m_writer;
    // The lease on the shard has lapsed and no other process is known to have taken over.
    bool m_suspended { false };
    SubmissionBatcher m_batcher;
    Batch m_batch;
    std::unordered_multimap<TaskId, CancelTask> m_cancels;
    std::unordered_map<TeamId, TeamConfig> m_quotas;
    std::unordered_map<VmId, std::optional<TimePoint>> m_maintenance;
    std::unordered_set<VmId> m_withdrawn;
    TimePoint m_nextListAt {};
    TimePoint m_tableRetryAt {};
};

} // namespace fulmar::work
