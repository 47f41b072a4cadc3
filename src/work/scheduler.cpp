#include "work/scheduler.h"
#include "work/overload_relief.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace fulmar::work {

namespace {

constexpr auto leaseCheckInterval = std::chrono::seconds(1);
constexpr auto quarantineUpdateInterval = std::chrono::seconds(5);
constexpr auto evidenceLifetime = std::chrono::hours(1);
// Minimum interval at which a running task's checkpoint is stored. A new owner mostly learns it from the
// worker.
constexpr auto checkpointStoreInterval = std::chrono::minutes(5);
// Run time after which a task's usage is typical and is learned from.
constexpr auto warmUp = std::chrono::seconds(30);
// A placed task that still waits for evictions after this time is requeued.
constexpr auto maxEvictionWait = std::chrono::seconds(10);
// Distinct workers on which a task must fail before evidence against its job ends it, and the limit on its
// starts without such evidence.
constexpr std::size_t maxFailedWorkers = 3;
constexpr std::uint32_t maxStarts = 10;
// Distinct failed tasks and implicating workers that make a job count as broken, and the interval between
// further attempts.
constexpr std::size_t tasksPerBrokenJob = 3;
constexpr std::size_t workersPerBrokenJob = 3;
constexpr auto brokenJobPause = std::chrono::seconds(60);
// A failed task waits for this delay times 2^starts: 1 s after its first start, at most 64 s.
constexpr auto retryDelayBase = std::chrono::milliseconds(500);
constexpr int maxRetryShift = 7;

// Number of workers on which a task or job must fail; capped by the size of the pool.
std::size_t workersNeeded(std::size_t wanted, std::size_t poolSize)
{
    return std::clamp<std::size_t>(poolSize, 1, wanted);
}

// Estimates change slightly with every report. Reservations follow only changes above a relative threshold.
bool isWorthResizing(const Resources& held, const Resources& need)
{
    constexpr double step = 0.02;
    auto differs = [](double before, double after) {
        return std::abs(after - before) > step * std::max(before, after);
    };
    return differs(held.processors, need.processors) || differs(held.memoryMb, need.memoryMb);
}

} // namespace

Scheduler::Scheduler(SchedulerSettings settings, std::string owner)
    : m_registry(settings, std::move(owner))
    , m_evictor(m_registry)
    , m_placer(m_registry, m_evictor, m_evidence, m_quarantine)
{
}

Result<void> Scheduler::admit(const TaskSpec& spec, TimePoint now) const
{
    const auto& workers = m_registry.fleet().workersOf(spec.pool);
    auto holds = [&](const Worker* worker) {
        return fits(spec.size, usableCapacity(*worker, m_registry.settings().fill));
    };
    if (!workers.empty() && std::none_of(workers.begin(), workers.end(), holds))
        return notRun(Reason::BadInput,
            fmt::format("no worker of pool {} is large enough for {} processors, {} MB and {} accelerators",
                spec.pool.value(), spec.size.processors, spec.size.memoryMb, spec.size.accelerators));
    if (auto broken = m_brokenJobs.find(spec.job);
        broken != m_brokenJobs.end() && (now < broken->second || m_registry.activeTaskCount(spec.job) > 0))
        return notRun(Reason::TargetFailed,
            fmt::format(
                "job {} fails on workers where other jobs succeed; one of its tasks is tried at intervals",
                spec.job.value()));
    return {};
}

void Scheduler::add(TaskRecord record, Moment moment)
{
    auto pool = record.spec.pool;
    if (m_registry.add(std::move(record), moment))
        m_placer.markChanged(pool);
}

const TaskRecord* Scheduler::find(const TaskId& id) const
{
    const auto* task = m_registry.find(id);
    return task ? &task->record : nullptr;
}

Result<TaskRecord> Scheduler::cancel(const TaskId& id, Moment moment)
{
    auto* task = m_registry.find(id);
    if (!task)
        return notRun(Reason::NotFound, fmt::format("no task {}", id.value()));
    if (isFinal(task->record.state) || task->record.cancelRequested)
        return task->record;
    task->record.cancelRequested = true;
    task->record.changed = moment.wallNow;
    if (task->startStep == StartStep::Uncertain || task->startStep == StartStep::Confirmed)
        m_evictor.evict(*task, Eviction::Cancelled, {}, moment);
    else
        m_registry.end(*task, TaskState::Cancelled, "cancelled before it started", moment);
    m_registry.markRow(*task, RowPriority::Awaited);
    return task->record;
}

