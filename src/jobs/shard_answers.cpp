#include "jobs/shard.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace fulmar::jobs {

namespace {

// Pause after a poll that returned ends, to collect further ends in the next one, as each poll has a cost.
// Shorter while work waits for the resources that an end frees.
constexpr Millis endBatchDelay { 150 };
constexpr Millis endBatchDelayUnderLoad { 40 };
// Pause before the next poll of a runner that is unreachable or answers with another incarnation. A run
// ordered less than this before a poll was sent may be missing from the answer.
constexpr Millis failedPollDelay { 400 };
// Jobs with failed tasks on a runner, with no task completed in between, after which the runner gets no new
// work for a while.
constexpr std::size_t failingJobsUntilAvoided = 3;
constexpr Millis avoidDuration { 4'000 };
// A stop that was refused or could not be sent is sent again after this pause.
constexpr Millis pauseAfterRefusedStop { 300 };
// Pause before a refused task is ordered again, or a refused poll is sent again.
constexpr Millis pauseAfterRefusal { 200 };
// Polls follow each other at once: an answer reflects every order acknowledged before its poll was sent. The
// comparison of the two times needs no margin, as this process's clock gives both.
constexpr Millis pollDelay { 0 };
// Unanswered start orders of one run before it is stopped and placed elsewhere.
constexpr std::uint32_t maxUnansweredStarts = 3;

bool isAnswered(const OrderAnswer& answer)
{
    return answer.outcome != OrderOutcome::Unknown && answer.outcome != OrderOutcome::NotSent
        && answer.outcome != OrderOutcome::Withheld;
}

} // namespace

void Shard::onStart(const RunnerId& id, const StartOrder& order, const OrderAnswer& answer, TimePoint now)
{
    if (answer.outcome == OrderOutcome::Unknown)
        onUnanswered(id, order.fence);
    auto [foundRunner, run] = findRun(id, order.task, order.attempt);
    if (!run)
        return;
    auto& runner = *foundRunner;
    if (run->startsInFlight > 0)
        --run->startsInFlight;
    recordAnswerTime(answer);
    auto isForEarlierIncarnation = order.incarnation != runner.report().incarnation;
    if (isAnswered(answer) && !isForEarlierIncarnation)
        runner.observeAnswer(now);
    run->lastStartSettledAt = now;
    auto requeue = [&] {
        // An earlier start order may still be carried out.
        if (run->unansweredStarts > 0) {
            if (run->phase != RunPhase::Stopping)
                run->phase = RunPhase::Unconfirmed;
            runner.nextPoll = std::min(runner.nextPoll, now);
            return;
        }
        if (auto* entry = m_jobTable.find(order.task.job)) {
            releaseTask(*entry, order.task, order.attempt, {});
            if (auto* task = entry->find(order.task))
                task->notBefore = now + pauseAfterRefusal;
        }
        runner.removeRun(order.task);
    };
    switch (answer.outcome) {
    case OrderOutcome::Accepted:
        if (run->phase == RunPhase::Starting)
            run->phase = RunPhase::Running;
        if (auto* entry = m_jobTable.find(order.task.job); entry && entry->state == JobState::Queued)
            entry->state = JobState::Running;
        runner.nextPoll = std::min(runner.nextPoll, now);
        break;
    case OrderOutcome::Unknown:
        runner.nextPoll = std::min(runner.nextPoll, now);
        if (run->phase != RunPhase::Starting)
            break;
        // A resend would start the task in the new incarnation, although its start may have crashed the
        // earlier one.
        if (++run->unansweredStarts < maxUnansweredStarts && !isForEarlierIncarnation)
            run->isResendDue = true;
        else
            run->phase = RunPhase::Unconfirmed;
        break;
    case OrderOutcome::Superseded:
        // An equal or higher attempt has been there, so the run may also have ended there.
        if (run->phase == RunPhase::Starting)
            run->phase = RunPhase::Unconfirmed;
        runner.nextPoll = std::min(runner.nextPoll, now);
        break;
    case OrderOutcome::OtherIncarnation:
        if (isForEarlierIncarnation) {
            requeue();
            break;
        }
        onCrash(runner, now, "other-life");
        runner.hasAnsweredThisEpoch = false;
        runner.avoidUntil = now + avoidDuration;
        break;
    case OrderOutcome::NoRoom:
    case OrderOutcome::Unhealthy:
        runner.avoidUntil = now + pauseAfterRefusal;
        requeue();
        break;
    case OrderOutcome::Fenced:
        // By a later order of this holder, if that had a higher token.
        if (order.fence == runner.fence())
            runner.avoidUntil = now + avoidDuration;
        requeue();
        break;
    case OrderOutcome::NotSent:
        ++runner.failedPolls;
        runner.nextPoll = now;
        runner.avoidUntil = now + pauseAfterRefusal;
        requeue();
        break;
    case OrderOutcome::Withheld:
    case OrderOutcome::TooLate:
    case OrderOutcome::NeedsTicket:
    case OrderOutcome::BadOrder:
        requeue();
        break;
    }
}

Shard::KnownRun Shard::findRun(const RunnerId& id, const TaskName& task, Attempt attempt)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return {};
    auto* run = found->second.find(task);
    return run && run->attempt == attempt ? KnownRun { &found->second, run } : KnownRun {};
}

