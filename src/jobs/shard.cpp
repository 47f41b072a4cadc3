#include "jobs/shard.h"

#include "core/log.h"
#include "jobs/placement.h"
#include "jobs/runner_row.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <fmt/format.h>

namespace fulmar::jobs {

namespace {

// Attempts of one epoch stay below those of the next one.
constexpr Attempt attemptsPerEpoch = 1 << 20;
// Looks after an end wait this long for further ends, since each look has a price: briefly while work waits
// for the room that an end frees, else longer.
constexpr Millis gatherEnds { 150 };
constexpr Millis gatherEndsUnderLoad { 40 };
// Pause between looks at a runner that does not answer.
constexpr Millis pauseAfterSilence { 400 };
// Jobs that fail on a runner in a row before it gets no new work for a while.
constexpr std::size_t failuresToAvoid = 3;
constexpr Millis avoidTime { 4'000 };
// Time after which a stop without an answer is sent again.
constexpr Millis repeatStop { 300 };
// Pause before a task is ordered again where the runner had refused it.
constexpr Millis pauseAfterRefusal { 200 };
// Work that waits should be started within half of the slack that its objective leaves, within these bounds.
constexpr Millis minBacklogHorizon { 500 };
constexpr Millis maxBacklogHorizon { 2'500 };
// A pool with more slack than this spreads its jobs over it, and needs this part of the cores that would start
// all of them at once.
constexpr Millis muchSlack { 1'500 };
constexpr double coresWithMuchSlack = 0.7;
// Room beyond the estimated demand: tasks do not fill runners exactly, and estimates are off both ways.
constexpr double demandHeadroom = 1.15;
// The list of VMs is taken as proof of a runner's end only if it was asked for this much later than the list of
// runners lost it: a new VM may be in one before it is in the other.
constexpr Millis unlistedMargin { 300 };
// A runner answers a look only after orders that it acknowledged before; clocks of one process, so no margin.
constexpr Millis noDelay { 0 };

// VMs over which a step's limit of tasks on one of them spreads it.
std::uint32_t spreadOf(const Step& step)
{
    return step.maxPerRunner == 0 ? 0 : (step.count + step.maxPerRunner - 1) / step.maxPerRunner;
}

// VMs that a step's tasks fill, by whichever resource is short first.
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

} // namespace

Shard::Shard(ShardSettings settings, Epoch epoch)
    : m_settings(settings)
    , m_epoch(epoch)
    , m_attemptBase((epoch - 1) * attemptsPerEpoch)
{
}

void Shard::restoreJob(Job job, const JobProgress& progress, TimePoint now)
{
    m_book.restore(std::move(job), progress, now);
}

void Shard::restoreRunner(RunnerReport report, TimePoint now)
{
    auto id = report.id;
    auto& runner = m_runners.insert_or_assign(id, Runner(std::move(report))).first->second;
    runner.isListed = false;
    runner.unlistedSince = now;
    runner.isRecorded = true;
    // The earlier holder may have extended its lease until a moment ago.
    runner.forbidLapseBefore(now + m_settings.maxLease + m_settings.maxLease / 10);
}

void Shard::configure(const FleetConfig&) { }

void Shard::observeRunners(const std::map<RunnerId, RunnerReport>& list, TimePoint now)
{
    for (auto& [id, runner] : m_runners)
        if (std::exchange(runner.isListed, list.contains(id)) && !runner.isListed)
            runner.unlistedSince = now;
    for (const auto& [id, report] : list) {
        // The list still names a life that was seen to end.
        if (m_endedLives.contains({ id, report.born }))
            continue;
        auto found = m_runners.find(id);
        if (found == m_runners.end()) {
            found = m_runners.emplace(id, Runner(report)).first;
            found->second.idleSince = now;
            continue;
        }
        auto& runner = found->second;
        if (report.born > runner.report().born) {
            loseRuns(runner, now, "reborn");
            runner = Runner(report);
            runner.idleSince = now;
        } else if (report.born == runner.report().born) {
            runner.update(report);
        }
    }
    // A runner that left the list and can run nothing any more is forgotten.
    for (auto each = m_runners.begin(); each != m_runners.end();) {
        auto& runner = each->second;
        if (!runner.isListed && runner.runs().empty() && !runner.isLookInFlight && runner.hasLapsed(now)) {
            if (runner.isRecorded)
                m_runnerChanges.push_back({ ShardChange::Kind::RunnerRemoval, each->first.value(), {} });
            each = m_runners.erase(each);
        } else {
            ++each;
        }
    }
}

SubmitDecision Shard::submit(const Job& job, TimePoint now, WallTime wallNow)
{
    SubmitDecision decision;
    if (m_book.find(job.id)) {
        decision.verdict = SubmitVerdict::Known;
        return decision;
    }
    m_demand[job.policy.pool].note(
        job.id, job.estimatedWork(), job.estimatedChain(), job.objective(), now);
    decision.load = loadOf(job.policy.pool, job.policy.priority, now, wallNow);
    decision.admission = decideAdmission(job, decision.load);
    if (decision.admission.verdict != Admission::Accept)
        return decision;
    decision.verdict = SubmitVerdict::New;
    m_book.add(job, now);
    m_newJobs.push_back(job.id);
    return decision;
}

void Shard::cancel(const JobId& id, TimePoint now)
{
    auto* entry = m_book.find(id);
    if (!entry || entry->isOver())
        return;
    entry->state = JobState::Cancelled;
    entry->ended = now;
    entry->isDirty = true;
    stopRunsOf(id);
}

std::uint64_t Shard::pending(const std::string& queue) const
{
    return std::uint64_t(std::count_if(m_book.all().begin(), m_book.all().end(), [&](const auto& each) {
        const auto& entry = each.second;
        return entry.job.queue == queue && entry.isStored && entry.state == JobState::Queued;
    }));
}

void Shard::stopRun(Run& run)
{
    if (run.phase == RunPhase::Stopping)
        return;
    run.phase = RunPhase::Stopping;
    run.stopAnswered.reset();
}

void Shard::loseRuns(Runner& runner, TimePoint now, std::string_view why)
{
    if (!runner.runs().empty())
        logWarning("runner-runs-lost",
            { { "runner", runner.report().id.value() }, { "runs", std::to_string(runner.runs().size()) },
                { "reason", std::string(why) } });
    for (auto& [task, run] : runner.runs())
        if (auto* entry = m_book.find(task.job))
            if (auto* known = entry->find(task); known && known->runner == runner.report().id)
                releaseTask(*entry, task, run.checkpoint);
    while (!runner.runs().empty()) {
        auto task = runner.runs().begin()->first;
        runner.removeRun(task);
    }
    runner.idleSince = now;
}

void Shard::onStart(const RunnerId& id, const StartOrder& order, const OrderAnswer& answer, TimePoint now)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    auto& runner = found->second;
    auto* run = runner.find(order.task);
    if (!run || run->attempt != order.attempt)
        return;
    auto putBack = [&] {
        if (auto* entry = m_book.find(order.task.job)) {
            releaseTask(*entry, order.task, {});
            if (auto* task = entry->find(order.task))
                task->notBefore = now + pauseAfterRefusal;
        }
        runner.removeRun(order.task);
    };
    switch (answer.outcome) {
    case OrderOutcome::Accepted:
        if (run->phase == RunPhase::Starting)
            run->phase = RunPhase::Running;
        if (auto* entry = m_book.find(order.task.job); entry && entry->state == JobState::Queued)
            entry->state = JobState::Running;
        runner.nextLook = std::min(runner.nextLook, now);
        break;
    case OrderOutcome::Unknown:
    case OrderOutcome::Superseded:
        // Superseded: a run as high was there, so that it may also have ended there.
        if (run->phase == RunPhase::Starting)
            run->phase = RunPhase::Doubtful;
        runner.nextLook = std::min(runner.nextLook, now);
        break;
    case OrderOutcome::OtherLife:
        loseRuns(runner, now, "other-life");
        runner.isFenced = false;
        runner.avoidUntil = now + avoidTime;
        break;
    case OrderOutcome::NoRoom:
    case OrderOutcome::Unhealthy:
        runner.avoidUntil = now + pauseAfterRefusal;
        putBack();
        break;
    case OrderOutcome::Fenced:
        runner.avoidUntil = now + avoidTime;
        putBack();
        break;
    case OrderOutcome::NotSent:
        ++runner.lookFailures;
        runner.nextLook = now;
        putBack();
        break;
    case OrderOutcome::Withheld:
    case OrderOutcome::TooLate:
    case OrderOutcome::NeedsTicket:
    case OrderOutcome::BadOrder:
        putBack();
        break;
    }
}

bool Shard::mayStillStart(const RunnerId& id, const StartOrder& order) const
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return false;
    auto run = found->second.runs().find(order.task);
    return run != found->second.runs().end() && run->second.attempt == order.attempt
        && run->second.phase == RunPhase::Starting;
}

void Shard::onStop(const RunnerId& id, const StopOrder& order, const OrderAnswer& answer, TimePoint now)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    auto& runner = found->second;
    auto* run = runner.find(order.task);
    if (!run || run->attempt != order.attempt)
        return;
    run->isStopInFlight = false;
    if (answer.outcome == OrderOutcome::OtherLife) {
        loseRuns(runner, now, "other-life");
        return;
    }
    if (answer.outcome == OrderOutcome::Accepted) {
        run->stopAnswered = now;
        runner.nextLook = std::min(runner.nextLook, now);
    }
}

void Shard::onLook(
    const RunnerId& id, const LookOrder& order, const LookAnswer& look, TimePoint sent, TimePoint now)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    auto& runner = found->second;
    runner.isLookInFlight = false;
    const auto& answer = look.answer;
    auto isOtherLife = answer.outcome == OrderOutcome::OtherLife
        || (answer.born != 0 && answer.born != runner.report().born);
    if (isOtherLife) {
        loseRuns(runner, now, "other-life");
        runner.isFenced = false;
        ++runner.lookFailures;
        runner.nextLook = now + pauseAfterSilence;
        return;
    }
    if (answer.outcome != OrderOutcome::Accepted) {
        if (++runner.lookFailures == 1)
            logWarning("runner-silent",
                { { "runner", id.value() }, { "outcome", std::string(toString(answer.outcome)) },
                    { "runs", std::to_string(runner.runs().size()) } });
        runner.nextLook = now + pauseAfterSilence;
        if (runner.hasLapsed(now))
            loseRuns(runner, now, "lease-lapsed");
        return;
    }
    if (runner.lookFailures > 0)
        logInfo("runner-answers",
            { { "runner", id.value() }, { "failures", std::to_string(runner.lookFailures) } });
    runner.lookFailures = 0;
    if (answer.clock)
        runner.observeClock(*answer.clock, now);
    if (!runner.isFenced) {
        runner.isFenced = true;
        if (!runner.isRecorded)
            m_runnerChanges.push_back({ ShardChange::Kind::Runner, id.value(), encodeRunner(runner.report()) });
    }
    runner.endsAcknowledged = std::max(runner.endsAcknowledged, order.endsSeen);
    applyEnds(runner, look, now);
    applyRunning(runner, look, sent, now);
    auto hadEnds = !look.ended.empty();
    auto gather = m_loadedPools.contains(runner.report().pool) ? gatherEndsUnderLoad : gatherEnds;
    runner.nextLook = hadEnds ? now + gather : now + noDelay;
}