void Scheduler::setWithdrawn(const VmId& id, bool withdrawn)
{
    if (auto* worker = m_registry.fleet().find(id))
        worker->withdrawn = withdrawn;
}

void Scheduler::setMaintenance(const VmId& id, std::optional<TimePoint> at)
{
    if (auto* worker = m_registry.fleet().find(id))
        worker->maintenanceAt = at;
}

void Scheduler::onReports(const std::vector<WorkerReport>& reports, Moment moment)
{
    for (const auto& report : reports) {
        auto& worker = m_registry.fleet().update(report, moment.now);
        worker.used = {};
        for (const auto& each : report.tasks) {
            worker.used += Resources { each.processorsUsed, double(each.memoryMbUsed), 0 };
            if (auto* task = taskOf(worker, each))
                apply(*task, each, moment);
        }
        relieveOverload(worker, moment);
        m_placer.markChanged(worker.pool);
    }
}

// Ignores reports of earlier starts, which arrive because reports lag.
Task* Scheduler::taskOf(const Worker& worker, const TaskReport& report)
{
    for (auto* task : worker.tasks)
        if (task->record.start == report.start)
            return task;
    auto isEnd = report.phase != TaskPhase::Running && report.phase != TaskPhase::Throttled;
    auto* task = isEnd ? m_registry.find(report.task) : nullptr;
    return task && task->record.start == report.start ? task : nullptr;
}

// A report that a task in state MayHaveRun has finished changes its state to Finished.
void Scheduler::apply(Task& task, const TaskReport& report, Moment moment)
{
    auto isActive = task.startStep == StartStep::Uncertain || task.startStep == StartStep::Confirmed;
    if (!isActive) {
        if (task.record.state == TaskState::MayHaveRun && report.phase == TaskPhase::Finished)
            m_registry.end(task, TaskState::Finished, report.detail, moment);
        return;
    }
    task.reportedAt = moment.now;
    if (!report.checkpoint.empty() && report.checkpoint != task.record.checkpoint) {
        task.record.checkpoint = report.checkpoint;
        task.checkpointAt = moment.now;
        if (moment.now >= task.checkpointStoredAt + checkpointStoreInterval) {
            task.checkpointStoredAt = moment.now;
            m_registry.markRow(task, RowPriority::Deferrable);
        }
    }
    switch (report.phase) {
    case TaskPhase::Running:
    case TaskPhase::Throttled:
        return onRunning(task, report, moment);
    case TaskPhase::Finished:
        return onFinished(task, report, moment);
    case TaskPhase::Failed:
        return onFailed(task, report.detail, moment);
    case TaskPhase::Stopped:
        return m_evictor.onStopped(task, moment);
    case TaskPhase::LeaseLapsed:
        return m_registry.markLost(task, "its worker ended it because its lease lapsed", moment);
    }
}

void Scheduler::onRunning(Task& task, const TaskReport& report, Moment moment)
{
    m_registry.confirm(task, moment);
    task.used = { report.processorsUsed, double(report.memoryMbUsed), task.reserved.accelerators };
    if (task.eviction != Eviction::None || !m_registry.settings().learnsSizes)
        return;
    const auto& spec = task.record.spec;
    // The usage of a throttled task does not show its need.
    if (!task.throttled && moment.now >= task.startedAt + warmUp)
        observe(*task.usage, task.used);
    if (auto need = estimateRunning(*task.usage, spec.size, task.used); isWorthResizing(task.reserved, need))
        m_registry.resize(task, need);
}

void Scheduler::onFinished(Task& task, const TaskReport& report, Moment moment)
{
    const auto& job = task.record.spec.job;
    m_evidence.onSuccess(job, task.record.worker, moment.now);
    if (m_quarantine.onSuccess(task.record.worker))
        m_registry.recordEvent("worker-released", { { "worker", task.record.worker.value() } });
    if (m_brokenJobs.erase(job) > 0)
        m_registry.recordEvent("job-recovered", { { "job", job.value() } });
    m_registry.end(task, TaskState::Finished, report.detail, moment);
}