bool Shard::prepareStart(const RunnerId& id, StartOrder& order)
{
    auto [runner, run] = findRun(id, order.task, order.attempt);
    if (!run || run->phase != RunPhase::Starting || runner->isOvercommitted()
        || order.incarnation != runner->report().incarnation)
        return false;
    // The limit may have been cut while the order waited.
    if (run->unansweredStarts == 0 && !m_teamQuota.maySend(*run))
        return false;
    run->fence = runner->fence();
    order.fence = run->fence;
    return true;
}

void Shard::onStop(const RunnerId& id, const StopOrder& order, const OrderAnswer& answer, TimePoint now)
{
    if (answer.outcome == OrderOutcome::Unknown)
        onUnanswered(id, order.fence);
    auto [foundRunner, run] = findRun(id, order.task, order.attempt);
    if (!run)
        return;
    auto& runner = *foundRunner;
    recordAnswerTime(answer);
    // The stop was ordered again when the runner's current incarnation was found.
    if (order.incarnation != runner.report().incarnation)
        return;
    run->isStopInFlight = false;
    if (answer.outcome == OrderOutcome::OtherIncarnation) {
        onCrash(runner, now, "other-life");
        return;
    }
    if (answer.outcome == OrderOutcome::Accepted) {
        runner.observeAnswer(now);
        run->stopAcknowledgedAt = now;
        runner.nextPoll = std::min(runner.nextPoll, now);
    } else if (answer.outcome == OrderOutcome::Unknown) {
        ++run->unansweredStops;
    } else {
        run->stopNotBefore = now + pauseAfterRefusedStop;
    }
}

void Shard::onUnanswered(const RunnerId& id, FencingToken fence)
{
    if (auto found = m_runners.find(id); found != m_runners.end() && fence == found->second.fence())
        found->second.raiseFence(nextFence());
}

void Shard::removeRun(Runner& runner, const TaskName& task)
{
    if (auto* run = runner.find(task); run && run->startsInFlight > 0)
        runner.raiseFence(nextFence());
    runner.removeRun(task);
}

void Shard::recordAnswerTime(const OrderAnswer& answer)
{
    if (isAnswered(answer))
        m_answerTimeout.observe(answer.took);
}

void Shard::onPoll(
    const RunnerId& id, const PollOrder& order, const PollAnswer& poll, TimePoint sent, TimePoint now)
{
    const auto& answer = poll.answer;
    if (answer.outcome == OrderOutcome::Unknown)
        onUnanswered(id, order.fence);
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    auto& runner = found->second;
    auto isForEarlierIncarnation = order.incarnation != runner.report().incarnation;
    auto isFromAnotherIncarnation = answer.outcome == OrderOutcome::Accepted && answer.incarnation != 0
        && answer.incarnation != runner.report().incarnation;
    // Tells nothing of the current incarnation.
    if (isForEarlierIncarnation && (isFromAnotherIncarnation || answer.outcome != OrderOutcome::Accepted))
        return;
    runner.isPollInFlight = false;
    // Overtaken by a later order of this holder.
    if (answer.outcome == OrderOutcome::Fenced && order.fence < runner.fence()) {
        runner.nextPoll = now + pauseAfterRefusal;
        return;
    }
    if (isFromAnotherIncarnation)
        onRestarted(runner, answer.incarnation, now);
    if (answer.outcome == OrderOutcome::OtherIncarnation) {
        onCrash(runner, now, "other-life");
        runner.hasAnsweredThisEpoch = false;
        ++runner.failedPolls;
        runner.nextPoll = now + failedPollDelay;
        return;
    }
    if (answer.outcome != OrderOutcome::Accepted) {
        if (answer.outcome == OrderOutcome::Unknown || answer.outcome == OrderOutcome::NotSent)
            observePollFailure(runner, now - sent >= order.wait + order.timeout, now);
        if (++runner.failedPolls == failedPollsUntilUnreachable)
            logWarning("runner-silent",
                { { "runner", id.value() }, { "outcome", std::string(toString(answer.outcome)) },
                    { "runs", std::to_string(runner.runs().size()) } });
        runner.nextPoll = runner.isUnreachable() ? now + failedPollDelay : now;
        if (runner.hasLeaseLapsed(now))
            onLeaseLapsed(runner, now);
        return;
    }
    if (runner.isUnreachable())
        logInfo("runner-answers",
            { { "runner", id.value() }, { "failures", std::to_string(runner.failedPolls) } });
    runner.failedPolls = 0;
    runner.observeAnswer(now);
    m_lapsedRuns.erase(id);
    runner.statusAsOf = std::max(runner.statusAsOf, sent);
    if (answer.clock)
        runner.observeClock(*answer.clock, now);
    if (!runner.hasAnsweredThisEpoch && order.fence == runner.fence()) {
        runner.hasAnsweredThisEpoch = true;
        if (runner.isRowOutdated || !runner.isStored)
            writeRow(runner);
    }
    if (order.incarnation == runner.report().incarnation)
        runner.lastAcknowledgedEnd = std::max(runner.lastAcknowledgedEnd, order.ackEndsUpTo);
    applyEnds(runner, poll, now);
    applyRunning(runner, order, poll, sent, now);
    auto hadEnds = !poll.ended.empty();
    auto batchDelay
        = m_backloggedPools.contains(runner.report().pool) ? endBatchDelayUnderLoad : endBatchDelay;
    runner.nextPoll = hadEnds ? now + batchDelay : now + pollDelay;
}

