#include "jobs/shard.h"

#include "jobs/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace fulmar::jobs {

namespace {

// Capacity is planned to work off the backlog within half of the mean slack, clamped to these bounds.
constexpr Millis minBacklogHorizon { 500 };
constexpr Millis maxBacklogHorizon { 2'500 };
// Factor on the estimated demand: tasks do not fill runners exactly, and estimates may be too low. Spare VMs
// are cheap: by the users' cost model a VM pays off if it is busy for 1/16 of its time, while one that
// arrives late has no value.
constexpr double demandHeadroom = 1.4;

// VMs needed by the step's limit of tasks per runner.
std::uint32_t vmsForMaxPerRunner(const Step& step)
{
    return step.maxPerRunner == 0 ? 0 : (step.count + step.maxPerRunner - 1) / step.maxPerRunner;
}

// VMs that the step's tasks fill, by the scarcest resource.
double vmsFilledBy(const Step& step, const Resources& capacity)
{
    auto need = step.reserved();
    auto perVm = std::numeric_limits<std::int64_t>::max();
    if (need.cpu > 0)
        perVm = std::min(perVm, capacity.cpu / need.cpu);
    if (need.memoryMb > 0)
        perVm = std::min(perVm, capacity.memoryMb / need.memoryMb);
    if (need.accelerators > 0)
        perVm = std::min(perVm, capacity.accelerators / need.accelerators);
    return perVm > 0 ? double(step.count) / double(perVm) : 0;
}

// All members of a gang need their room at the same time.
std::uint32_t vmsForGang(const Step& step, const Resources& capacity)
{
    return step.isGang ? std::uint32_t(std::ceil(vmsFilledBy(step, capacity))) : 0;
}

} // namespace

PoolLoad Shard::loadOf(const Job& job, double cost, TimePoint now, WallTime wallNow) const
{
    const auto& pool = job.policy.pool;
    PoolLoad load;
    for (const auto& [id, runner] : m_runners) {
        if (runner.report().pool != pool || !isUsable(runner, now))
            continue;
        load.usableCpu += runner.report().capacity.cpu;
        load.freeCpu += std::max<std::int64_t>(0, runner.room().cpu);
    }
    if (auto arriving = m_arriving.find(pool); arriving != m_arriving.end())
        load.arrivingCpu = arriving->second;
    load.quotaWait = quotaWaitOf(job, cost, wallNow);
    auto areRunsKnown = areEarlierRunsResolved(pool, now);
    TeamQuota::Room quotaRoom(m_teamQuota);
    for (const auto& [id, entry] : m_jobTable.all()) {
        if (entry.isOver() || entry.job.policy.pool != pool || !isAhead(entry, job, cost, !m_teams.empty()))
            continue;
        // After a change of holder, these tasks may be running, and a new job starts before those that are
        // not.
        auto mayBeRunning = entry.isRecovered && !areRunsKnown;
        for (const auto& stepOccurrence : entry.stepOccurrences) {
            const auto& step = entry.job.steps[stepOccurrence.step];
            if (step.isLongRunning || !entry.isDue(stepOccurrence, wallNow))
                continue;
            auto work = double(step.perTask.cpu) / 1000 * double(step.expectedRunTime().count());
            auto isWaiting = !mayBeRunning && entry.isStartable(stepOccurrence, wallNow);
            auto waiting = stepOccurrence.waitingCount();
            if (isWaiting && entry.job.team != job.team)
                waiting = quotaRoom.take(entry.job, step, waiting);
            (isWaiting ? load.waiting : load.blocked) += work * double(waiting);
            // A placed task is on average half done.
            load.running += work * double(stepOccurrence.placedCount) / 2;
        }
    }
    return load;
}

Millis Shard::quotaWaitOf(const Job& job, double cost, WallTime wallNow) const
{
    const auto& first = job.steps.front();
    if (!m_teamQuota.ledger().isLimited(job.team)
        || m_teamQuota.startable(job, first, first.count) == first.count)
        return Millis(0);
    std::array<double, 3> work {};
    for (const auto& [id, entry] : m_jobTable.all()) {
        if (entry.isOver() || entry.job.team != job.team || !isAhead(entry, job, cost, true))
            continue;
        for (const auto& stepOccurrence : entry.stepOccurrences) {
            const auto& step = entry.job.steps[stepOccurrence.step];
            if (step.isLongRunning || !entry.isDue(stepOccurrence, wallNow))
                continue;
            // A placed task is on average half done.
            auto tasks = double(stepOccurrence.waitingCount()) + double(stepOccurrence.placedCount) / 2;
            for (std::size_t i = 0; i < work.size(); ++i)
                work[i] += tasks * double(step.perTask.*teams::resourceKinds[i])
                    * double(step.expectedRunTime().count());
        }
    }
    return m_teamQuota.timeToRun(job.team, work);
}

std::uint32_t Shard::freeVmsForStalled(const JobEntry& entry, const StepOccurrence& stepOccurrence,
    const Resources& capacity, const std::vector<Runner*>& usable, TimePoint now)
{
    const auto& step = entry.job.steps[stepOccurrence.step];
    auto isStalled = entry.stalledSince && now >= *entry.stalledSince + stallTime;
    // Which VMs have a label is not known before they come.
    if (!isStalled || stepOccurrence.waitingCount() == 0 || !step.requiredLabel.empty())
        return 0;
    auto vms = vmsFilledBy(step, capacity);
    // All members of a gang need room at once.
    if (step.isGang)
        return std::uint32_t(std::ceil(vms));
    TaskName name { entry.job.id, stepOccurrence.occurrence, stepOccurrence.step, 0 };
    auto hasRoom = std::any_of(usable.begin(), usable.end(),
        [&](const Runner* runner) { return hasRoomBesideLongRunning(*runner, step, name); });
    return vms == 0 || hasRoom ? 0 : 1;
}

Shard::Demand Shard::demandOf(const PoolId& pool, TimePoint now, WallTime wallNow)
{
    Demand demand;
    Resources capacity;
    double vmsFilledByLongRunning = 0;
    std::int64_t longRunningCpu = 0;
    std::int64_t runningCpu = 0;
    for (const auto& [id, runner] : m_runners) {
        if (runner.report().pool != pool)
            continue;
        if (runner.report().capacity.cpu > capacity.cpu)
            capacity = runner.report().capacity;
        for (const auto& [task, run] : runner.runs()) {
            auto* entry = m_jobTable.find(task.job);
            auto isLongRunning = entry && entry->job.steps[task.step].isLongRunning;
            (isLongRunning ? longRunningCpu : runningCpu) += run.reserved.cpu;
        }
    }
    auto usable = usableRunners(pool, now);
    std::uint32_t freeVms = 0;
    double waitingMillicoreMs = 0;
    // What only a team's quota holds back needs no VMs.
    TeamQuota::Room quotaRoom(m_teamQuota);
    for (const auto& [id, entry] : m_jobTable.all()) {
        if (entry.isOver() || entry.job.policy.pool != pool)
            continue;
        for (const auto& stepOccurrence : entry.stepOccurrences) {
            auto isStartable = entry.isStartable(stepOccurrence, wallNow);
            auto waiting = stepOccurrence.waitingCount();
            const auto& wholeStep = entry.job.steps[stepOccurrence.step];
            if (isStartable || wholeStep.isLongRunning)
                waiting = quotaRoom.take(entry.job, wholeStep, waiting);
            Step reduced;
            if (waiting < stepOccurrence.waitingCount()) {
                reduced = wholeStep;
                reduced.count -= stepOccurrence.waitingCount() - waiting;
            }
            const auto& step = waiting < stepOccurrence.waitingCount() ? reduced : wholeStep;
            if (!stepOccurrence.isDone() && isStartable)
                demand.minVms
                    = std::max({ demand.minVms, vmsForMaxPerRunner(step), vmsForGang(step, capacity) });
            if (step.isLongRunning)
                vmsFilledByLongRunning += vmsFilledBy(step, capacity);
            if (step.isLongRunning)
                longRunningCpu += step.reserved().cpu * waiting;
            else if (isStartable) {
                waitingMillicoreMs
                    += double(step.perTask.cpu) * double(step.expectedRunTime().count()) * waiting;
                freeVms = std::max(freeVms, freeVmsForStalled(entry, stepOccurrence, capacity, usable, now));
            }
        }
    }
    auto& meter = m_demand[pool];
    auto slack = meter.meanSlack();
    demand.isBurstForecast = m_burstForecast && m_burstForecast->isProven(pool);
    auto submittedCpu = meter.demandedCores(now, demand.isBurstForecast) * 1000;
    if (m_burstForecast)
        submittedCpu = std::max(submittedCpu, m_burstForecast->expectedCores(pool, now) * 1000);
    auto horizon = std::clamp(slack / 2, minBacklogHorizon, maxBacklogHorizon);
    auto backlogCpu = double(runningCpu) + waitingMillicoreMs / double(horizon.count());
    // One more as a destination if one of them fails or is maintained.
    demand.minVms = std::max(demand.minVms, std::uint32_t(std::ceil(vmsFilledByLongRunning)));
    demand.minVms += demand.minVms > 0 ? 1 : 0;
    // Tasks that fit on no usable VM need further ones, even if the sums above suffice.
    if (auto unplaced = m_unplacedLongRunning.find(pool); unplaced != m_unplacedLongRunning.end())
        demand.minVms = std::max(demand.minVms, std::uint32_t(usable.size()) + unplaced->second);
    auto withLongRunning = std::uint32_t(std::count_if(
        usable.begin(), usable.end(), [](const Runner* runner) { return runner->hasLongRunningRuns(); }));
    if (freeVms > 0)
        demand.minVms = std::max(demand.minVms, withLongRunning + freeVms);
    demand.meanObjective = meter.meanObjective();
    demand.cpu = std::max(backlogCpu, submittedCpu) * demandHeadroom + double(longRunningCpu);
    return demand;
}

} // namespace fulmar::jobs