void Scheduler::onFailed(Task& task, const std::string& detail, Moment moment)
{
    auto job = task.record.spec.job;
    auto pool = task.record.spec.pool;
    m_evidence.onFailure(task.id(), job, task.record.worker, moment.now);
    m_quarantine.onFailure(task.record.worker, moment.now);
    if (task.record.cancelRequested)
        m_registry.end(task, TaskState::Cancelled, "failed after it was cancelled: " + detail, moment);
    else if (task.record.spec.idempotent)
        retryOrGiveUp(task, detail, moment);
    else
        m_registry.end(task, TaskState::Failed, detail, moment);
    if (m_registry.settings().detectsFaults)
        stopJobIfBroken(job, pool, moment);
}

void Scheduler::retryOrGiveUp(Task& task, const std::string& detail, Moment moment)
{
    const auto& spec = task.record.spec;
    task.failedOn.insert_or_assign(task.record.worker, moment.now);
    auto isJobFault = [&](const auto& failure) {
        return m_evidence.implicatesJob(spec.job, failure.first, failure.second);
    };
    auto needed = workersNeeded(maxFailedWorkers, m_registry.fleet().workersOf(spec.pool).size());
    auto jobFaults = std::size_t(std::count_if(task.failedOn.begin(), task.failedOn.end(), isJobFault));
    // One failure fewer than needed must implicate the job, as evidence on the newest may still be missing.
    if (m_brokenJobs.contains(spec.job)) {
        m_registry.end(task, TaskState::CannotRun, "its job fails wherever it runs: " + detail, moment);
    } else if (m_registry.settings().detectsFaults && task.failedOn.size() >= needed
        && jobFaults >= std::max<std::size_t>(1, needed - 1)) {
        m_registry.end(task, TaskState::CannotRun,
            fmt::format("failed on {} workers where other jobs succeed: {}", task.failedOn.size(), detail),
            moment);
    } else if (task.record.starts >= maxStarts) {
        m_registry.end(task, TaskState::CannotRun,
            fmt::format("failed in {} starts: {}", task.record.starts, detail), moment);
    } else {
        auto shift = std::min(int(task.record.starts), maxRetryShift);
        m_registry.requeue(task, "failed: " + detail, moment, retryDelayBase * (1 << shift));
    }
}

// Ends the queued tasks of a broken job, so that they do not waste capacity.
void Scheduler::stopJobIfBroken(const JobId& job, const PoolId& pool, Moment moment)
{
    auto workers = workersNeeded(workersPerBrokenJob, m_registry.fleet().workersOf(pool).size());
    if (m_evidence.countWorkersImplicatingJob(job) < workers
        || m_evidence.failedTasks(job) < tasksPerBrokenJob)
        return;
    auto isNew = !m_brokenJobs.contains(job);
    m_brokenJobs[job] = moment.now + brokenJobPause;
    if (!isNew)
        return;
    m_registry.recordEvent("job-broken", { { "job", job.value() } });
    for (auto* task : m_registry.waitingTasksOf(job))
        m_registry.end(*task, TaskState::CannotRun,
            fmt::format("not started again: job {} fails on workers where other jobs succeed", job.value()),
            moment);
}

void Scheduler::relieveOverload(const Worker& worker, Moment moment)
{
    for (auto [task, step] : overloadActions(worker)) {
        switch (step) {
        case ReliefStep::Throttle:
            task->throttled = true;
            m_registry.order(*task, TaskOrder::Throttle);
            break;
        case ReliefStep::Resume:
            task->throttled = false;
            m_registry.order(*task, TaskOrder::Resume);
            break;
        case ReliefStep::Evict:
            m_evictor.evict(*task, Eviction::Overloaded, {}, moment);
            break;
        }
    }
}

void Scheduler::onStartResult(const StartAction& action, const Result<void>& result, Moment moment)
{
    auto* task = m_registry.find(action.start.task);
    if (!task || task->record.start != action.start.operation || task->startStep != StartStep::Uncertain)
        return;
    task->leaseUntil = moment.now + m_registry.settings().lease;
    if (result) {
        m_registry.confirm(*task, moment);
    } else if (result.error().outcome == Outcome::NotRun) {
        // The task did not start, so even one that is not idempotent may start elsewhere.
        m_evidence.onFailure(task->id(), task->record.spec.job, action.worker, moment.now);
        if (task->record.cancelRequested)
            m_registry.end(*task, TaskState::Cancelled, "cancelled before it started", moment);
        else
            retryOrGiveUp(*task, result.error().detail, moment);
    }
}