void Shard::recordTaskOutcome(Runner& runner, const EndedTask& ended, TimePoint now)
{
    if (ended.kind == EndKind::Done) {
        runner.jobsWithFailures.clear();
        return;
    }
    if (ended.kind != EndKind::Failed)
        return;
    runner.jobsWithFailures.insert(ended.task.job);
    if (runner.jobsWithFailures.size() < failingJobsUntilAvoided)
        return;
    runner.avoidUntil = now + avoidDuration;
    logWarning("runner-avoided",
        { { "runner", runner.report().id.value() },
            { "failed-jobs", std::to_string(runner.jobsWithFailures.size()) } });
    runner.jobsWithFailures.clear();
}

void Shard::applyEnds(Runner& runner, const PollAnswer& poll, TimePoint now)
{
    for (const auto& ended : poll.ended) {
        if (ended.number <= runner.lastAppliedEnd)
            continue;
        if (ended.number > runner.lastAppliedEnd + 1 && runner.areEndsKnownFromFirst)
            logWarning("ends-missing",
                { { "runner", runner.report().id.value() },
                    { "incarnation", std::to_string(runner.report().incarnation) },
                    { "after", std::to_string(runner.lastAppliedEnd) },
                    { "next", std::to_string(ended.number) } });
        runner.lastAppliedEnd = ended.number;
        recordTaskOutcome(runner, ended, now);
        applyEnd(runner, ended, now);
    }
    if (runner.runs().empty())
        runner.idleSince = std::max(runner.idleSince, now);
}

void Shard::applyEnd(Runner& runner, const EndedTask& ended, TimePoint now)
{
    auto* run = runner.find(ended.task);
    auto isKnownRun = run && run->attempt == ended.attempt;
    if (isKnownRun) {
        if (ended.kind == EndKind::Done)
            recordRunTime(runner, ended.task, *run, now);
        removeRun(runner, ended.task);
    }
    auto* entry = m_jobTable.find(ended.task.job);
    auto* task = entry ? entry->find(ended.task) : nullptr;
    if (!task)
        return;
    auto before = entry->state;
    auto isPlacedElsewhere
        = task->state == TaskState::Placed && !(isKnownRun && task->runner == runner.report().id);
    if (!isPlacedElsewhere) {
        jobs::recordEnd(*entry, ended.task, ended.attempt, ended.kind, ended.checkpoint, now);
    } else if (ended.kind == EndKind::Done) {
        // The run given up as lost has completed, so its replacement is not needed.
        if (auto other = m_runners.find(task->runner); other != m_runners.end())
            if (auto* replacement = other->second.find(ended.task))
                stopRun(*replacement);
        jobs::recordEnd(*entry, ended.task, ended.attempt, ended.kind, ended.checkpoint, now);
    } else if (ended.kind == EndKind::Failed) {
        countFailure(*entry, ended.task, ended.attempt, now);
    }
    if (entry->state != before)
        onJobStateChange(*entry, runner, ended, now);
}