void Shard::noteEvidence(Runner& runner, const EndedTask& ended, TimePoint now)
{
    if (ended.kind == EndKind::Done) {
        runner.failedJobs.clear();
        return;
    }
    if (ended.kind != EndKind::Failed)
        return;
    runner.failedJobs.insert(ended.task.job);
    if (runner.failedJobs.size() < failuresToAvoid)
        return;
    runner.avoidUntil = now + avoidTime;
    logWarning("runner-avoided",
        { { "runner", runner.report().id.value() },
            { "failed-jobs", std::to_string(runner.failedJobs.size()) } });
    runner.failedJobs.clear();
}

void Shard::applyEnds(Runner& runner, const LookAnswer& look, TimePoint now)
{
    for (const auto& ended : look.ended) {
        if (ended.number <= runner.endsApplied)
            continue;
        runner.endsApplied = ended.number;
        noteEvidence(runner, ended, now);
        applyEnd(runner, ended, now);
    }
    if (runner.runs().empty())
        runner.idleSince = std::max(runner.idleSince, now);
}

void Shard::applyEnd(Runner& runner, const EndedTask& ended, TimePoint now)
{
    auto* run = runner.find(ended.task);
    auto isKnownRun = run && run->attempt == ended.attempt;
    if (isKnownRun)
        runner.removeRun(ended.task);
    auto* entry = m_book.find(ended.task.job);
    auto* task = entry ? entry->find(ended.task) : nullptr;
    if (!task)
        return;
    auto before = entry->state;
    auto isPlacedElsewhere
        = task->state == TaskState::Placed && !(isKnownRun && task->runner == runner.report().id);
    if (!isPlacedElsewhere) {
        jobs::applyEnd(*entry, ended.task, ended.attempt, ended.kind, ended.checkpoint, now);
    } else if (ended.kind == EndKind::Done) {
        // The run that was given up for lost did end; the one that took its place has nothing left to do.
        if (auto other = m_runners.find(task->runner); other != m_runners.end())
            if (auto* replacement = other->second.find(ended.task))
                stopRun(*replacement);
        jobs::applyEnd(*entry, ended.task, ended.attempt, ended.kind, ended.checkpoint, now);
    } else if (ended.kind == EndKind::Failed) {
        countFailure(*entry, ended.task, ended.attempt, now);
    }
    if (entry->state != before)
        onJobState(*entry, runner, ended, now);
}

