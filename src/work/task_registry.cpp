#include "work/task_registry.h"

#include <cassert>
#include <fmt/format.h>

namespace fulmar::work {

namespace {

std::string formatContact(const Task& task)
{
    return fmt::format("ask team {} and worker {}, start {}", task.record.spec.team.value(),
        task.record.worker.value(), task.record.start.value());
}

// A pinned task may wait, as it is not urgent, but must not be stopped once it runs.
bool isPinned(const TaskSpec& spec) { return !spec.idempotent && !spec.urgent; }

} // namespace

TaskRegistry::TaskRegistry(SchedulerSettings settings, std::string owner)
    : m_settings(settings)
    , m_owner(std::move(owner))
    , m_shares(settings.shardShare)
    , m_restarts(settings.restartsPerSecond, settings.restartBurst)
{
}

// A task that was starting or running under an earlier owner may still run. Its resources stay reserved until
// a report or the expiry of its lease shows the outcome.
bool TaskRegistry::add(TaskRecord record, Moment moment)
{
    auto id = record.spec.task;
    auto [position, isNew] = m_tasks.try_emplace(std::move(id));
    if (!isNew)
        return false;
    auto& task = position->second;
    task.record = std::move(record);
    task.usage = &m_sizes.usageOf(task.record.spec.job);
    if (isFinal(task.record.state)) {
        m_ended.emplace_back(moment.now, task.id());
        return true;
    }
    ++m_activeTaskCounts[task.record.spec.job];
    if (task.record.state == TaskState::Queued) {
        enqueue(task, moment.now);
        return true;
    }
    task.startStep = StartStep::Uncertain;
    task.startedAt = moment.now;
    task.checkpointAt = moment.now;
    task.reportedAt = moment.now;
    task.leaseUntil = moment.now + m_settings.lease;
    auto& worker = m_fleet.findOrAdd(task.record.worker, task.record.spec.pool, moment.now);
    reserve(task, worker, estimateSize(*task.usage, task.record.spec.size));
    return true;
}

Task* TaskRegistry::find(const TaskId& id)
{
    auto position = m_tasks.find(id);
    return position == m_tasks.end() ? nullptr : &position->second;
}

const Task* TaskRegistry::find(const TaskId& id) const
{
    auto position = m_tasks.find(id);
    return position == m_tasks.end() ? nullptr : &position->second;
}

void TaskRegistry::resetStart(Task& task)
{
    task.startStep = StartStep::None;
    task.eviction = Eviction::None;
    task.stopUpdatedAt.reset();
    task.stopConfirmed = false;
    task.throttled = false;
    task.awaitedEvictions.clear();
}

void TaskRegistry::enqueue(Task& task, TimePoint now)
{
    assert(!task.inQueue && !task.placed);
    resetStart(task);
    task.record.state = TaskState::Queued;
    task.queuedAt = now;
    task.inQueue = true;
    m_queue.push(task);
}

void TaskRegistry::reserve(Task& task, Worker& worker, const Resources& need)
{
    FleetView::place(task, worker, need);
    m_shares.addUsage(task.record.spec, need);
    if (isPinned(task.record.spec))
        m_pinned[task.record.spec.pool] += need;
}

void TaskRegistry::release(Task& task)
{
    if (task.inQueue) {
        m_queue.remove(task);
        task.inQueue = false;
    }
    if (!task.placed)
        return;
    m_shares.removeUsage(task.record.spec, task.reserved);
    if (isPinned(task.record.spec))
        m_pinned[task.record.spec.pool] -= task.reserved;
    FleetView::release(task);
}

void TaskRegistry::place(
    Task& task, Worker& worker, const Resources& need, Moment moment, std::vector<TaskId> awaitedEvictions)
{
    assert(task.inQueue && !task.record.cancelRequested);
    m_queue.remove(task);
    task.inQueue = false;
    reserve(task, worker, need);
    task.awaitedEvictions = std::move(awaitedEvictions);
    task.record.state = TaskState::Starting;
    task.record.worker = worker.id;
    task.record.start = OperationId(fmt::format("{}/s{}", m_owner, ++m_operations));
    task.record.changed = moment.wallNow;
    ++task.record.starts;
    task.startStep = StartStep::Unstored;
    task.startedAt = moment.now;
    task.checkpointAt = moment.now;
    task.checkpointStoredAt = moment.now;
    markRow(task, task.record.spec.urgent ? RowPriority::Urgent : RowPriority::Awaited);
}

void TaskRegistry::confirm(Task& task, Moment moment)
{
    if (task.startStep == StartStep::Confirmed)
        return;
    task.startStep = StartStep::Confirmed;
    task.record.state = TaskState::Running;
    task.record.changed = moment.wallNow;
    recordEvent("task-running", task, "");
}

void TaskRegistry::requeue(Task& task, const std::string& cause, Moment moment, std::optional<Duration> delay)
{
    recordEvent("task-requeued", task, cause);
    release(task);
    task.record.detail = cause;
    task.record.changed = moment.wallNow;
    if (delay) {
        resetStart(task);
        task.record.state = TaskState::Queued;
        m_delayed.insert({ !task.record.spec.urgent, moment.now + *delay, task.id() });
    } else {
        enqueue(task, moment.now);
    }
    markRow(task, RowPriority::Deferrable);
}

void TaskRegistry::markLost(Task& task, const std::string& cause, Moment moment)
{
    if (!task.record.spec.idempotent)
        end(task, TaskState::MayHaveRun, fmt::format("{}; {}", cause, formatContact(task)), moment);
    else if (task.record.cancelRequested)
        end(task, TaskState::Cancelled, "cancelled; " + cause, moment);
    else
        requeue(task, cause, moment, Duration::zero());
}

void TaskRegistry::end(Task& task, TaskState state, std::string detail, Moment moment)
{
    assert(isFinal(state));
    auto wasFinal = isFinal(task.record.state);
    release(task);
    resetStart(task);
    task.record.state = state;
    task.record.detail = std::move(detail);
    task.record.changed = moment.wallNow;
    markRow(task, RowPriority::Ended);
    recordEvent("task-ended", task, fmt::format("{} {}", toString(state), task.record.detail));
    if (wasFinal)
        return;
    m_ended.emplace_back(moment.now, task.id());
    if (auto active = m_activeTaskCounts.find(task.record.spec.job); --active->second == 0)
        m_activeTaskCounts.erase(active);
}

void TaskRegistry::resize(Task& task, const Resources& need)
{
    m_shares.addUsage(task.record.spec, need - task.reserved);
    if (isPinned(task.record.spec))
        m_pinned[task.record.spec.pool] += need - task.reserved;
    FleetView::resize(task, need);
}

void TaskRegistry::enqueueDelayed(Moment moment)
{
    for (auto position = m_delayed.begin(); position != m_delayed.end();) {
        auto* task = find(position->task);
        auto isGone = !task || task->record.state != TaskState::Queued || task->inQueue;
        if (!isGone && position->due > moment.now) {
            ++position;
            continue;
        }
        if (!isGone && !m_restarts.tryTake(moment.now))
            return;
        if (!isGone)
            enqueue(*task, moment.now);
        position = m_delayed.erase(position);
    }
}

void TaskRegistry::expireEnded(TimePoint now)
{
    while (!m_ended.empty() && m_ended.front().first + m_settings.endedInMemory <= now) {
        auto [endedAt, id] = std::move(m_ended.front());
        m_ended.pop_front();
        if (!isStored(id)) {
            m_ended.emplace_back(endedAt, std::move(id));
            break;
        }
        m_tasks.erase(id);
        m_archived.insert(id);
        m_expiring.emplace_back(endedAt, std::move(id));
    }
    while (!m_expiring.empty() && m_expiring.front().first + m_settings.retention <= now) {
        m_deletions.push_back(std::move(m_expiring.front().second));
        m_expiring.pop_front();
    }
}

void TaskRegistry::order(const Task& task, TaskOrder kind)
{
    m_orders.push_back(
        { task.record.worker, task.id(), kind, OperationId(fmt::format("{}/o{}", m_owner, ++m_operations)) });
}

void TaskRegistry::recordEvent(const char* kind, const Task& task, const std::string& detail)
{
    recordEvent(kind,
        { { "task", task.id().value() }, { "job", task.record.spec.job.value() },
            { "team", task.record.spec.team.value() }, { "worker", task.record.worker.value() },
            { "detail", detail } });
}

std::vector<RowChange> TaskRegistry::takeRows(std::size_t max)
{
    std::vector<RowChange> rows;
    while (rows.size() < max) {
        auto* task = m_rows.pop([this](const TaskId& id) { return find(id); });
        if (!task)
            break;
        rows.push_back({ task->record, *task->pendingWrite, false });
        task->pendingWrite.reset();
        task->writeInFlight = true;
    }
    for (; rows.size() < max && !m_deletions.empty(); m_deletions.pop_back()) {
        RowChange deletion { {}, RowPriority::Deferrable, true };
        deletion.record.spec.task = std::move(m_deletions.back());
        rows.push_back(std::move(deletion));
    }
    return rows;
}

void TaskRegistry::onStored(const std::vector<RowChange>& rows)
{
    for (const auto& row : rows) {
        if (row.deletes)
            m_archived.erase(row.record.spec.task);
        auto* task = find(row.record.spec.task);
        if (!task)
            continue;
        task->writeInFlight = false;
        if (task->startStep == StartStep::Unstored && row.record.start == task->record.start) {
            task->startStep = StartStep::Stored;
            m_storedStarts.push_back(task->id());
        }
    }
}

void TaskRegistry::onNotStored(const std::vector<RowChange>& rows)
{
    for (const auto& row : rows)
        if (row.deletes) {
            m_deletions.push_back(row.record.spec.task);
        } else if (auto* task = find(row.record.spec.task)) {
            task->writeInFlight = false;
            markRow(*task, row.priority);
        }
}

bool TaskRegistry::isStored(const TaskId& id) const
{
    const auto* task = find(id);
    return !task || (!task->pendingWrite && !task->writeInFlight);
}

std::optional<StartAction> TaskRegistry::takeStart(TimePoint now)
{
    std::deque<TaskId> blocked;
    std::optional<StartAction> action;
    while (!m_storedStarts.empty() && !action) {
        auto* task = find(m_storedStarts.front());
        m_storedStarts.pop_front();
        if (!task || task->startStep != StartStep::Stored || task->record.cancelRequested)
            continue;
        if (!task->awaitedEvictions.empty()) {
            blocked.push_back(task->id());
            continue;
        }
        task->startStep = StartStep::Uncertain;
        task->startedAt = now;
        task->reportedAt = now;
        task->leaseUntil = now + m_settings.lease;
        action = StartAction { task->record.worker,
            { task->id(), task->record.spec.job, task->record.start, task->reserved.processors,
                std::uint64_t(task->reserved.memoryMb), std::uint32_t(task->reserved.accelerators),
                m_settings.lease, task->record.checkpoint } };
    }
    m_storedStarts.insert(m_storedStarts.begin(), blocked.begin(), blocked.end());
    return action;
}

std::optional<OrderAction> TaskRegistry::takeOrder()
{
    if (m_orders.empty())
        return std::nullopt;
    auto action = std::move(m_orders.front());
    m_orders.pop_front();
    return action;
}

std::size_t TaskRegistry::activeTaskCount(const JobId& job) const
{
    auto position = m_activeTaskCounts.find(job);
    return position == m_activeTaskCounts.end() ? 0 : position->second;
}

std::vector<Task*> TaskRegistry::waitingTasksOf(const JobId& job)
{
    std::vector<Task*> tasks;
    for (auto& [id, task] : m_tasks)
        if (task.record.state == TaskState::Queued && task.record.spec.job == job)
            tasks.push_back(&task);
    std::sort(tasks.begin(), tasks.end(), ByAcceptance {});
    return tasks;
}

Resources TaskRegistry::pinned(const PoolId& pool) const
{
    auto position = m_pinned.find(pool);
    return position == m_pinned.end() ? Resources {} : position->second;
}

} // namespace fulmar::work
