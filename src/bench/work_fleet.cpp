#include "bench/work_fleet.h"

#include <algorithm>

namespace fulmar::bench::longwork {

namespace {

// Tasks save their progress by themselves this often, if they can continue from a checkpoint.
constexpr auto checkpointInterval = std::chrono::seconds(60);
constexpr auto badWorkerFailsAfter = std::chrono::seconds(1);
constexpr auto brokenJobFailsAfter = std::chrono::seconds(3);
// Memory grows to its full size over this time.
constexpr auto memoryRamp = std::chrono::seconds(20);
constexpr double throttledSpeed = 0.5;
// An ended task stays in the reports for this long.
constexpr auto endedShownFor = std::chrono::seconds(20);

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

VirtualFleet::VirtualFleet(Duration reportLag)
    : m_reportLag(reportLag)
{
}

void VirtualFleet::addWorker(WorkerReport worker, bool failsEverything)
{
    m_index[worker.worker] = m_machines.size();
    m_machines.push_back({ std::move(worker), failsEverything, {} });
}

void VirtualFleet::addTask(const TaskId& id, const TrueTask& task) { m_tasks.emplace(id, task); }

void VirtualFleet::start(const VmId& worker, const TaskStart& start, TimePoint now)
{
    ++m_starts[start.task];
    Run run;
    run.report.task = start.task;
    run.report.start = start.operation;
    run.report.checkpoint = start.checkpoint;
    run.task = &m_tasks.at(start.task);
    run.startedAt = now;
    run.checkpointedAt = now;
    if (!start.checkpoint.empty())
        run.progress = run.saved = m_checkpoints[start.task];
    m_machines[m_index.at(worker)].runs.push_back(std::move(run));
}

void VirtualFleet::order(const VmId& worker, const TaskId& task, TaskOrder order, TimePoint now)
{
    for (auto& run : m_machines[m_index.at(worker)].runs) {
        if (run.report.task != task || !run.isActive())
            continue;
        switch (order) {
        case TaskOrder::Checkpoint:
            run.saved = run.progress;
            run.checkpointedAt = now;
            m_checkpoints[task] = run.saved;
            run.report.checkpoint = std::to_string(run.saved);
            break;
        case TaskOrder::Throttle:
            run.throttled = true;
            run.report.phase = TaskPhase::Throttled;
            break;
        case TaskOrder::Resume:
            run.throttled = false;
            run.report.phase = TaskPhase::Running;
            break;
        case TaskOrder::Stop:
            end(run, TaskPhase::Stopped, "", now);
            break;
        }
    }
}

void VirtualFleet::onCancelled(const TaskId& task) { m_tasks.at(task).cancelled = true; }

void VirtualFleet::end(Run& run, TaskPhase phase, std::string detail, TimePoint now)
{
    run.report.phase = phase;
    run.report.detail = std::move(detail);
    run.endedAt = now;
    auto perSecond = run.task->size.processors;
    if (phase == TaskPhase::Finished) {
        m_done.useful += run.progress * perSecond;
        return;
    }
    if (run.task->cancelled)
        return;
    // What is in a checkpoint counts when the task finishes from it.
    m_done.thrownAway += (run.progress - (run.task->idempotent ? run.saved : 0)) * perSecond;
}

Resources VirtualFleet::usage(const Run& run, TimePoint now)
{
    auto grown = std::min(1.0, seconds(now - run.startedAt) / seconds(memoryRamp));
    return { run.task->size.processors * (run.throttled ? throttledSpeed : 1),
        run.task->size.memoryMb * (0.3 + 0.7 * grown), 0 };
}

void VirtualFleet::advance(TimePoint now, Duration step)
{
    for (auto& machine : m_machines)
        advance(machine, now, step);
}

void VirtualFleet::advance(Machine& machine, TimePoint now, Duration step)
{
    std::erase_if(
        machine.runs, [&](const Run& run) { return !run.isActive() && now > run.endedAt + endedShownFor; });
    Resources used;
    for (auto& run : machine.runs) {
        if (!run.isActive())
            continue;
        if (machine.failsEverything && now >= run.startedAt + badWorkerFailsAfter)
            end(run, TaskPhase::Failed, "the worker's disk fails", now);
        else if (run.task->fails && now >= run.startedAt + brokenJobFailsAfter)
            end(run, TaskPhase::Failed, "the job's input is missing", now);
        else
            used += usage(run, now);
    }
    while (used.memoryMb > double(machine.worker.memoryMb)) {
        Run* largest = nullptr;
        for (auto& run : machine.runs)
            if (run.isActive() && (!largest || usage(run, now).memoryMb > usage(*largest, now).memoryMb))
                largest = &run;
        used -= usage(*largest, now);
        ++m_memoryKills;
        end(*largest, TaskPhase::Failed, "out of memory", now);
    }
    auto speed = std::min(1.0, machine.worker.processors / std::max(used.processors, 0.001));
    for (auto& run : machine.runs) {
        if (!run.isActive())
            continue;
        run.progress += seconds(step) * speed * (run.throttled ? throttledSpeed : 1);
        if (run.progress >= seconds(run.task->runTime)) {
            run.progress = seconds(run.task->runTime);
            end(run, TaskPhase::Finished, "", now);
        } else if (run.task->idempotent && now >= run.checkpointedAt + checkpointInterval) {
            order(machine.worker.worker, run.report.task, TaskOrder::Checkpoint, now);
        }
    }
}

void VirtualFleet::snapshot(TimePoint now)
{
    std::vector<WorkerReport> list;
    list.reserve(m_machines.size());
    for (const auto& machine : m_machines) {
        auto& report = list.emplace_back(machine.worker);
        for (const auto& run : machine.runs) {
            auto& task = report.tasks.emplace_back(run.report);
            if (!run.isActive())
                continue;
            auto used = usage(run, now);
            task.processorsUsed = used.processors;
            task.memoryMbUsed = std::uint64_t(used.memoryMb);
        }
    }
    m_snapshots.emplace_back(now, std::move(list));
}

std::vector<WorkerReport> VirtualFleet::reports(TimePoint now)
{
    std::vector<WorkerReport> newest;
    for (; !m_snapshots.empty() && m_snapshots.front().first + m_reportLag <= now; m_snapshots.pop_front())
        newest = std::move(m_snapshots.front().second);
    return newest;
}

WorkDone VirtualFleet::workDone() const
{
    auto done = m_done;
    for (const auto& machine : m_machines)
        for (const auto& run : machine.runs)
            if (run.isActive() && !machine.failsEverything && !run.task->fails)
                done.useful += run.progress * run.task->size.processors;
    return done;
}

std::size_t VirtualFleet::startsOf(const TaskId& task) const
{
    auto position = m_starts.find(task);
    return position == m_starts.end() ? 0 : position->second;
}

} // namespace fulmar::bench::longwork
