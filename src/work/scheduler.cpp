#include "work/scheduler.h"

#include <cassert>
#include <fmt/format.h>

namespace fulmar {

namespace {

// A stop that the worker has confirmed takes effect within this time.
constexpr auto stopGrace = std::chrono::seconds(1);

std::string whoToAsk(const Task& task)
{
    return fmt::format("ask team {} and worker {}, start {}", task.record.spec.team.value(),
        task.record.worker.value(), task.record.start.value());
}

} // namespace

Scheduler::Scheduler(SchedulerSettings settings, std::string owner)
    : m_settings(settings)
    , m_owner(std::move(owner))
    , m_shares(settings.shardShare)
{
}

Result<void> Scheduler::admit(const TaskSpec& spec) const
{
    const auto& workers = m_fleet.workersOf(spec.pool);
    auto holds = [&](const Worker* worker) { return fits(spec.size, usable(*worker, m_settings.fill)); };
    if (workers.empty() || std::any_of(workers.begin(), workers.end(), holds))
        return {};
    return notRun(Reason::BadInput,
        fmt::format("no worker of pool {} is large enough for {} processors, {} MB and {} accelerators",
            spec.pool.value(), spec.size.processors, spec.size.memoryMb, spec.size.accelerators));
}

// A task that was starting or running under an earlier owner may still run: it holds its worker until a
// report or the end of its lease settles what became of it.
void Scheduler::add(TaskRecord record, TimePoint now)
{
    auto id = record.spec.task;
    auto [position, isNew] = m_tasks.try_emplace(std::move(id));
    if (!isNew)
        return;
    auto& task = position->second;
    task.record = std::move(record);
    if (isFinal(task.record.state)) {
        m_ended.emplace_back(now, task.id());
        return;
    }
    if (task.record.state == TaskState::Queued) {
        enqueue(task, now);
        return;
    }
    task.step = StartStep::Uncertain;
    task.startedAt = now;
    task.checkpointAt = now;
    task.leaseUntil = now + m_settings.lease;
    auto need = m_sizes.estimate(task.record.spec);
    FleetView::place(task, m_fleet.ensure(task.record.worker, task.record.spec.pool, now), need);
    m_shares.take(task.record.spec.team, need);
}

const TaskRecord* Scheduler::find(const TaskId& id) const
{
    auto position = m_tasks.find(id);
    return position == m_tasks.end() ? nullptr : &position->second.record;
}

Task* Scheduler::lookUp(const TaskId& id)
{
    auto position = m_tasks.find(id);
    return position == m_tasks.end() ? nullptr : &position->second;
}

Result<TaskRecord> Scheduler::cancel(const TaskId& id, TimePoint now, WallTime wallNow)
{
    auto* task = lookUp(id);
    if (!task)
        return notRun(Reason::NotFound, fmt::format("no task {}", id.value()));
    if (isFinal(task->record.state) || task->record.cancelRequested)
        return task->record;
    task->record.cancelRequested = true;
    if (task->step == StartStep::Uncertain || task->step == StartStep::Confirmed) {
        task->eviction = Eviction::Cancelled;
        task->evictionBegan = now;
        task->record.changed = wallNow;
        order(*task, TaskOrder::Stop);
        task->stopOrderedAt = now;
    } else {
        end(*task, TaskState::Cancelled, "cancelled before it started", now, wallNow);
    }
    markRow(*task, RowUrgency::Now);
    return task->record;
}

bool Scheduler::isStored(const TaskId& id) const
{
    auto position = m_tasks.find(id);
    return position == m_tasks.end() || (!position->second.unstored && !position->second.rowOnItsWay);
}

void Scheduler::setMaintenance(const VmId& id, std::optional<TimePoint> at)
{
    if (auto* worker = m_fleet.find(id))
        worker->maintenanceAt = at;
}

void Scheduler::enqueue(Task& task, TimePoint now)
{
    assert(!task.waiting && !task.placed);
    task.record.state = TaskState::Queued;
    task.step = StartStep::None;
    task.eviction = Eviction::None;
    task.stopOrderedAt.reset();
    task.stopConfirmed = false;
    task.throttled = false;
    task.isProbe = false;
    task.queuedAt = now;
    task.waiting = true;
    m_queue.push(task);
}

void Scheduler::release(Task& task)
{
    if (task.waiting) {
        m_queue.remove(task);
        task.waiting = false;
    }
    if (task.placed) {
        m_shares.give(task.record.spec.team, task.reserved);
        FleetView::release(task);
    }
    task.waitsFor.clear();
}

// Books the task on the worker. The worker is called once the row that names this start is stored.
void Scheduler::place(Task& task, Worker& worker, const Resources& need, TimePoint now, WallTime wallNow)
{
    m_queue.remove(task);
    task.waiting = false;
    FleetView::place(task, worker, need);
    m_shares.take(task.record.spec.team, need);
    task.record.state = TaskState::Starting;
    task.record.worker = worker.id;
    task.record.start = OperationId(fmt::format("{}/s{}", m_owner, ++m_operations));
    task.record.changed = wallNow;
    ++task.record.starts;
    task.step = StartStep::Unstored;
    task.startedAt = now;
    task.checkpointAt = now;
    markRow(task, RowUrgency::Now);
}

void Scheduler::end(Task& task, TaskState state, std::string detail, TimePoint now, WallTime wallNow)
{
    assert(isFinal(state));
    release(task);
    task.record.state = state;
    task.record.detail = std::move(detail);
    task.record.changed = wallNow;
    task.step = StartStep::None;
    m_ended.emplace_back(now, task.id());
    markRow(task, RowUrgency::Soon);
    note("task-ended", task, fmt::format("{} {}", toString(state), task.record.detail));
}

void Scheduler::confirm(Task& task, WallTime wallNow)
{
    if (task.step == StartStep::Confirmed)
        return;
    task.step = StartStep::Confirmed;
    task.record.state = TaskState::Running;
    task.record.changed = wallNow;
    markRow(task, RowUrgency::Later);
}

// The start's effect or the task's end can no longer be learned. Only what may be repeated is.
void Scheduler::lose(Task& task, const std::string& cause, TimePoint now, WallTime wallNow)
{
    if (task.record.cancelRequested && task.record.spec.idempotent) {
        end(task, TaskState::Cancelled, "cancelled; " + cause, now, wallNow);
    } else if (task.record.spec.idempotent) {
        note("task-requeued", task, cause);
        release(task);
        task.record.detail = cause;
        enqueue(task, now);
        markRow(task, RowUrgency::Later);
    } else {
        end(task, TaskState::MayHaveRun, fmt::format("{}; {}", cause, whoToAsk(task)), now, wallNow);
    }
}

void Scheduler::markRow(Task& task, RowUrgency urgency) { m_rows.mark(task, urgency); }

void Scheduler::note(const char* kind, const Task& task, const std::string& detail)
{
    m_events.push_back({ kind,
        { { "task", task.id().value() }, { "job", task.record.spec.job.value() },
            { "worker", task.record.worker.value() }, { "detail", detail } } });
}

void Scheduler::order(Task& task, TaskOrder kind)
{
    m_orders.push_back(
        { task.record.worker, task.id(), kind, OperationId(fmt::format("{}/o{}", m_owner, ++m_operations)) });
}

void Scheduler::onReports(const std::vector<WorkerReport>& reports, TimePoint now, WallTime wallNow)
{
    for (const auto& report : reports) {
        auto& worker = m_fleet.update(report, now);
        worker.used = {};
        for (const auto& each : report.tasks) {
            worker.used += Resources { each.processorsUsed, double(each.memoryMbUsed), 0 };
            apply(worker, each, now, wallNow);
        }
    }
    m_fleet.forget(now - m_settings.missingAfter);
}

// Reports lag: one that is of another start than the latest says nothing about it.
void Scheduler::apply(Worker& worker, const TaskReport& report, TimePoint now, WallTime wallNow)
{
    auto* task = lookUp(report.task);
    if (!task || task->record.start != report.start || task->record.worker != worker.id)
        return;
    if (!report.checkpoint.empty() && report.checkpoint != task->record.checkpoint) {
        task->record.checkpoint = report.checkpoint;
        task->checkpointAt = now;
        if (!isFinal(task->record.state))
            markRow(*task, RowUrgency::Later);
    }
    auto isActive = task->step == StartStep::Uncertain || task->step == StartStep::Confirmed;
    auto isDoubtful = task->record.state == TaskState::MayHaveRun;
    if (!isActive && !isDoubtful)
        return;
    switch (report.phase) {
    case TaskPhase::Running:
    case TaskPhase::Throttled:
        if (!isActive)
            return;
        confirm(*task, wallNow);
        task->used = { report.processorsUsed, double(report.memoryMbUsed), task->reserved.accelerators };
        return;
    case TaskPhase::Finished:
        end(*task, TaskState::Finished, report.detail, now, wallNow);
        return;
    case TaskPhase::Failed:
        end(*task, TaskState::Failed, report.detail, now, wallNow);
        return;
    case TaskPhase::Stopped:
        if (isActive)
            onStopped(*task, now, wallNow);
        return;
    case TaskPhase::LeaseLapsed:
        if (isActive)
            lose(*task, "the worker ended it because its lease lapsed", now, wallNow);
        return;
    }
}

void Scheduler::onStopped(Task& task, TimePoint now, WallTime wallNow)
{
    if (task.record.cancelRequested)
        end(task, TaskState::Cancelled, "cancelled while it ran", now, wallNow);
    else
        lose(task, "it was stopped on its worker", now, wallNow);
}

void Scheduler::onStartResult(
    const StartAction& action, const Result<void>& result, TimePoint now, WallTime wallNow)
{
    auto* task = lookUp(action.start.task);
    if (!task || task->record.start != action.start.operation || task->step != StartStep::Uncertain)
        return;
    task->leaseUntil = now + m_settings.lease;
    if (result) {
        confirm(*task, wallNow);
        return;
    }
    if (result.error().outcome != Outcome::NotRun)
        return;
    if (task->record.cancelRequested) {
        end(*task, TaskState::Cancelled, "cancelled before it started", now, wallNow);
        return;
    }
    release(*task);
    task->failedOn.insert(action.worker);
    enqueue(*task, now);
}

void Scheduler::onRenewResult(const RenewAction& action, const Result<void>& result, TimePoint now)
{
    auto mayBeRenewed = result || result.error().outcome != Outcome::NotRun;
    if (!mayBeRenewed)
        return;
    for (const auto& id : action.tasks)
        if (auto* task = lookUp(id); task && task->placed && task->record.worker == action.worker)
            task->leaseUntil = std::max(task->leaseUntil, now + m_settings.lease);
}

void Scheduler::onOrderResult(const OrderAction& action, const Result<void>& result, TimePoint now)
{
    auto* task = lookUp(action.task);
    if (!task || !task->placed || task->record.worker != action.worker || !result)
        return;
    if (action.order == TaskOrder::Stop) {
        task->stopConfirmed = true;
        task->stopOrderedAt = now;
    }
}

std::vector<RowChange> Scheduler::takeRows(std::size_t max)
{
    std::vector<RowChange> rows;
    while (rows.size() < max) {
        auto* task = m_rows.pop([this](const TaskId& id) { return lookUp(id); });
        if (!task)
            break;
        rows.push_back({ task->record, *task->unstored, false });
        task->unstored.reset();
        task->rowOnItsWay = true;
    }
    return rows;
}

void Scheduler::onStored(const std::vector<RowChange>& rows, TimePoint)
{
    for (const auto& row : rows) {
        auto* task = lookUp(row.record.spec.task);
        if (task)
            task->rowOnItsWay = false;
        if (!task || task->step != StartStep::Unstored || row.record.start != task->record.start)
            continue;
        task->step = StartStep::Stored;
        m_ready.push_back(task->id());
    }
}

void Scheduler::onNotStored(const std::vector<RowChange>& rows)
{
    for (const auto& row : rows)
        if (auto* task = lookUp(row.record.spec.task)) {
            task->rowOnItsWay = false;
            markRow(*task, row.urgency);
        }
}

std::optional<StartAction> Scheduler::takeStart(TimePoint now)
{
    while (!m_ready.empty()) {
        auto* task = lookUp(m_ready.front());
        m_ready.pop_front();
        if (!task || task->step != StartStep::Stored || task->record.cancelRequested)
            continue;
        task->step = StartStep::Uncertain;
        task->startedAt = now;
        task->leaseUntil = now + m_settings.lease;
        return StartAction { task->record.worker,
            { task->id(), task->record.spec.job, task->record.start, task->reserved.processors,
                std::uint64_t(task->reserved.memoryMb), std::uint32_t(task->reserved.accelerators),
                m_settings.lease, task->record.checkpoint } };
    }
    return std::nullopt;
}

std::optional<RenewAction> Scheduler::takeRenewal(TimePoint now)
{
    while (!m_renewals.empty()) {
        auto* worker = m_fleet.find(m_renewals.front());
        m_renewals.pop_front();
        if (!worker)
            continue;
        worker->renewedAt = now;
        RenewAction action { worker->id, {} };
        for (const auto* task : worker->tasks)
            if (task->step == StartStep::Confirmed)
                action.tasks.push_back(task->id());
        if (!action.tasks.empty())
            return action;
    }
    return std::nullopt;
}

std::optional<OrderAction> Scheduler::takeOrder()
{
    if (m_orders.empty())
        return std::nullopt;
    auto action = std::move(m_orders.front());
    m_orders.pop_front();
    return action;
}

void Scheduler::plan(TimePoint now, WallTime wallNow)
{
    sweep(now, wallNow);
    auto& pools = m_queue.pools();
    for (auto position = pools.begin(); position != pools.end();) {
        // Filling may take the pool's last waiting task and with it the entry.
        auto& [pool, lines] = *position++;
        auto id = pool;
        fillPool(id, lines, now, wallNow);
    }
}

// Once a second: renewals that are due, and tasks whose lease has run out.
void Scheduler::sweep(TimePoint now, WallTime wallNow)
{
    if (now < m_sweptAt + std::chrono::seconds(1))
        return;
    m_sweptAt = now;
    m_renewals.clear();
    for (auto& [id, worker] : m_fleet.workers()) {
        if (!worker.tasks.empty() && worker.renewedAt + m_settings.renewInterval <= now)
            m_renewals.push_back(id);
        auto tasks = worker.tasks;
        for (auto* task : tasks)
            sweepTask(*task, now, wallNow);
    }
    while (!m_ended.empty() && m_ended.front().first + m_settings.retention <= now)
        m_ended.pop_front();
}

void Scheduler::sweepTask(Task& task, TimePoint now, WallTime wallNow)
{
    if (task.step != StartStep::Uncertain && task.step != StartStep::Confirmed)
        return;
    if (now >= task.leaseUntil + m_settings.reportLag)
        lose(task, "its worker has not been heard of beyond its lease", now, wallNow);
    else if (task.stopConfirmed && now >= *task.stopOrderedAt + stopGrace && task.record.spec.idempotent)
        onStopped(task, now, wallNow);
}

void Scheduler::fillPool(const PoolId& pool, PoolLines& lines, TimePoint now, WallTime wallNow)
{
    auto hasNormal = !lines.normal.empty();
    if (!lines.urgent.empty())
        fillLane(pool, lines.urgent, now, wallNow);
    if (hasNormal)
        fillLane(pool, lines.normal, now, wallNow);
}

// The team with the lowest ratio goes first, until none of the teams can place its oldest task.
void Scheduler::fillLane(const PoolId&, TeamLines& teams, TimePoint now, WallTime wallNow)
{
    std::multimap<double, TeamId> order;
    for (const auto& [team, line] : teams)
        order.emplace(m_shares.ratio(team), team);
    auto left = order.size();
    while (left > 0) {
        auto [ratio, team] = *order.begin();
        order.erase(order.begin());
        auto& line = teams.at(team);
        auto isLast = line.size() == 1;
        if (!tryPlace(**line.begin(), now, wallNow) || isLast)
            --left;
        else
            order.emplace(m_shares.ratio(team), team);
    }
}

bool Scheduler::tryPlace(Task& task, TimePoint now, WallTime wallNow)
{
    const auto& spec = task.record.spec;
    PlacementRequest request { &spec, m_sizes.estimate(spec), now + spec.expectedRunTime, &task.failedOn };
    auto* worker = chooseWorker(
        m_fleet.workersOf(spec.pool), request, m_settings.fill, [](const Worker&) { return true; });
    if (worker)
        place(task, *worker, request.need, now, wallNow);
    return worker != nullptr;
}

} // namespace fulmar
