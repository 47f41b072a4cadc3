#include "work/scheduler.h"
#include "work/heat.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace fulmar::work {

namespace {

constexpr auto sweepInterval = std::chrono::seconds(1);
constexpr auto judgeInterval = std::chrono::seconds(5);
constexpr auto evidenceLifetime = std::chrono::hours(1);
// A running task's newest checkpoint is stored this often; a new owner mostly learns it from the worker.
constexpr auto checkpointStoreInterval = std::chrono::minutes(5);
// A task's usage is typical after this time.
constexpr auto warmUp = std::chrono::seconds(30);
// A start whose row is stored but that waits for room is placed anew after this time.
constexpr auto longestWaitForRoom = std::chrono::seconds(10);
// Distinct workers on which a task fails before it is given up, and tries in any case.
constexpr std::size_t workersPerTask = 3;
constexpr std::uint32_t startsPerTask = 10;
// Distinct tasks and workers that show a job to be broken, and how often it is tried afterwards.
constexpr std::size_t tasksPerBrokenJob = 3;
constexpr std::size_t workersPerBrokenJob = 3;
constexpr auto brokenJobPause = std::chrono::seconds(60);
constexpr auto firstRetryDelay = std::chrono::milliseconds(500);
constexpr int longestRetryShift = 7;

// How many of the pool's workers must have failed a task or job: fewer in a pool that has fewer.
std::size_t workersNeeded(std::size_t wanted, std::size_t poolSize)
{
    return std::clamp<std::size_t>(poolSize, 1, wanted);
}

// Estimates move a little with every report; what is held follows in steps.
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
    : m_book(settings, std::move(owner))
    , m_evictor(m_book)
    , m_filler(m_book, m_evictor, m_evidence, m_quarantine)
{
}

Result<void> Scheduler::admit(const TaskSpec& spec, TimePoint now) const
{
    const auto& workers = m_book.fleet().workersOf(spec.pool);
    auto holds
        = [&](const Worker* worker) { return fits(spec.size, usable(*worker, m_book.settings().fill)); };
    if (!workers.empty() && std::none_of(workers.begin(), workers.end(), holds))
        return notRun(Reason::BadInput,
            fmt::format("no worker of pool {} is large enough for {} processors, {} MB and {} accelerators",
                spec.pool.value(), spec.size.processors, spec.size.memoryMb, spec.size.accelerators));
    if (auto broken = m_brokenJobs.find(spec.job);
        broken != m_brokenJobs.end() && (now < broken->second || m_book.activeOf(spec.job) > 0))
        return notRun(Reason::TargetFailed,
            fmt::format(
                "job {} fails on workers where other jobs succeed; one task of it is tried now and then",
                spec.job.value()));
    return {};
}

void Scheduler::add(TaskRecord record, Moment moment)
{
    auto pool = record.spec.pool;
    if (m_book.add(std::move(record), moment))
        m_filler.touch(pool);
}

const TaskRecord* Scheduler::find(const TaskId& id) const
{
    const auto* task = m_book.find(id);
    return task ? &task->record : nullptr;
}

Result<TaskRecord> Scheduler::cancel(const TaskId& id, Moment moment)
{
    auto* task = m_book.find(id);
    if (!task)
        return notRun(Reason::NotFound, fmt::format("no task {}", id.value()));
    if (isFinal(task->record.state) || task->record.cancelRequested)
        return task->record;
    task->record.cancelRequested = true;
    task->record.changed = moment.wallNow;
    if (task->step == StartStep::Uncertain || task->step == StartStep::Confirmed)
        m_evictor.evict(*task, Eviction::Cancelled, {}, moment);
    else
        m_book.end(*task, TaskState::Cancelled, "cancelled before it started", moment);
    m_book.markRow(*task, RowUrgency::Now);
    return task->record;
}

void Scheduler::setMaintenance(const VmId& id, std::optional<TimePoint> at)
{
    if (auto* worker = m_book.fleet().find(id))
        worker->maintenanceAt = at;
}

void Scheduler::onReports(const std::vector<WorkerReport>& reports, Moment moment)
{
    for (const auto& report : reports) {
        auto& worker = m_book.fleet().update(report, moment.now);
        worker.used = {};
        for (const auto& each : report.tasks) {
            worker.used += Resources { each.processorsUsed, double(each.memoryMbUsed), 0 };
            if (auto* task = taskOf(worker, each))
                apply(*task, each, moment);
        }
        relieve(worker, moment);
        m_filler.touch(worker.pool);
    }
}

// Reports lag: one that is of another start than the latest says nothing about it.
Task* Scheduler::taskOf(const Worker& worker, const TaskReport& report)
{
    for (auto* task : worker.tasks)
        if (task->record.start == report.start)
            return task;
    auto isEnd = report.phase != TaskPhase::Running && report.phase != TaskPhase::Throttled;
    auto* task = isEnd ? m_book.find(report.task) : nullptr;
    return task && task->record.start == report.start ? task : nullptr;
}

// A task given up as may-have-run is settled after all if its worker turns out to have finished it.
void Scheduler::apply(Task& task, const TaskReport& report, Moment moment)
{
    auto isActive = task.step == StartStep::Uncertain || task.step == StartStep::Confirmed;
    if (!isActive) {
        if (task.record.state == TaskState::MayHaveRun && report.phase == TaskPhase::Finished)
            m_book.end(task, TaskState::Finished, report.detail, moment);
        return;
    }
    task.reportedAt = moment.now;
    if (!report.checkpoint.empty() && report.checkpoint != task.record.checkpoint) {
        task.record.checkpoint = report.checkpoint;
        task.checkpointAt = moment.now;
        if (moment.now >= task.checkpointStoredAt + checkpointStoreInterval) {
            task.checkpointStoredAt = moment.now;
            m_book.markRow(task, RowUrgency::Later);
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
        return m_book.lose(task, "its worker ended it because its lease lapsed", moment);
    }
}

void Scheduler::onRunning(Task& task, const TaskReport& report, Moment moment)
{
    m_book.confirm(task, moment);
    task.used = { report.processorsUsed, double(report.memoryMbUsed), task.reserved.accelerators };
    if (task.eviction != Eviction::None || !m_book.settings().learnsSizes)
        return;
    const auto& spec = task.record.spec;
    // A throttled task does not show what it needs.
    if (!task.throttled && moment.now >= task.startedAt + warmUp)
        observe(*task.usage, task.used);
    if (auto need = estimateRunning(*task.usage, spec.size, task.used); isWorthResizing(task.reserved, need))
        m_book.resize(task, need);
}

void Scheduler::onFinished(Task& task, const TaskReport& report, Moment moment)
{
    const auto& job = task.record.spec.job;
    m_evidence.onSuccess(job, task.record.worker, moment.now);
    if (m_quarantine.onSuccess(task.record.worker))
        m_book.note("worker-released", { { "worker", task.record.worker.value() } });
    if (m_brokenJobs.erase(job) > 0)
        m_book.note("job-recovered", { { "job", job.value() } });
    m_book.end(task, TaskState::Finished, report.detail, moment);
}

void Scheduler::onFailed(Task& task, const std::string& detail, Moment moment)
{
    auto job = task.record.spec.job;
    auto pool = task.record.spec.pool;
    m_evidence.onFailure(task.id(), job, task.record.worker, moment.now);
    m_quarantine.onFailure(task.record.worker, moment.now);
    if (task.record.cancelRequested)
        m_book.end(task, TaskState::Cancelled, "failed after it was cancelled: " + detail, moment);
    else if (task.record.spec.idempotent)
        retryOrGiveUp(task, detail, moment);
    else
        m_book.end(task, TaskState::Failed, detail, moment);
    if (m_book.settings().judgesFaults)
        stopJobIfBroken(job, pool, moment);
}

void Scheduler::retryOrGiveUp(Task& task, const std::string& detail, Moment moment)
{
    const auto& spec = task.record.spec;
    task.failedOn.insert_or_assign(task.record.worker, moment.now);
    auto provesFault = [&](const auto& failure) {
        return m_evidence.speaksAgainstJob(spec.job, failure.first, failure.second);
    };
    auto needed = workersNeeded(workersPerTask, m_book.fleet().workersOf(spec.pool).size());
    auto proofs = std::size_t(std::count_if(task.failedOn.begin(), task.failedOn.end(), provesFault));
    // The newest failure is too young to be told from its worker's fault.
    if (m_brokenJobs.contains(spec.job)) {
        m_book.end(task, TaskState::CannotRun, "its job fails wherever it runs: " + detail, moment);
    } else if (m_book.settings().judgesFaults && task.failedOn.size() >= needed
        && proofs >= std::max<std::size_t>(1, needed - 1)) {
        m_book.end(task, TaskState::CannotRun,
            fmt::format("failed on {} workers where other jobs succeed: {}", task.failedOn.size(), detail),
            moment);
    } else if (task.record.starts >= startsPerTask) {
        m_book.end(task, TaskState::CannotRun,
            fmt::format("failed in {} starts: {}", task.record.starts, detail), moment);
    } else {
        auto shift = std::min(int(task.record.starts), longestRetryShift);
        m_book.requeue(task, "failed: " + detail, moment, firstRetryDelay * (1 << shift));
    }
}

// Ends what waits of a job that fails wherever it runs, so that it does not take the fleet's time.
void Scheduler::stopJobIfBroken(const JobId& job, const PoolId& pool, Moment moment)
{
    auto workers = workersNeeded(workersPerBrokenJob, m_book.fleet().workersOf(pool).size());
    if (m_evidence.against(job) < workers || m_evidence.failedTasks(job) < tasksPerBrokenJob)
        return;
    auto isNew = !m_brokenJobs.contains(job);
    m_brokenJobs[job] = moment.now + brokenJobPause;
    if (!isNew)
        return;
    m_book.note("job-broken", { { "job", job.value() } });
    for (auto* task : m_book.waitingOf(job))
        m_book.end(*task, TaskState::CannotRun,
            fmt::format("not started again: job {} fails on workers where other jobs succeed", job.value()),
            moment);
}

void Scheduler::relieve(const Worker& worker, Moment moment)
{
    for (auto [task, step] : coolDown(worker)) {
        switch (step) {
        case HeatStep::Throttle:
            task->throttled = true;
            m_book.order(*task, TaskOrder::Throttle);
            break;
        case HeatStep::Resume:
            task->throttled = false;
            m_book.order(*task, TaskOrder::Resume);
            break;
        case HeatStep::Evict:
            m_evictor.evict(*task, Eviction::Overheated, {}, moment);
            break;
        }
    }
}

void Scheduler::onStartResult(const StartAction& action, const Result<void>& result, Moment moment)
{
    auto* task = m_book.find(action.start.task);
    if (!task || task->record.start != action.start.operation || task->step != StartStep::Uncertain)
        return;
    task->leaseUntil = moment.now + m_book.settings().lease;
    if (result) {
        m_book.confirm(*task, moment);
    } else if (result.error().outcome == Outcome::NotRun) {
        // Proven not to have started, so that even a task that runs at most once may start elsewhere.
        m_evidence.onFailure(task->id(), task->record.spec.job, action.worker, moment.now);
        if (task->record.cancelRequested)
            m_book.end(*task, TaskState::Cancelled, "cancelled before it started", moment);
        else
            retryOrGiveUp(*task, result.error().detail, moment);
    }
}

void Scheduler::onRenewResult(const RenewAction& action, const Result<void>& result, TimePoint now)
{
    auto mayBeRenewed = result || result.error().outcome != Outcome::NotRun;
    if (!mayBeRenewed)
        return;
    for (const auto& id : action.tasks)
        if (auto* task = m_book.find(id); task && task->placed && task->record.worker == action.worker)
            task->leaseUntil = std::max(task->leaseUntil, now + m_book.settings().lease);
}

void Scheduler::onOrderResult(const OrderAction& action, const Result<void>& result, TimePoint now)
{
    m_evictor.onOrderResult(action, result, now);
}

std::optional<RenewAction> Scheduler::takeRenewal(TimePoint now)
{
    // A task that its worker no longer reports is left to lapse.
    auto isRunning = [&](const Task* task) {
        return task->step == StartStep::Confirmed
            && now < task->reportedAt + m_book.settings().lease + m_book.settings().reportLag;
    };
    while (!m_renewals.empty()) {
        auto* worker = m_book.fleet().find(m_renewals.front());
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
    if (moment.now >= m_sweptAt + sweepInterval)
        sweep(moment);
    if (m_book.settings().judgesFaults && moment.now >= m_judgedAt + judgeInterval)
        judgeWorkers(moment);
    m_evictor.step(moment);
    m_book.releaseDelayed(moment);
    m_filler.fill(moment);
}

void Scheduler::judgeWorkers(Moment moment)
{
    m_judgedAt = moment.now;
    m_book.fleet().forget(moment.now - m_book.settings().missingAfter);
    m_evidence.forget(moment.now - evidenceLifetime);
    for (const auto& [pool, workers] : m_book.fleet().pools())
        for (const auto& worker : m_quarantine.judge(workers, m_evidence, moment.now))
            m_book.note("worker-quarantined",
                { { "worker", worker.value() }, { "pool", pool.value() },
                    { "jobs", std::to_string(m_evidence.against(worker)) } });
}

// Renewals that are due, and tasks whose lease has run out.
void Scheduler::sweep(Moment moment)
{
    m_sweptAt = moment.now;
    m_renewals.clear();
    const auto& settings = m_book.settings();
    for (auto& [id, worker] : m_book.fleet().workers()) {
        if (worker.tasks.empty())
            continue;
        auto isGone = !worker.live || moment.now > worker.listedAt + settings.missingAfter;
        if (!isGone && moment.now >= worker.renewedAt + settings.renewInterval)
            m_renewals.push_back(id);
        auto tasks = worker.tasks;
        for (auto* task : tasks)
            sweepTask(*task, isGone, moment);
    }
    m_book.expireEnded(moment.now);
}

// A worker that is gone reports no more; one that is there may still report how the task ended.
void Scheduler::sweepTask(Task& task, bool workerIsGone, Moment moment)
{
    auto isSent = task.step == StartStep::Uncertain || task.step == StartStep::Confirmed;
    if (!isSent) {
        auto waitsTooLong = !task.waitsFor.empty() && moment.now > task.startedAt + longestWaitForRoom;
        if (workerIsGone || waitsTooLong)
            m_book.requeue(task, "its worker did not become free", moment);
        return;
    }
    auto lapsesAt = task.leaseUntil + (workerIsGone ? Duration::zero() : m_book.settings().reportLag);
    if (moment.now > lapsesAt)
        m_book.lose(task, "its worker was not heard of until its lease had lapsed", moment);
}

} // namespace fulmar::work