void Shard::onJobState(const JobEntry& entry, const Runner& runner, const EndedTask& ended, TimePoint now)
{
    logInfo("job-state",
        { { "job", entry.job.id.value() }, { "state", std::string(toString(entry.state)) },
            { "runner", runner.report().id.value() }, { "end", std::string(toString(ended.kind)) },
            { "age-ms", std::to_string((now - entry.arrived).count() / 1000) },
            { "objective-ms", std::to_string((entry.due - entry.arrived).count() / 1000) } });
    if (entry.isOver())
        stopRunsOf(entry.job.id);
}

void Shard::stopRunsOf(const JobId& job)
{
    for (auto& [id, runner] : m_runners)
        for (auto& [task, run] : runner.runs())
            if (task.job == job)
                stopRun(run);
}

void Shard::adopt(Runner& runner, const RunningTask& running, TimePoint now)
{
    auto* entry = m_book.find(running.task.job);
    auto* task = entry ? entry->find(running.task) : nullptr;
    auto isWanted = task && entry->isRecovered && !entry->isOver() && task->state == TaskState::Waiting;
    Run run;
    run.attempt = running.attempt;
    run.phase = RunPhase::Running;
    run.ordered = now;
    run.checkpoint = running.checkpoint;
    run.percent = running.percent;
    if (task)
        run.reserved = entry->job.steps[running.task.step].reserved();
    auto& added = runner.addRun(running.task, std::move(run));
    if (!isWanted) {
        stopRun(added);
        return;
    }
    task->state = TaskState::Placed;
    task->runner = runner.report().id;
    ++entry->stepRun(running.task.occurrence, running.task.step).placed;
    if (entry->state == JobState::Queued)
        entry->state = JobState::Running;
}

