#include "jobs/shard.h"

#include "core/log.h"
#include "jobs/crash_evidence.h"
#include "jobs/placement.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar::jobs {

namespace {

// Per pool.
constexpr Millis unplacedLogInterval { 1'000 };
// Each check visits all unfinished tasks, and logs the job that has waited longest.
constexpr Millis stallCheckInterval { 1'000 };
// In a pool that is busy, the waits of other jobs than long-running ones are mostly due to its load.
constexpr Millis stallTimeInBusyPool { 3'000 };
// Lower bound of a poll's wait, reached when a task runs beyond its estimate.
constexpr Millis minPollWait { 200 };
// Lower bound while work waits for capacity. If the answer to a poll is lost, freed resources stay unused
// until the poll times out, so the wait is kept short.
constexpr Millis minPollWaitUnderLoad { 50 };
// A task counts as working only if a poll sent within this time says so: two poll waits of 1 s plus 0.5 s for
// the answer. Shorter than the shortest notice period of the users' disruption budgets.
constexpr Millis maxStatusAge { 2'500 };
// Tasks end around their estimate; waiting this much longer usually includes the end in the answer.
constexpr Millis pollWaitMargin { 100 };

// Whether less than half of the processors of these runners is reserved.
bool isUnderHalfInUse(const std::vector<Runner*>& usable, const std::vector<Runner*>& emptying)
{
    Resources reserved;
    Resources capacity;
    for (const auto* group : { &usable, &emptying })
        for (const auto* runner : *group) {
            reserved += runner->reserved();
            capacity += runner->report().capacity;
        }
    return reserved.cpu * 2 < capacity.cpu;
}

// Tasks of the step that wait to be isolated, if one of the runners can ever take them.
std::size_t countWaitingForIsolation(
    const JobEntry& entry, const StepOccurrence& stepOccurrence, const std::vector<Runner*>& usable)
{
    const auto& step = entry.job.steps[stepOccurrence.step];
    // The members of a gang start together.
    if (!entry.hasCrashRecords || step.isGang)
        return 0;
    TaskName name { entry.job.id, stepOccurrence.occurrence, stepOccurrence.step, 0 };
    if (std::none_of(usable.begin(), usable.end(),
            [&](const Runner* runner) { return hasRoomBesideLongRunning(*runner, step, name); }))
        return 0;
    return std::size_t(
        std::count_if(stepOccurrence.tasks.begin(), stepOccurrence.tasks.end(), [](const Task& task) {
            return task.state == TaskState::Waiting
                && isolationFor(task.crashes, task.isCrashSuspect) != Isolation::None;
        }));
}

} // namespace

// Sends the same attempt again. A runner that already has it confirms it and does not start it twice.
void Shard::planResends(Runner& runner, ShardOrders& orders)
{
    for (auto& [task, run] : runner.runs()) {
        if (!std::exchange(run.isResendDue, false) || run.phase != RunPhase::Starting)
            continue;
        auto* entry = m_jobTable.find(task.job);
        if (!entry || entry->isOver() || runner.isOvercommitted()) {
            run.phase = RunPhase::Unconfirmed;
            continue;
        }
        run.fence = runner.fence();
        ++run.startsInFlight;
        orders.starts.push_back({ runner.address(),
            { task, run.attempt, entry->job.spec, runner.leaseUntil(), run.fence, run.checkpoint, {},
                m_answerTimeout.timeout(run.unansweredStarts), runner.report().incarnation } });
    }
}

// Waits until about the next expected end: if the answer is lost, that end is hidden no longer than
// necessary.
Millis Shard::pollWaitFor(const Runner& runner, TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto& [task, run] : runner.runs())
        if (run.expectedEnd && (!next || *run.expectedEnd < *next))
            next = run.expectedEnd;
    if (!next)
        return m_settings.maxPollWait;
    auto hasBacklog = m_backloggedPools.contains(runner.report().pool);
    auto minWait = hasBacklog ? minPollWaitUnderLoad : minPollWait;
    auto until = std::chrono::ceil<Millis>(*next - now) + (hasBacklog ? Millis(0) : pollWaitMargin);
    return std::clamp(until, std::min(minWait, m_settings.maxPollWait), m_settings.maxPollWait);
}

void Shard::planStops(Runner& runner, TimePoint now, ShardOrders& orders)
{
    for (auto& [task, run] : runner.runs()) {
        if (run.phase != RunPhase::Stopping && run.phase != RunPhase::Unconfirmed)
            continue;
        if (run.stopAcknowledgedAt || run.isStopInFlight || now < run.stopNotBefore)
            continue;
        // A long-running task whose start is unconfirmed may be running: it is stopped only once a poll shows
        // it missing.
        if (run.phase == RunPhase::Unconfirmed && run.isLongRunning && !run.isMissing)
            continue;
        run.isStopInFlight = true;
        orders.stops.push_back({ runner.address(),
            { task, run.attempt, runner.fence(), m_answerTimeout.timeout(run.unansweredStops),
                runner.report().incarnation } });
    }
}

void Shard::planPoll(Runner& runner, TimePoint now, bool mayExtendLease, ShardOrders& orders)
{
    if (runner.isPollInFlight)
        return;
    auto hasUnacknowledged = runner.lastStoredEnd > runner.lastAcknowledgedEnd;
    auto needsAnswer = !runner.hasAnsweredThisEpoch || runner.failedPolls > 0;
    auto mayHaveRunsOfEarlierHolder
        = runner.isStored && !runner.hasAnsweredThisEpoch && !runner.hasLeaseLapsed(now);
    if (runner.runs().empty() && !hasUnacknowledged
        && !(runner.isListed ? needsAnswer : mayHaveRunsOfEarlierHolder))
        return;
    if (runner.nextPoll > now) {
        orders.wakeAt = std::min(orders.wakeAt, runner.nextPoll);
        return;
    }
    PollOrder poll;
    poll.fence = runner.fence();
    // A runner that does not answer may still receive polls. They must not extend its lease, which has to
    // lapse before its tasks are placed elsewhere. The same holds for polls of a holder that may have been
    // replaced: the next one may be cut off from the runner.
    auto hasFailed = runner.failedPolls > 0;
    poll.leaseUntil
        = hasFailed || !mayExtendLease ? runner.leaseUntil() : runner.extendLease(now, m_settings.maxLease);
    // Sent no more often than necessary: an incarnation that has not seen this fencing token numbers its ends
    // anew and would forget some that it has not reported.
    poll.ackEndsUpTo = hasUnacknowledged && !hasFailed ? runner.lastStoredEnd : 0;
    auto mayLongPoll = runner.hasAnsweredThisEpoch && runner.failedPolls == 0 && !runner.runs().empty();
    poll.wait = mayLongPoll ? pollWaitFor(runner, now) : Millis(0);
    poll.timeout = m_answerTimeout.timeout(runner.failedPolls);
    poll.incarnation = runner.report().incarnation;
    runner.isPollInFlight = true;
    orders.polls.push_back({ runner.address(), poll });
    // The next incarnation may have begun, and must not take this acknowledgement for one of its own ends.
    if (poll.ackEndsUpTo > 0)
        runner.raiseFence(nextFence());
}

ShardOrders Shard::plan(TimePoint now, WallTime wallNow, bool mayStart)
{
    ShardOrders orders;
    orders.wakeAt = now + m_settings.maxPollWait;
    if (now >= m_nextStallCheck)
        checkForStalledJobs(now, wallNow, mayStart);
    m_teamQuota.recount(m_runners, m_jobTable, m_earlierRunsEndBy, now, wallNow);
    if (mayStart)
        placeJobs(now, wallNow, orders);
    for (auto& [id, runner] : m_runners) {
        if (runner.failedPolls > 0 && !runner.runs().empty() && runner.hasLeaseLapsed(now))
            onLeaseLapsed(runner, now);
        // Long-running tasks of a draining runner are stopped at once, to be placed elsewhere; others may end
        // by themselves.
        if (runner.report().isDraining && mayStart)
            for (auto& [task, run] : runner.runs())
                if (auto* entry = m_jobTable.find(task.job);
                    entry && run.phase == RunPhase::Running && entry->job.steps[task.step].isLongRunning)
                    stopRun(run);
        if (mayStart)
            planResends(runner, orders);
        planStops(runner, now, orders);
        planPoll(runner, now, mayStart, orders);
    }
    return orders;
}

std::vector<Runner*> Shard::usableRunners(const PoolId& pool, TimePoint now)
{
    std::vector<Runner*> usable;
    for (auto& [id, runner] : m_runners)
        if (runner.report().pool == pool && isUsable(runner, now))
            usable.push_back(&runner);
    return usable;
}

std::vector<Runner*> Shard::emptyingRunners(const PoolId& pool, TimePoint now)
{
    std::vector<Runner*> emptying;
    for (auto& [id, runner] : m_runners)
        if (runner.report().pool == pool && isUsableLastResort(runner, now))
            emptying.push_back(&runner);
    return emptying;
}

// Runners that are set apart stay so while tasks wait to be isolated; those with the fewest runs come next.
Shard::PoolRunners Shard::divideRunners(const std::vector<Runner*>& usable, std::size_t wanted, TimePoint now)
{
    auto ranked = usable;
    std::partial_sort(ranked.begin(), ranked.begin() + std::ptrdiff_t(wanted), ranked.end(),
        [](const Runner* a, const Runner* b) {
            return std::tuple(!a->isSetApart, a->runs().size(), a->report().id)
                < std::tuple(!b->isSetApart, b->runs().size(), b->report().id);
        });
    for (std::size_t i = 0; i < ranked.size(); ++i)
        ranked[i]->isSetApart = i < wanted || isObserving(*ranked[i], now);
    PoolRunners runners;
    for (auto* runner : usable)
        (runner->isSetApart ? runners.setApart : runners.shared).push_back(runner);
    return runners;
}

bool Shard::areEarlierRunsResolved(const PoolId& pool, TimePoint now) const
{
    // However often a runner that does not answer starts again.
    if (now >= m_earlierRunsEndBy)
        return true;
    return std::all_of(m_runners.begin(), m_runners.end(), [&](const auto& each) {
        const auto& runner = each.second;
        return runner.report().pool != pool || runner.hasAnsweredThisEpoch || !runner.isStored
            || runner.hasLeaseLapsed(now);
    });
}

void Shard::placeJobs(TimePoint now, WallTime wallNow, ShardOrders& orders)
{
    struct Candidate {
        JobEntry* entry;
        StepOccurrence* stepOccurrence;
        WorkRank rank;
    };
    auto hasTeams = !m_teams.empty();
    std::map<PoolId, std::vector<Candidate>> byPool;
    m_backloggedPools.clear();
    m_unplacedLongRunning.clear();
    for (auto& [id, entry] : m_jobTable.all()) {
        if (!entry.isStored || entry.isOver())
            continue;
        entry.updateHeld(wallNow);
        if (entry.isRecovered && !areEarlierRunsResolved(entry.job.policy.pool, now))
            continue;
        for (auto& stepOccurrence : entry.stepOccurrences)
            if (stepOccurrence.waitingCount() > 0 && entry.isStartable(stepOccurrence, wallNow))
                byPool[entry.job.policy.pool].push_back(
                    { &entry, &stepOccurrence, rankOf(entry, stepOccurrence, hasTeams, now, wallNow) });
    }
    for (auto& [pool, candidates] : byPool) {
        auto usable = usableRunners(pool, now);
        auto emptying = emptyingRunners(pool, now);
        auto isIdle = isUnderHalfInUse(usable, emptying);
        auto mayUseLastResort = [=](const Candidate& each) {
            const auto& [entry, stepOccurrence, rank] = each;
            auto isLongRunning = entry->job.steps[stepOccurrence->step].isLongRunning;
            auto patience = isIdle || isLongRunning ? stallTime : stallTimeInBusyPool;
            return entry->stalledSince && now >= *entry->stalledSince + patience;
        };
        std::size_t waitingForIsolation = 0;
        auto haveWaitedLong = false;
        for (const auto& each : candidates) {
            auto waiting = countWaitingForIsolation(*each.entry, *each.stepOccurrence, usable);
            waitingForIsolation += waiting;
            haveWaitedLong |= waiting > 0 && mayUseLastResort(each);
        }
        auto runners = divideRunners(
            usable, runnersToSetApart(waitingForIsolation, usable.size(), haveWaitedLong), now);
        runners.isIdle = isIdle;
        runners.emptying = std::move(emptying);
        if (hasTeams) {
            std::vector<WorkRank*> ranks;
            for (auto& each : candidates)
                ranks.push_back(&each.rank);
            preferOneOverdue(std::move(ranks), now);
        }
        std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
            return std::tie(a.rank, a.entry->job.id) < std::tie(b.rank, b.entry->job.id);
        });
        for (const auto& each : candidates) {
            const auto& [entry, stepOccurrence, rank] = each;
            runners.mayShortenIsolation = mayUseLastResort(each);
            placeStep(*entry, *stepOccurrence, runners, now, orders);
            if (stepOccurrence->waitingCount() > 0 && runners.mayShortenIsolation)
                placeStepAsLastResort(*entry, *stepOccurrence, runners, now, orders);
            const auto& step = entry->job.steps[stepOccurrence->step];
            auto waiting = noteWaiting(*entry, *stepOccurrence);
            if (waiting == 0)
                continue;
            if (step.isLongRunning) {
                m_unplacedLongRunning[pool]
                    += step.maxPerRunner == 0 ? 1 : (waiting + step.maxPerRunner - 1) / step.maxPerRunner;
                logUnplaced(*entry, *stepOccurrence, now);
            } else
                m_backloggedPools.insert(pool);
        }
    }
}

// The waiting tasks that the quota would let start, and that lack a runner.
std::uint32_t Shard::noteWaiting(const JobEntry& entry, const StepOccurrence& stepOccurrence)
{
    const auto& step = entry.job.steps[stepOccurrence.step];
    auto waiting = stepOccurrence.waitingCount();
    if (stepOccurrence.isHeldBackByQuota) {
        m_teamQuota.noteHeldBack(entry.job, step, waiting);
        return 0;
    }
    auto withinQuota = m_teamQuota.startable(entry.job, step, waiting);
    m_teamQuota.noteQueued(entry.job, step, withinQuota);
    m_teamQuota.noteHeldBack(entry.job, step, waiting - withinQuota);
    return withinQuota;
}

void Shard::placeStepAsLastResort(
    JobEntry& entry, StepOccurrence& stepOccurrence, PoolRunners& runners, TimePoint now, ShardOrders& orders)
{
    const auto& step = entry.job.steps[stepOccurrence.step];
    PoolRunners all;
    all.mayShortenIsolation = true;
    // One task at work ends the stall of a job without long-running tasks.
    if (!step.isLongRunning)
        all.maxTasks = 1;
    auto before = stepOccurrence.placedCount;
    for (const auto* group : { &runners.shared, &runners.setApart, &runners.emptying }) {
        if (group == &runners.emptying && !runners.isIdle && !step.isLongRunning)
            continue;
        std::copy_if(group->begin(), group->end(), std::back_inserter(all.shared),
            [now](const Runner* runner) { return !isObserving(*runner, now); });
    }
    placeStep(entry, stepOccurrence, all, now, orders);
    // Until it is known whether these starts succeed.
    if (stepOccurrence.placedCount > before)
        entry.stalledSince.reset();
    std::erase_if(runners.shared, [now](const Runner* runner) { return isObserving(*runner, now); });
}

void Shard::checkForStalledJobs(TimePoint now, WallTime wallNow, bool mayStart)
{
    m_nextStallCheck = now + stallCheckInterval;
    m_stalledJobs = {};
    const JobEntry* oldest = nullptr;
    std::optional<TaskName> oldestTask;
    for (auto& [id, entry] : m_jobTable.all()) {
        auto task
            = entry.isStored && !entry.isOver() ? findStalledTask(entry, m_runners, wallNow) : std::nullopt;
        if (!task) {
            entry.stalledSince.reset();
            continue;
        }
        if (!entry.stalledSince)
            entry.stalledSince = now;
        if (now - *entry.stalledSince < stallTime)
            continue;
        ++m_stalledJobs.count;
        if (oldest && *oldest->stalledSince <= *entry.stalledSince)
            continue;
        oldest = &entry;
        oldestTask = task;
    }
    if (!oldest)
        return;
    const auto& pool = oldest->job.policy.pool;
    auto reason
        = stallReasonOf(*oldest, *oldestTask, m_runners, mayStart, areEarlierRunsResolved(pool, now), now);
    auto stalledFor = std::chrono::duration_cast<Millis>(now - *oldest->stalledSince);
    m_stalledJobs.oldest = { *oldestTask, reason, stalledFor };
    auto need = oldest->job.steps[oldestTask->step].reserved();
    logWarning("job-stalled",
        { { "job", oldestTask->job.value() }, { "step", std::to_string(oldestTask->step) },
            { "index", std::to_string(oldestTask->index) }, { "reason", std::string(toString(reason)) },
            { "ms", std::to_string(stalledFor.count()) },
            { "stalled-jobs", std::to_string(m_stalledJobs.count) }, { "cpu", std::to_string(need.cpu) },
            { "memory-mb", std::to_string(need.memoryMb) }, { "pool", pool.value() },
            { "runners", describeRunners(*oldest, *oldestTask, m_runners, now) } });
}

void Shard::logUnplaced(const JobEntry& entry, const StepOccurrence& stepOccurrence, TimePoint now)
{
    auto& next = m_nextUnplacedLog[entry.job.policy.pool];
    if (now < next)
        return;
    next = now + unplacedLogInterval;
    std::map<std::string_view, int> runners;
    for (const auto& [id, runner] : m_runners)
        if (runner.report().pool == entry.job.policy.pool) {
            auto reason = unusableReason(runner, now);
            ++runners[reason.empty() ? "usable" : reason];
        }
    std::string text;
    for (const auto& [what, count] : runners)
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", what, count);
    logInfo("lasting-tasks-wait",
        { { "job", entry.job.id.value() }, { "step", std::to_string(stepOccurrence.step) },
            { "waiting", std::to_string(stepOccurrence.waitingCount()) },
            { "of", std::to_string(stepOccurrence.tasks.size()) }, { "pool", entry.job.policy.pool.value() },
            { "runners", text } });
}

void Shard::orderStart(JobEntry& entry, const TaskName& name, Task& task, Runner& runner, Attempt attempt,
    Isolation isolation, TimePoint now, ShardOrders& orders)
{
    const auto& step = entry.job.steps[name.step];
    Run run;
    run.attempt = attempt;
    run.fence = runner.fence();
    run.startsInFlight = 1;
    run.reserved = step.reserved();
    run.team = m_teamQuota.numberOf(entry.job.team);
    run.full = step.perTask;
    run.orderedAt = now;
    run.isLongRunning = step.isLongRunning;
    run.isolation = isolation;
    run.hasCrashRecord = !task.crashes.empty();
    if (!step.isLongRunning)
        run.expectedEnd = now + step.expectedRunTime();
    run.isResumed = !task.checkpoint.empty();
    run.checkpoint = task.checkpoint;
    m_teamQuota.add(runner.addRun(name, std::move(run)));
    task.state = TaskState::Placed;
    task.runner = runner.report().id;
    ++entry.stepOccurrence(name.occurrence, name.step).placedCount;
    StartOrder order { name, attempt, entry.job.spec, runner.extendLease(now, m_settings.maxLease),
        runner.fence(), task.checkpoint, {}, m_answerTimeout.timeout(0), runner.report().incarnation };
    orders.starts.push_back({ runner.address(), std::move(order) });
}

void Shard::placeStep(
    JobEntry& entry, StepOccurrence& stepOccurrence, PoolRunners& runners, TimePoint now, ShardOrders& orders)
{
    const auto& step = entry.job.steps[stepOccurrence.step];
    TaskName name { entry.job.id, stepOccurrence.occurrence, stepOccurrence.step, 0 };
    RackId rack(step.dataRack);
    stepOccurrence.isHeldBackByQuota = false;
    if (step.isGang) {
        // All members start together or none does.
        auto isAnyTaskDelayed = std::any_of(stepOccurrence.tasks.begin(), stepOccurrence.tasks.end(),
            [now](const Task& task) { return now < task.notBefore; });
        if (stepOccurrence.placedCount > 0 || isAnyTaskDelayed)
            return;
        stepOccurrence.isHeldBackByQuota = !m_teamQuota.mayStart(entry.job, step, step.count);
        if (stepOccurrence.isHeldBackByQuota)
            return;
        std::vector<Runner*> places;
        auto attempt = nextAttempt();
        for (name.index = 0; name.index < stepOccurrence.tasks.size(); ++name.index) {
            auto* runner = chooseRunner(runners.shared, step, name, rack);
            if (!runner)
                break;
            if (step.wantsOneRack && rack.empty())
                rack = runner->report().rack;
            orderStart(entry, name, stepOccurrence.tasks[name.index], *runner, attempt, Isolation::None, now,
                orders);
            places.push_back(runner);
        }
        if (places.size() == stepOccurrence.tasks.size())
            return;
        for (name.index = 0; name.index < places.size(); ++name.index) {
            m_teamQuota.remove(*places[name.index]->find(name));
            places[name.index]->removeRun(name);
            releaseTask(entry, name, attempt, {});
            orders.starts.pop_back();
        }
        // No start with this attempt was sent.
        --m_attempts;
        return;
    }
    auto before = stepOccurrence.placedCount;
    placeTasks(entry, stepOccurrence, runners, now, orders);
    if (stepOccurrence.placedCount > before)
        logInfo("placed",
            { { "job", entry.job.id.value() }, { "step", std::to_string(stepOccurrence.step) },
                { "tasks", std::to_string(stepOccurrence.placedCount - before) },
                { "waiting", std::to_string(stepOccurrence.waitingCount()) },
                { "age-ms", std::to_string((now - entry.arrived).count() / 1000) },
                { "slack-ms", std::to_string((entry.deadline - now).count() / 1000) } });
}

// Without load, runners that are not set apart are idle and isolate a task as well. Under load they would
// lose other runs with it.
Runner* Shard::chooseRunnerForIsolation(
    const PoolRunners& runners, Isolation isolation, const Step& step, const TaskName& name, TimePoint now)
{
    auto chooseFrom = [&](const std::vector<Runner*>& group, Isolation required) {
        std::vector<Runner*> candidates;
        std::copy_if(group.begin(), group.end(), std::back_inserter(candidates),
            [=](const Runner* runner) { return canIsolate(*runner, required, now); });
        return chooseRunner(candidates, step, name, RackId(step.dataRack));
    };
    auto* runner = chooseFrom(runners.setApart, isolation);
    if (!runner)
        runner = chooseFrom(runners.shared, Isolation::Exclusive);
    return runner || !runners.mayShortenIsolation ? runner : chooseFrom(runners.shared, isolation);
}

void Shard::placeTasks(
    JobEntry& entry, StepOccurrence& stepOccurrence, PoolRunners& runners, TimePoint now, ShardOrders& orders)
{
    const auto& step = entry.job.steps[stepOccurrence.step];
    TaskName name { entry.job.id, stepOccurrence.occurrence, stepOccurrence.step, 0 };
    RackId rack(step.dataRack);
    auto areSharedRunnersFull = false;
    auto mostPlaced = runners.maxTasks ? stepOccurrence.placedCount + *runners.maxTasks
                                       : std::uint32_t(stepOccurrence.tasks.size());
    for (name.index = 0; name.index < stepOccurrence.tasks.size(); ++name.index) {
        if (stepOccurrence.placedCount >= mostPlaced)
            return;
        auto& task = stepOccurrence.tasks[name.index];
        if (task.state != TaskState::Waiting || now < task.notBefore)
            continue;
        stepOccurrence.isHeldBackByQuota = !m_teamQuota.mayStart(entry.job, step, 1);
        if (stepOccurrence.isHeldBackByQuota)
            return;
        auto isolation = isolationFor(task.crashes, task.isCrashSuspect);
        if (runners.mayShortenIsolation && isolation == Isolation::Exclusive)
            isolation = Isolation::Start;
        if (isolation == Isolation::None) {
            auto* runner = areSharedRunnersFull ? nullptr : chooseRunner(runners.shared, step, name, rack);
            if (runner) {
                orderStart(entry, name, task, *runner, nextAttempt(), isolation, now, orders);
            } else if (entry.hasCrashRecords) {
                // Tasks that are to be isolated may follow.
                areSharedRunnersFull = true;
            } else {
                return;
            }
        } else if (auto* runner = chooseRunnerForIsolation(runners, isolation, step, name, now)) {
            orderStart(entry, name, task, *runner, nextAttempt(), isolation, now, orders);
            std::erase(runners.shared, runner);
        }
    }
}

bool Shard::hasLongRunningTasks(const RunnerId& id)
{
    auto found = m_runners.find(id);
    return found != m_runners.end()
        && std::any_of(found->second.runs().begin(), found->second.runs().end(), [this](const auto& each) {
               auto* entry = m_jobTable.find(each.first.job);
               return entry && entry->job.steps[each.first.step].isLongRunning;
           });
}

// Whether at most max(1, maxUnavailable) tasks of the step would be unavailable, for whatever reason, if this
// one is stopped. A task without recent status counts as unavailable: if this process is delayed, the
// runner's lease may have ended unnoticed.
bool Shard::canInterrupt(JobEntry& entry, const TaskName& name, TimePoint now)
{
    const auto& step = entry.job.steps[name.step];
    auto& stepOccurrence = entry.stepOccurrence(name.occurrence, name.step);
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < stepOccurrence.tasks.size(); ++index) {
        TaskName other { name.job, name.occurrence, name.step, index };
        if (index == name.index)
            continue;
        auto found = m_runners.find(stepOccurrence.tasks[index].runner);
        auto* run = found == m_runners.end() ? nullptr : found->second.find(other);
        auto isWorking = run && run->phase == RunPhase::Running && run->percent >= 100
            && found->second.failedPolls == 0 && now <= found->second.statusAsOf + maxStatusAge;
        unavailable += isWorking ? 0 : 1;
    }
    return unavailable < std::max(1U, step.maxUnavailable);
}

bool Shard::hasAlternativeRunner(const Runner& here, JobEntry& entry, const TaskName& task, TimePoint now)
{
    auto runners = usableRunners(entry.job.policy.pool, now);
    std::erase(runners, &here);
    const auto& step = entry.job.steps[task.step];
    return chooseRunner(runners, step, task, RackId(step.dataRack)) != nullptr;
}

void Shard::evacuate(const RunnerId& id, TimePoint now)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    for (auto& [task, run] : found->second.runs()) {
        auto* entry = m_jobTable.find(task.job);
        if (!entry || run.phase != RunPhase::Running || !entry->job.steps[task.step].isLongRunning)
            continue;
        if (canInterrupt(*entry, task, now) && hasAlternativeRunner(found->second, *entry, task, now))
            stopRun(run);
    }
}

} // namespace fulmar::jobs
