#include "worker_fleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar::standin {

namespace {

// A throttled task advances at this share of its full speed.
constexpr int throttleDivisor = 2;

// A task that is to fail does so after this time.
constexpr Duration failureDelay = std::chrono::milliseconds(200);

bool isActive(TaskPhase phase) { return phase == TaskPhase::Running || phase == TaskPhase::Throttled; }

} // namespace

WorkerFleet::WorkerFleet(ObjectStore& objects, Duration usageLag)
    : m_objects(objects)
    , m_usageLag(usageLag)
{
}

void WorkerFleet::add(WorkerSeed seed)
{
    const auto id = seed.worker;
    m_workers[id].seed = std::move(seed);
}

void WorkerFleet::setTruth(const JobId& job, JobTruth truth) { m_truths[job] = truth; }

void WorkerFleet::markLeaving(const VmId& id)
{
    if (auto* worker = find(id))
        worker->leaving = true;
}

void WorkerFleet::takeDown(TimePoint now, const VmId& id, TimePoint until)
{
    auto* worker = find(id);
    if (!worker)
        return;
    advance(now, *worker);
    for (auto& [taskId, task] : worker->tasks)
        if (isActive(task.phase))
            finish(task, TaskPhase::Failed);
    worker->downUntil = until;
}

Result<void> WorkerFleet::start(TimePoint now, const VmId& id, const TaskStart& start)
{
    auto* worker = find(id);
    if (!worker)
        return notRun(Reason::NotFound, "no worker " + id.value());
    if (now < worker->downUntil)
        return notRun(Reason::NoTarget, "worker is down: " + id.value());
    advance(now, *worker);
    if (!worker->operations.insert(start.operation).second)
        return {};
    if (auto running = worker->tasks.find(start.task);
        running != worker->tasks.end() && isActive(running->second.phase))
        return notRun(Reason::Conflict, "task already runs: " + start.task.value());

    Task task { start, {}, TaskPhase::Running, now, now, now + start.lease, {}, start.checkpoint };
    if (auto truth = m_truths.find(start.job); truth != m_truths.end())
        task.truth = truth->second;
    task.truth.fails = task.truth.fails || worker->seed.failsEverything;
    task.done = progressOf(start.checkpoint);
    ++m_starts[start.task];
    worker->tasks.insert_or_assign(start.task, std::move(task));
    return {};
}

Result<void> WorkerFleet::renew(
    TimePoint now, const VmId& id, const std::vector<TaskId>& tasks, std::chrono::milliseconds lease)
{
    auto* worker = find(id);
    if (!worker)
        return notRun(Reason::NotFound, "no worker " + id.value());
    if (now < worker->downUntil)
        return notRun(Reason::NoTarget, "worker is down: " + id.value());
    advance(now, *worker);
    for (const auto& taskId : tasks)
        if (auto task = worker->tasks.find(taskId);
            task != worker->tasks.end() && isActive(task->second.phase))
            task->second.leaseUntil = std::max(task->second.leaseUntil, now + lease);
    return {};
}

Result<void> WorkerFleet::order(
    TimePoint now, const VmId& id, const TaskId& taskId, TaskOrder order, const OperationId& operation)
{
    auto* worker = find(id);
    if (!worker)
        return notRun(Reason::NotFound, "no worker " + id.value());
    advance(now, *worker);
    auto position = worker->tasks.find(taskId);
    if (position == worker->tasks.end())
        return notRun(Reason::NotFound, "no task " + taskId.value());
    auto& task = position->second;
    if (!worker->operations.insert(operation).second || !isActive(task.phase))
        return {};
    switch (order) {
    case TaskOrder::Checkpoint:
        saveCheckpoint(task);
        break;
    case TaskOrder::Throttle:
        task.phase = TaskPhase::Throttled;
        break;
    case TaskOrder::Resume:
        task.phase = TaskPhase::Running;
        break;
    case TaskOrder::Stop:
        finish(task, TaskPhase::Stopped);
        break;
    }
    return {};
}

std::vector<WorkerReport> WorkerFleet::report(TimePoint now)
{
    std::vector<WorkerReport> reports;
    reports.reserve(m_workers.size());
    for (auto& [id, worker] : m_workers) {
        advance(now, worker);
        reports.push_back(reportOf(now, worker));
    }
    return reports;
}

WorkerFleet::Changes WorkerFleet::changesSince(TimePoint now, Version since)
{
    Changes changes;
    changes.complete = since == 0 || since > m_version;
    const auto version = m_version + 1;
    for (auto& [id, worker] : m_workers) {
        advance(now, worker);
        if (auto report = reportOf(now, worker); worker.changed == 0 || report != worker.told) {
            worker.told = std::move(report);
            worker.changed = version;
            m_version = version;
        }
        if (changes.complete || worker.changed > since)
            changes.reports.push_back(worker.told);
    }
    changes.version = m_version;
    return changes;
}

WorkerFleet::Worker* WorkerFleet::find(const VmId& id)
{
    auto position = m_workers.find(id);
    return position == m_workers.end() ? nullptr : &position->second;
}

void WorkerFleet::advance(TimePoint now, Worker& worker)
{
    for (auto& [taskId, task] : worker.tasks)
        advance(now, task);
}

// Runs the task up to `now` or to the end of its lease, whichever comes first.
void WorkerFleet::advance(TimePoint now, Task& task)
{
    if (!isActive(task.phase) || now <= task.advancedTo)
        return;
    const auto until = std::min(now, task.leaseUntil);
    const auto passed = std::max(until - task.advancedTo, Duration::zero());
    task.done += task.phase == TaskPhase::Throttled ? passed / throttleDivisor : passed;
    task.advancedTo = now;
    if (task.truth.fails && task.done >= failureDelay)
        return finish(task, TaskPhase::Failed);
    if (task.done >= task.truth.runTime)
        return finish(task, TaskPhase::Finished);
    if (now >= task.leaseUntil)
        finish(task, TaskPhase::LeaseLapsed);
}

void WorkerFleet::finish(Task& task, TaskPhase phase)
{
    task.phase = phase;
    if (phase == TaskPhase::Finished)
        ++m_finishes[task.start.task];
}

// The object's content is the progress made, in microseconds.
void WorkerFleet::saveCheckpoint(Task& task)
{
    ++task.checkpoints;
    task.checkpoint = fmt::format(
        "checkpoint/{}/{}/{}", task.start.task.value(), task.start.operation.value(), task.checkpoints);
    m_objects[task.checkpoint] = std::to_string(task.done.count());
}

Duration WorkerFleet::progressOf(const std::string& checkpoint) const
{
    auto object = m_objects.find(checkpoint);
    return object == m_objects.end() ? Duration::zero() : Duration(std::stoll(object->second));
}

// Usage is shown only once it is older than the lag.
TaskReport WorkerFleet::reportOf(TimePoint now, const Task& task) const
{
    TaskReport report { task.start.task, task.start.operation, task.phase, 0, 0, task.checkpoint, {} };
    if (now - task.startedAt >= m_usageLag) {
        report.processorsUsed = task.truth.processors;
        report.memoryMbUsed = task.truth.memoryMb;
    }
    return report;
}

WorkerReport WorkerFleet::reportOf(TimePoint now, const Worker& worker) const
{
    const auto& seed = worker.seed;
    WorkerReport report { seed.worker, seed.pool, seed.zone, seed.rack, seed.processors, seed.memoryMb,
        seed.accelerators, now >= worker.downUntil, worker.leaving, {} };
    for (const auto& [taskId, task] : worker.tasks)
        report.tasks.push_back(reportOf(now, task));
    return report;
}

} // namespace fulmar::standin