void Shard::applyRunning(Runner& runner, const LookAnswer& look, TimePoint sent, TimePoint now)
{
    std::set<std::pair<TaskName, Attempt>> present;
    for (const auto& running : look.running) {
        present.emplace(running.task, running.attempt);
        auto* run = runner.find(running.task);
        if (!run) {
            adopt(runner, running, now);
            continue;
        }
        if (run->attempt != running.attempt)
            continue;
        run->checkpoint = running.checkpoint;
        run->percent = running.percent;
        run->gauge = running.gauge;
        if (run->phase == RunPhase::Starting || run->phase == RunPhase::Doubtful)
            run->phase = RunPhase::Running;
    }
    // Runs that are neither listed as running nor as ended: gone if the runner answered after it had them, or
    // after it promised never to begin them.
    std::vector<TaskName> gone;
    for (const auto& [task, run] : runner.runs()) {
        if (present.contains({ task, run.attempt }))
            continue;
        auto isPinned = run.stopAnswered && *run.stopAnswered < sent;
        if (isPinned)
            gone.push_back(task);
    }
    for (const auto& task : gone) {
        auto checkpoint = runner.find(task)->checkpoint;
        runner.removeRun(task);
        auto* entry = m_book.find(task.job);
        if (auto* known = entry ? entry->find(task) : nullptr; known && known->runner == runner.report().id)
            releaseTask(*entry, task, checkpoint);
    }
    // A run that should be there and is not listed: asks for its stop, which settles whether it can begin.
    for (auto& [task, run] : runner.runs())
        if (run.phase == RunPhase::Running && run.ordered < sent && !present.contains({ task, run.attempt })
            && run.ordered + pauseAfterSilence < sent)
            run.phase = RunPhase::Doubtful;
}