void Scheduler::onRenewResult(const RenewAction& action, const Result<void>& result, TimePoint now)
{
    auto mayHaveRenewed = result || result.error().outcome != Outcome::NotRun;
    if (!mayHaveRenewed)
        return;
    for (const auto& id : action.tasks)
        if (auto* task = m_registry.find(id); task && task->placed && task->record.worker == action.worker)
            task->leaseUntil = std::max(task->leaseUntil, now + m_registry.settings().lease);
}

void Scheduler::onOrderResult(const OrderAction& action, const Result<void>& result, TimePoint now)
{
    m_evictor.onOrderResult(action, result, now);
}

std::optional<RenewAction> Scheduler::takeRenewal(TimePoint now)
{
    // The lease of a task that its worker no longer reports is not renewed.
    auto isRunning = [&](const Task* task) {
        return task->startStep == StartStep::Confirmed
            && now < task->reportedAt + m_registry.settings().lease + m_registry.settings().reportLag;
    };
    while (!m_renewals.empty()) {
        auto* worker = m_registry.fleet().find(m_renewals.front());
        m_renewals.pop_front();
        if (!worker)
            continue;
        worker->renewedAt = now;
        RenewAction action { worker->id, {} };
        for (const auto* task : worker->tasks)
            if (isRunning(task))
                action.tasks.push_back(task->id());
        if (!action.tasks.empty())
            return action;
    }
    return std::nullopt;
}

void Scheduler::plan(Moment moment)
{
    if (moment.now >= m_leasesCheckedAt + leaseCheckInterval)
        checkLeases(moment);
    if (m_registry.settings().detectsFaults && moment.now >= m_quarantineUpdatedAt + quarantineUpdateInterval)
        updateQuarantine(moment);
    m_evictor.step(moment);
    m_registry.enqueueDelayed(moment);
    m_placer.placeWaiting(moment);
}

// Quarantines workers on evidence of faults. Also removes workers that are no longer listed, and old
// evidence.
void Scheduler::updateQuarantine(Moment moment)
{
    m_quarantineUpdatedAt = moment.now;
    m_registry.fleet().forget(moment.now - m_registry.settings().missingAfter);
    m_evidence.forget(moment.now - evidenceLifetime);
    for (const auto& [pool, workers] : m_registry.fleet().pools())
        for (const auto& worker : m_quarantine.evaluate(workers, m_evidence, moment.now))
            m_registry.recordEvent("worker-quarantined",
                { { "worker", worker.value() }, { "pool", pool.value() },
                    { "jobs", std::to_string(m_evidence.countJobsImplicatingWorker(worker)) } });
}

void Scheduler::queueRenewals(TimePoint now)
{
    m_renewals.clear();
    const auto& settings = m_registry.settings();
    for (const auto& [id, worker] : m_registry.fleet().workers()) {
        auto isGone = !worker.live || now > worker.listedAt + settings.missingAfter;
        if (!isGone && !worker.tasks.empty() && now >= worker.renewedAt + settings.renewInterval)
            m_renewals.push_back(id);
    }
}

// Queues due renewals, handles tasks whose lease has expired and removes old ended tasks.
void Scheduler::checkLeases(Moment moment)
{
    m_leasesCheckedAt = moment.now;
    queueRenewals(moment.now);
    const auto& settings = m_registry.settings();
    for (auto& [id, worker] : m_registry.fleet().workers()) {
        if (worker.tasks.empty())
            continue;
        auto isGone = !worker.live || moment.now > worker.listedAt + settings.missingAfter;
        auto tasks = worker.tasks;
        for (auto* task : tasks)
            checkLease(*task, isGone, moment);
    }
    m_registry.expireEnded(moment.now);
}

// Requeues a task that was not sent if its worker is gone or its evictions take too long. A sent task is lost
// at lease expiry, or reportLag later if its worker is still listed, as the worker may report how it ended.
void Scheduler::checkLease(Task& task, bool workerIsGone, Moment moment)
{
    auto isSent = task.startStep == StartStep::Uncertain || task.startStep == StartStep::Confirmed;
    if (!isSent) {
        auto waitedTooLong = !task.awaitedEvictions.empty() && moment.now > task.startedAt + maxEvictionWait;
        if (workerIsGone || waitedTooLong)
            m_registry.requeue(task, "its worker did not become free", moment);
        return;
    }
    auto lapsesAt = task.leaseUntil + (workerIsGone ? Duration::zero() : m_registry.settings().reportLag);
    if (moment.now > lapsesAt)
        m_registry.markLost(task, "its worker was not heard of until its lease had lapsed", moment);
}

} // namespace fulmar::work