// Skips runs that were adopted or resumed, that may have started late, or whose data is in another rack:
// their times differ from those of other runs.
void Shard::recordRunTime(const Runner& runner, const TaskName& task, const Run& run, TimePoint now)
{
    auto* entry = m_jobTable.find(task.job);
    if (!entry || !run.expectedEnd || run.isResumed || run.unansweredStarts > 0)
        return;
    const auto& step = entry->job.steps[task.step];
    if (!step.dataRack.empty() && RackId(step.dataRack) != runner.report().rack)
        return;
    m_runTimes.recordRun(entry->job.queue, step, std::chrono::duration_cast<Millis>(now - run.orderedAt));
}

void Shard::onJobStateChange(
    const JobEntry& entry, const Runner& runner, const EndedTask& ended, TimePoint now)
{
    logInfo("job-state",
        { { "job", entry.job.id.value() }, { "state", std::string(toString(entry.state)) },
            { "runner", runner.report().id.value() }, { "end", std::string(toString(ended.kind)) },
            { "age-ms", std::to_string((now - entry.arrived).count() / 1000) },
            { "objective-ms", std::to_string((entry.deadline - entry.arrived).count() / 1000) } });
    if (entry.isOver())
        stopRunsOf(entry.job.id);
}

void Shard::adopt(Runner& runner, const RunningTask& running, TimePoint now)
{
    auto* entry = m_jobTable.find(running.task.job);
    auto* task = entry ? entry->find(running.task) : nullptr;
    auto isWanted = task && entry->isRecovered && !entry->isOver() && task->state == TaskState::Waiting;
    Run run;
    run.attempt = running.attempt;
    run.phase = RunPhase::Running;
    run.orderedAt = now;
    run.isConfirmed = true;
    run.checkpoint = running.checkpoint;
    run.percent = running.percent;
    if (entry && running.task.step < entry->job.steps.size()) {
        const auto& step = entry->job.steps[running.task.step];
        run.reserved = step.reserved();
        run.team = m_teamQuota.numberOf(entry->job.team);
        run.full = step.perTask;
        run.isLongRunning = step.isLongRunning;
        run.hasCrashRecord = task && !task->crashes.empty();
    }
    auto& added = runner.addRun(running.task, std::move(run));
    if (!isWanted) {
        logWarning("run-not-placed",
            { { "runner", runner.report().id.value() },
                { "incarnation", std::to_string(runner.report().incarnation) },
                { "job", running.task.job.value() }, { "step", std::to_string(running.task.step) },
                { "index", std::to_string(running.task.index) },
                { "attempt", std::to_string(running.attempt) } });
        stopRun(added);
        return;
    }
    task->state = TaskState::Placed;
    task->runner = runner.report().id;
    ++entry->stepOccurrence(running.task.occurrence, running.task.step).placedCount;
    if (entry->state == JobState::Queued)
        entry->state = JobState::Running;
}

void Shard::applyRunning(
    Runner& runner, const PollOrder& order, const PollAnswer& poll, TimePoint sent, TimePoint now)
{
    std::set<std::pair<TaskName, Attempt>> present;
    for (const auto& running : poll.running) {
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
        run->isConfirmed = true;
        run->unsettledCrash.reset();
        if (run->phase == RunPhase::Starting || run->phase == RunPhase::Unconfirmed)
            run->phase = RunPhase::Running;
        clearOfCrashes(running.task, *run, sent);
    }
    // A run listed neither as running nor as ended is gone if it can no longer begin: its start orders had
    // lower fencing tokens than the poll, or the poll was sent after the runner acknowledged the run's stop.
    // Its end may be missing from a truncated list.
    std::vector<TaskName> gone;
    for (const auto& [task, run] : runner.runs()) {
        if (poll.areEndsTruncated || present.contains({ task, run.attempt }))
            continue;
        auto isStopConfirmed = run.stopAcknowledgedAt && *run.stopAcknowledgedAt < sent;
        auto isFenced = run.fence < order.fence && run.startsInFlight == 0 && poll.unreadable == 0;
        if (isStopConfirmed || isFenced)
            gone.push_back(task);
    }
    std::vector<CrashedRun> crashed;
    for (const auto& task : gone) {
        if (const auto& crash = runner.find(task)->unsettledCrash)
            crashed.push_back(*crash);
        loseRun(runner, task);
    }
    countCrashes(crashed, runner.report().id, now, "reborn");
    // A run that should be listed and is not becomes unconfirmed. A stop then settles whether it can still
    // begin.
    for (auto& [task, run] : runner.runs()) {
        if (present.contains({ task, run.attempt }))
            continue;
        if (run.phase == RunPhase::Running && run.orderedAt + failedPollDelay < sent)
            run.phase = RunPhase::Unconfirmed;
        run.isMissing |= run.phase == RunPhase::Unconfirmed && run.lastStartSettledAt < sent;
    }
}

} // namespace fulmar::jobs