void Shard::planStops(Runner& runner, TimePoint now, ShardOrders& orders)
{
    for (auto& [task, run] : runner.runs()) {
        if (run.phase != RunPhase::Stopping && run.phase != RunPhase::Doubtful)
            continue;
        if (run.stopAnswered || run.isStopInFlight || now < run.ordered + repeatStop)
            continue;
        run.isStopInFlight = true;
        orders.stops.push_back({ runner.address(), { task, run.attempt, m_epoch } });
    }
}

void Shard::planLook(Runner& runner, TimePoint now, ShardOrders& orders)
{
    if (runner.isLookInFlight)
        return;
    auto hasUnacknowledged = runner.endsStored > runner.endsAcknowledged;
    auto isUnknown = !runner.isFenced || runner.lookFailures > 0;
    auto mayHoldOldRuns = runner.isRecorded && !runner.isFenced && !runner.hasLapsed(now);
    if (runner.runs().empty() && !hasUnacknowledged && !(runner.isListed ? isUnknown : mayHoldOldRuns))
        return;
    if (runner.nextLook > now) {
        orders.wakeAt = std::min(orders.wakeAt, runner.nextLook);
        return;
    }
    LookOrder look;
    look.epoch = m_epoch;
    // A runner that does not answer may still hear: its lease must be left to end.
    auto isSilent = runner.lookFailures > 0;
    look.leaseUntil = isSilent ? runner.leaseUntil() : runner.extendLease(now, m_settings.maxLease);
    look.endsSeen = runner.endsStored;
    auto isSettled = runner.isFenced && runner.lookFailures == 0 && !runner.runs().empty();
    look.wait = isSettled ? m_settings.lookWait : Millis(0);
    runner.isLookInFlight = true;
    orders.looks.push_back({ runner.address(), look });
}

ShardOrders Shard::plan(TimePoint now, WallTime wallNow, bool mayStart)
{
    ShardOrders orders;
    orders.wakeAt = now + m_settings.lookWait;
    if (mayStart)
        placeJobs(now, wallNow, orders);
    for (auto& [id, runner] : m_runners) {
        if (runner.lookFailures > 0 && !runner.runs().empty() && runner.hasLapsed(now))
            loseRuns(runner, now, "lease-lapsed");
        // What stays on a runner that leaves is lost with it; its lasting tasks go elsewhere at once.
        if (runner.report().isDraining && mayStart)
            for (auto& [task, run] : runner.runs())
                if (auto* entry = m_book.find(task.job); entry && run.phase == RunPhase::Running
                    && entry->job.steps[task.step].isLasting)
                    stopRun(run);
        planStops(runner, now, orders);
        planLook(runner, now, orders);
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

bool Shard::mayRestart(const PoolId& pool, TimePoint now) const
{
    return std::all_of(m_runners.begin(), m_runners.end(), [&](const auto& each) {
        const auto& runner = each.second;
        return runner.report().pool != pool || runner.isFenced || !runner.isRecorded || runner.hasLapsed(now);
    });
}

void Shard::placeJobs(TimePoint now, WallTime wallNow, ShardOrders& orders)
{
    struct Candidate {
        JobEntry* entry;
        StepRun* steps;
    };
    std::map<PoolId, std::vector<Candidate>> byPool;
    m_loadedPools.clear();
    for (auto& [id, entry] : m_book.all()) {
        if (!entry.isStored || entry.isOver())
            continue;
        if (entry.isRecovered && !mayRestart(entry.job.policy.pool, now))
            continue;
        for (auto& steps : entry.stepRuns)
            if (steps.waiting() > 0 && entry.isStartable(steps, wallNow))
                byPool[entry.job.policy.pool].push_back({ &entry, &steps });
    }
    for (auto& [pool, candidates] : byPool) {
        auto runners = usableRunners(pool, now);
        std::sort(candidates.begin(), candidates.end(), [now](const Candidate& a, const Candidate& b) {
            auto rank = [now](const Candidate& each) {
                const auto& entry = *each.entry;
                auto isLasting = entry.job.steps[each.steps->step].isLasting;
                // What cannot end in time any more lets the others go first.
                auto isLate = !isLasting && now + entry.remainingChain() > entry.due;
                return std::tuple(!isLasting, isLate, entry.job.policy.priority, entry.due, entry.job.id);
            };
            return rank(a) < rank(b);
        });
        for (auto& [entry, steps] : candidates) {
            placeStep(*entry, *steps, runners, now, orders);
            if (steps->waiting() > 0 && !entry->job.steps[steps->step].isLasting)
                m_loadedPools.insert(pool);
        }
    }
}

void Shard::order(JobEntry& entry, const TaskName& name, Task& task, Runner& runner, Attempt attempt,
    TimePoint now, ShardOrders& orders)
{
    const auto& step = entry.job.steps[name.step];
    Run run;
    run.attempt = attempt;
    run.reserved = step.reserved();
    run.ordered = now;
    run.checkpoint = task.checkpoint;
    runner.addRun(name, std::move(run));
    task.state = TaskState::Placed;
    task.runner = runner.report().id;
    ++entry.stepRun(name.occurrence, name.step).placed;
    StartOrder order { name, attempt, entry.job.spec, runner.extendLease(now, m_settings.maxLease), m_epoch,
        task.checkpoint, {} };
    orders.starts.push_back({ runner.address(), std::move(order) });
}

void Shard::placeStep(
    JobEntry& entry, StepRun& steps, std::vector<Runner*>& runners, TimePoint now, ShardOrders& orders)
{
    const auto& step = entry.job.steps[steps.step];
    TaskName name { entry.job.id, steps.occurrence, steps.step, 0 };
    RackId rack(step.dataRack);
    if (step.isGang) {
        // All members start together or none does.
        if (steps.placed > 0)
            return;
        std::vector<Runner*> places;
        auto attempt = nextAttempt();
        for (name.index = 0; name.index < steps.tasks.size(); ++name.index) {
            auto* runner = choosePlace(runners, step, name, rack);
            if (!runner)
                break;
            if (step.wantsOneRack && rack.empty())
                rack = runner->report().rack;
            order(entry, name, steps.tasks[name.index], *runner, attempt, now, orders);
            places.push_back(runner);
        }
        if (places.size() == steps.tasks.size())
            return;
        for (name.index = 0; name.index < places.size(); ++name.index) {
            places[name.index]->removeRun(name);
            releaseTask(entry, name, {});
            orders.starts.pop_back();
        }
        return;
    }
    for (name.index = 0; name.index < steps.tasks.size(); ++name.index) {
        auto& task = steps.tasks[name.index];
        if (task.state != TaskState::Waiting || now < task.notBefore)
            continue;
        auto* runner = choosePlace(runners, step, name, rack);
        if (!runner)
            return;
        order(entry, name, task, *runner, nextAttempt(), now, orders);
    }
}

PoolLoad Shard::loadOf(const PoolId& pool, std::int32_t priority, TimePoint now, WallTime wallNow) const
{
    PoolLoad load;
    for (const auto& [id, runner] : m_runners) {
        if (runner.report().pool != pool || !isUsable(runner, now))
            continue;
        load.usableCpu += runner.report().capacity.cpu;
        load.freeCpu += std::max<std::int64_t>(0, runner.room().cpu);
    }
    if (auto arriving = m_arriving.find(pool); arriving != m_arriving.end())
        load.arrivingCpu = arriving->second;
    for (const auto& [id, entry] : m_book.all()) {
        if (entry.isOver() || entry.job.policy.pool != pool || entry.job.policy.priority > priority)
            continue;
        for (const auto& steps : entry.stepRuns) {
            const auto& step = entry.job.steps[steps.step];
            if (step.isLasting)
                continue;
            auto work = double(step.each.cpu) / 1000 * double(step.estimate.count());
            (entry.isStartable(steps, wallNow) ? load.waiting : load.later) += work * double(steps.waiting());
            // A placed task is on average half done.
            load.running += work * double(steps.placed) / 2;
        }
    }
    return load;
}

Shard::Demand Shard::demandOf(const PoolId& pool, TimePoint now, WallTime wallNow)
{
    Demand demand;
    Resources capacity;
    double filledByLasting = 0;
    std::int64_t lasting = 0;
    std::int64_t busy = 0;
    for (const auto& [id, runner] : m_runners) {
        if (runner.report().pool != pool)
            continue;
        if (runner.report().capacity.cpu > capacity.cpu)
            capacity = runner.report().capacity;
        for (const auto& [task, run] : runner.runs()) {
            auto* entry = m_book.find(task.job);
            auto isLasting = entry && entry->job.steps[task.step].isLasting;
            (isLasting ? lasting : busy) += run.reserved.cpu;
        }
    }
    double waiting = 0;
    for (const auto& [id, entry] : m_book.all()) {
        if (entry.isOver() || entry.job.policy.pool != pool)
            continue;
        for (const auto& steps : entry.stepRuns) {
            const auto& step = entry.job.steps[steps.step];
            if (!steps.isDone() && entry.isStartable(steps, wallNow))
                demand.spread = std::max(demand.spread, spreadOf(step));
            if (step.isLasting)
                filledByLasting += vmsFilledBy(step, capacity);
            if (step.isLasting)
                lasting += step.reserved().cpu * steps.waiting();
            else if (entry.isStartable(steps, wallNow))
                waiting += double(step.each.cpu) * double(step.estimate.count()) * steps.waiting();
        }
    }
    auto& meter = m_demand[pool];
    auto slack = meter.meanSlack();
    auto asked = meter.cores(now) * 1000 * (slack > muchSlack ? coresWithMuchSlack : 1);
    auto horizon = std::clamp(slack / 2, minBacklogHorizon, maxBacklogHorizon);
    auto started = double(busy) + waiting / double(horizon.count());
    // One more to go to, should one of them fail or be maintained.
    demand.spread = std::max(demand.spread, std::uint32_t(std::ceil(filledByLasting)));
    demand.spread += demand.spread > 0 ? 1 : 0;
    demand.meanObjective = meter.meanObjective();
    demand.cpu = std::max(started, asked) * demandHeadroom + double(lasting);
    return demand;
}

bool Shard::hasLastingRuns(const RunnerId& id)
{
    auto found = m_runners.find(id);
    return found != m_runners.end()
        && std::any_of(found->second.runs().begin(), found->second.runs().end(), [this](const auto& each) {
               auto* entry = m_book.find(each.first.job);
               return entry && entry->job.steps[each.first.step].isLasting;
           });
}

void Shard::reserve(const RunnerId& id, bool isReserved)
{
    if (auto found = m_runners.find(id); found != m_runners.end())
        found->second.isReserved = isReserved;
}

// As many tasks of the step as it can spare may be away at once, for whatever cause.
bool Shard::canSpare(JobEntry& entry, const TaskName& name)
{
    const auto& step = entry.job.steps[name.step];
    auto& steps = entry.stepRun(name.occurrence, name.step);
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < steps.tasks.size(); ++index) {
        TaskName other { name.job, name.occurrence, name.step, index };
        if (index == name.index)
            continue;
        auto found = m_runners.find(steps.tasks[index].runner);
        auto* run = found == m_runners.end() ? nullptr : found->second.find(other);
        auto isAtWork = run && run->phase == RunPhase::Running && run->percent >= 100
            && found->second.lookFailures == 0;
        away += isAtWork ? 0 : 1;
    }
    return away < std::max(1U, step.maxUnavailable);
}

void Shard::endRunner(const RunnerId& id, TimePoint now, std::string_view why)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    loseRuns(found->second, now, why);
    if (found->second.isRecorded)
        m_runnerChanges.push_back({ ShardChange::Kind::RunnerRemoval, id.value(), {} });
    m_endedLives.insert({ id, found->second.report().born });
    m_runners.erase(found);
}

void Shard::endUnlistedRunners(const std::set<RunnerId>& living, TimePoint asked, TimePoint now)
{
    std::vector<RunnerId> ended;
    for (const auto& [id, runner] : m_runners)
        if (!runner.isListed && !living.contains(id) && runner.unlistedSince + unlistedMargin < asked)
            ended.push_back(id);
    for (const auto& id : ended)
        endRunner(id, now, "vm-has-another-life");
}

bool Shard::hasOtherPlace(const Runner& here, JobEntry& entry, const TaskName& task, TimePoint now)
{
    auto runners = usableRunners(entry.job.policy.pool, now);
    std::erase(runners, &here);
    const auto& step = entry.job.steps[task.step];
    return choosePlace(runners, step, task, RackId(step.dataRack)) != nullptr;
}

void Shard::evacuate(const RunnerId& id, TimePoint now)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    for (auto& [task, run] : found->second.runs()) {
        auto* entry = m_book.find(task.job);
        if (!entry || run.phase != RunPhase::Running || !entry->job.steps[task.step].isLasting)
            continue;
        if (canSpare(*entry, task) && hasOtherPlace(found->second, *entry, task, now))
            stopRun(run);
    }
}

std::vector<ShardChange> Shard::takeChanges(TimePoint now)
{
    std::vector<ShardChange> changes = std::exchange(m_runnerChanges, {});
    for (const auto& id : std::exchange(m_newJobs, {}))
        if (auto* entry = m_book.find(id))
            changes.push_back({ ShardChange::Kind::Job, id.value(), encodeJob(entry->job) });
    for (auto each = m_book.all().begin(); each != m_book.all().end();) {
        auto& [id, entry] = *each;
        if (entry.isDirty && entry.isStored) {
            entry.isDirty = false;
            changes.push_back({ ShardChange::Kind::Progress, id.value(), encodeProgress(entry.progress()) });
        }
        if (entry.isOver() && now > entry.ended + m_settings.keepFinished) {
            changes.push_back({ ShardChange::Kind::JobRemoval, id.value(), {} });
            each = m_book.all().erase(each);
        } else {
            ++each;
        }
    }
    return changes;
}

void Shard::onStored(const ShardChange& change, TimePoint)
{
    switch (change.kind) {
    case ShardChange::Kind::Job:
        if (auto* entry = m_book.find(JobId(change.key)))
            entry->isStored = true;
        break;
    case ShardChange::Kind::Progress:
        if (auto* entry = m_book.find(JobId(change.key)))
            if (auto progress = decodeProgress(change.value))
                entry->storedState = progress->state;
        break;
    case ShardChange::Kind::Runner:
        if (auto found = m_runners.find(RunnerId(change.key)); found != m_runners.end())
            found->second.isRecorded = true;
        break;
    case ShardChange::Kind::JobRemoval:
    case ShardChange::Kind::RunnerRemoval:
        break;
    }
}

Shard::EndsMark Shard::endsMark() const
{
    EndsMark mark;
    for (const auto& [id, runner] : m_runners)
        if (runner.endsApplied > runner.endsStored)
            mark.ends.push_back({ id, runner.report().born, runner.endsApplied });
    return mark;
}

void Shard::onEndsStored(const EndsMark& mark)
{
    for (const auto& [id, born, number] : mark.ends) {
        auto found = m_runners.find(id);
        if (found != m_runners.end() && found->second.report().born == born)
            found->second.endsStored = std::max(found->second.endsStored, number);
    }
}

} // namespace fulmar::jobs
