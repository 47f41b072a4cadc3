#include "jobs/shard.h"

#include "core/log.h"
#include "jobs/runner_row.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

// Fencing tokens of one epoch; those of the next one are higher.
constexpr FencingToken fencesPerEpoch = FencingToken(1) << 32;
// Keeps the attempts of an epoch below those of the next one.
constexpr Attempt attemptsPerEpoch = 1 << 20;
// An unlisted runner counts as ended only by a VM list that was requested this long after the runner left the
// runner list: the lists change at slightly different times, and a new VM may appear in one before the other.
constexpr Millis unlistedGracePeriod { 300 };
// A call without an answer is carried out at most this much later.
constexpr Millis maxCallDelay { 15'000 };
// Longer than a crashed runner is away.
constexpr Millis breakOffRetention { 60'000 };
// Removals of jobs that wait to be stored at a time. With two rows each they fill one transaction, so other
// rows wait for no more than that, however many jobs a new holder finds to be removed.
constexpr std::size_t maxQueuedRemovals = 24;

} // namespace

Shard::Shard(ShardSettings settings, Epoch epoch)
    : m_settings(settings)
    , m_lastFenceOfEpoch((epoch + 1) * fencesPerEpoch - 1)
    , m_lastFence(epoch * fencesPerEpoch)
    , m_attemptBase((epoch - 1) * attemptsPerEpoch)
    , m_jobTable(settings.maxRowBytes)
    , m_teamQuota(epoch)
{
    if (settings.vmLeadTimeForBursts)
        m_burstForecast.emplace(*settings.vmLeadTimeForBursts);
}

FencingToken Shard::nextFence()
{
    m_lastFence = std::min(m_lastFence + 1, m_lastFenceOfEpoch);
    return m_lastFence;
}

void Shard::restoreJob(Job job, const JobProgress& progress, TimePoint now)
{
    auto worth = m_worth.record(job);
    m_jobTable.restore(std::move(job), progress, now).worth = worth;
}

void Shard::restoreRunner(RunnerReport report, TimePoint now)
{
    auto id = report.id;
    auto& runner = m_runners.insert_or_assign(id, Runner(std::move(report), nextFence())).first->second;
    runner.isListed = false;
    runner.unlistedSince = now;
    runner.isStored = true;
    runner.mayHaveRow = true;
    runner.setEarliestLapse(lapseIfExtendedAt(now));
    m_earlierRunsEndBy = lapseIfExtendedAt(now + maxCallDelay);
}

// The tenth covers a slow runner clock.
TimePoint Shard::lapseIfExtendedAt(TimePoint moment) const
{
    return moment + m_settings.maxLease + m_settings.maxLease / 10;
}

void Shard::setTeams(const std::vector<teams::TeamConfig>& configs, std::uint32_t shardCount)
{
    m_teams.clear();
    for (const auto& team : configs)
        m_teams.insert_or_assign(team.id, team);
    m_shardCount = shardCount;
    m_shares.configure(configs, shardCount);
}

void Shard::observeRunners(const std::map<RunnerId, RunnerReport>& list, TimePoint now)
{
    for (auto& [id, runner] : m_runners)
        if (std::exchange(runner.isListed, list.contains(id)) && !runner.isListed)
            runner.unlistedSince = now;
    std::erase_if(
        m_endedIncarnations, [&](const auto& incarnation) { return !list.contains(incarnation.first); });
    for (const auto& [id, report] : list) {
        // The list still contains an incarnation that is known to be over.
        if (m_endedIncarnations.contains({ id, report.incarnation }))
            continue;
        auto found = m_runners.find(id);
        if (found == m_runners.end()) {
            found = m_runners.emplace(id, Runner(report, nextFence())).first;
            found->second.idleSince = now;
            continue;
        }
        auto& runner = found->second;
        if (report.incarnation > runner.report().incarnation)
            onRestarted(runner, report.incarnation, now);
        if (report.incarnation == runner.report().incarnation)
            runner.update(report);
    }
    // Forgets unlisted runners that can run nothing any more.
    for (auto each = m_runners.begin(); each != m_runners.end();) {
        auto& runner = each->second;
        if (!runner.isListed && runner.runs().empty() && !runner.isPollInFlight
            && runner.hasLeaseLapsed(now)) {
            if (runner.mayHaveRow)
                m_runnerChanges.push_back({ ShardChange::Kind::RunnerRemoval, each->first.value(), {} });
            countCrashOfUnlisted(each->first, now);
            each = m_runners.erase(each);
        } else {
            ++each;
        }
    }
}

SubmitDecision Shard::submit(Job job, TimePoint now, WallTime wallNow)
{
    SubmitDecision decision;
    if (auto* entry = m_jobTable.find(job.id)) {
        decision.verdict = SubmitVerdict::Known;
        renewRetention(*entry, now);
        return decision;
    }
    m_runTimes.predict(job);
    recordPredictedDemand(job, now);
    decision.share = m_shares.count(job.team, job.id, now);
    // The later occurrences of a schedule say nothing about what the team submits then.
    job.isBeyondShare = decision.share == teams::ShareState::Beyond && !job.isScheduled();
    auto worth = m_worth.record(job);
    decision.expectedWork = job.expectedWork();
    decision.load = loadOf(job, costOf(job, decision.expectedWork, worth), now, wallNow);
    decision.objective = job.objective();
    decision.admission = decideAdmission(job, decision.load);
    if (decision.admission.verdict != Admission::Accept)
        return decision;
    decision.verdict = SubmitVerdict::New;
    m_jobsToStore.push_back(job.id);
    m_jobTable.add(std::move(job), now).worth = worth;
    return decision;
}

// The caller was told once more that the job is accepted, and may ask for it as long as after the first time.
void Shard::renewRetention(JobEntry& entry, TimePoint now)
{
    if (!entry.isOver())
        return;
    entry.ended = now;
    if (!std::exchange(entry.isRemovalQueued, false))
        return;
    // The removal may be stored already, so both rows are written again before the caller is answered.
    entry.isStored = false;
    m_jobsToStore.push_back(entry.job.id);
}

void Shard::recordDemand(Job job, TimePoint now)
{
    m_runTimes.predict(job);
    recordPredictedDemand(job, now);
}

void Shard::recordPredictedDemand(const Job& job, TimePoint now)
{
    auto isNew = m_demand[job.policy.pool].recordArrival(
        job.id, job.expectedWork(), job.expectedCriticalPath(), job.objective(), now);
    if (isNew && m_burstForecast)
        m_burstForecast->recordArrival(job.policy.pool, job.expectedWork(), now);
}

void Shard::cancel(const JobId& id, TimePoint now)
{
    auto* entry = m_jobTable.find(id);
    if (!entry || entry->isOver())
        return;
    entry->state = JobState::Cancelled;
    entry->ended = now;
    entry->isDirty = true;
    stopRunsOf(id);
}

void Shard::onJobRowRefused(const JobId& id, TimePoint now)
{
    auto* entry = m_jobTable.find(id);
    if (!entry)
        return;
    if (!entry->isStored) {
        m_jobTable.remove(id);
        m_jobsToRemove.push_back(id);
    } else if (std::exchange(entry->isRemovalQueued, false)) {
        entry->ended = now;
    }
}

std::uint64_t Shard::pending(const std::string& queue) const
{
    return std::uint64_t(
        std::count_if(m_jobTable.all().begin(), m_jobTable.all().end(), [&](const auto& each) {
            const auto& entry = each.second;
            return entry.job.queue == queue && entry.isStored && entry.state == JobState::Queued;
        }));
}

void Shard::stopRun(Run& run)
{
    if (run.phase == RunPhase::Stopping)
        return;
    run.phase = RunPhase::Stopping;
    run.stopAcknowledgedAt.reset();
}

void Shard::loseRuns(Runner& runner, TimePoint now, std::string_view why)
{
    std::vector<TaskName> tasks;
    for (const auto& [task, run] : runner.runs())
        tasks.push_back(task);
    loseRuns(runner, tasks, why);
    runner.idleSince = now;
}

void Shard::loseRuns(Runner& runner, const std::vector<TaskName>& tasks, std::string_view why)
{
    std::set<JobId> affected;
    for (const auto& task : tasks) {
        affected.insert(task.job);
        loseRun(runner, task);
    }
    for (const auto& job : affected)
        logWarning("job-runs-lost",
            { { "job", job.value() }, { "runner", runner.report().id.value() },
                { "reason", std::string(why) } });
}

void Shard::loseRun(Runner& runner, const TaskName& task)
{
    auto attempt = runner.find(task)->attempt;
    auto checkpoint = runner.find(task)->checkpoint;
    removeRun(runner, task);
    auto* entry = m_jobTable.find(task.job);
    if (auto* found = entry ? entry->find(task) : nullptr; found && found->runner == runner.report().id)
        releaseTask(*entry, task, attempt, checkpoint);
}

// Orders name their runner by its id alone, so the new incarnation carries out those meant for the earlier
// one until it has seen a higher fencing token. A run that was listed belonged to the earlier incarnation,
// unless an unanswered start order of it may still be carried out.
void Shard::onRestarted(Runner& runner, std::int64_t incarnation, TimePoint now)
{
    auto crashed = takeCrashedRuns(runner);
    if (runner.report().isDraining)
        crashed.clear();
    std::vector<TaskName> lost;
    for (const auto& [task, run] : runner.runs())
        if (run.isConfirmed && run.unansweredStarts == 0)
            lost.push_back(task);
    logWarning("runner-restarted",
        { { "runner", runner.report().id.value() }, { "runs", std::to_string(runner.runs().size()) },
            { "lost", std::to_string(lost.size()) } });
    loseRuns(runner, lost, "reborn");
    std::vector<CrashedRun> settled;
    for (const auto& crash : crashed) {
        if (auto* run = runner.find(crash.task); run && run->attempt == crash.attempt)
            run->unsettledCrash = crash;
        else
            settled.push_back(crash);
    }
    runner.beginIncarnation(incarnation, nextFence(), lapseIfExtendedAt(now));
    runner.nextPoll = now;
    runner.idleSince = now;
    countCrashes(settled, runner.report().id, now, "reborn");
}

// The runs that may have caused the crash of the runner's incarnation.
std::vector<CrashedRun> Shard::takeCrashedRuns(const Runner& runner)
{
    auto crashed = crashedRunsOf(runner, m_breakOffs);
    if (auto lapsed = m_lapsedRuns.extract(runner.report().id))
        crashed.insert(crashed.end(), lapsed.mapped().begin(), lapsed.mapped().end());
    for (const auto& [task, run] : runner.runs())
        if (run.unsettledCrash)
            crashed.push_back(*run.unsettledCrash);
    return crashed;
}

void Shard::observePollFailure(Runner& runner, bool isTimedOut, TimePoint now)
{
    runner.observePollFailure(isTimedOut, now);
    if (runner.brokeOffAt() == now)
        m_breakOffs.push_back({ runner.report().id, now, hasSuspects(youngRunsOf(runner)) });
    while (!m_breakOffs.empty() && m_breakOffs.front().at + breakOffRetention < now)
        m_breakOffs.pop_front();
}

void Shard::onCrash(Runner& runner, TimePoint now, std::string_view why)
{
    auto crashed = takeCrashedRuns(runner);
    loseRuns(runner, now, why);
    if (!runner.report().isDraining)
        countCrashes(crashed, runner.report().id, now, why);
}

// The runner may be alive behind a partition, so its runs are counted only once another incarnation answers.
void Shard::onLeaseLapsed(Runner& runner, TimePoint now)
{
    if (auto runs = crashedRunsOf(runner, m_breakOffs); !runs.empty())
        m_lapsedRuns.insert_or_assign(runner.report().id, std::move(runs));
    loseRuns(runner, now, "lease-lapsed");
}

// It may be back too late to bound the starts of a task that crashed it. It may also be alive behind a
// partition, so this alone convicts no task early.
void Shard::countCrashOfUnlisted(const RunnerId& id, TimePoint now)
{
    auto lapsed = m_lapsedRuns.extract(id);
    if (!lapsed)
        return;
    for (auto& run : lapsed.mapped())
        run.isOnlySuspect = false;
    countCrashes(lapsed.mapped(), id, now, "unlisted");
}

void Shard::countCrashes(
    const std::vector<CrashedRun>& crashed, const RunnerId& runner, TimePoint now, std::string_view why)
{
    if (crashed.empty())
        return;
    auto suspects
        = std::count_if(crashed.begin(), crashed.end(), [](const CrashedRun& run) { return run.isSuspect; });
    logWarning("runner-crashed",
        { { "runner", runner.value() }, { "reason", std::string(why) },
            { "runs", std::to_string(crashed.size()) }, { "suspects", std::to_string(suspects) } });
    for (const auto& run : crashed) {
        auto* entry = m_jobTable.find(run.task.job);
        if (!entry || entry->isOver())
            continue;
        countCrash(*entry, run, now);
        if (!entry->isOver())
            continue;
        logWarning("job-given-up",
            { { "job", run.task.job.value() }, { "runner", runner.value() }, { "reason", "crashes-runners" },
                { "crashes", std::to_string(entry->find(run.task)->crashes.size()) },
                { "only-suspect", run.isOnlySuspect ? "yes" : "no" } });
        stopRunsOf(run.task.job);
    }
}

void Shard::clearOfCrashes(const TaskName& name, Run& run, TimePoint seenAt)
{
    if (!run.hasCrashRecord || !isOlderThan(run, crashWindow, seenAt))
        return;
    auto* entry = m_jobTable.find(name.job);
    auto* task = entry ? entry->find(name) : nullptr;
    if (!task)
        return;
    task->isCrashSuspect = false;
    if (!isOlderThan(run, crashMemory, seenAt))
        return;
    run.hasCrashRecord = false;
    task->crashes.clear();
    entry->isDirty = true;
}

void Shard::stopRunsOf(const JobId& job)
{
    for (auto& [id, runner] : m_runners)
        for (auto& [task, run] : runner.runs())
            if (task.job == job)
                stopRun(run);
}

void Shard::endRunner(const RunnerId& id, bool isPlanned, TimePoint now, std::string_view why)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    if (isPlanned)
        loseRuns(found->second, now, why);
    else
        onCrash(found->second, now, why);
    if (found->second.mayHaveRow)
        m_runnerChanges.push_back({ ShardChange::Kind::RunnerRemoval, id.value(), {} });
    m_endedIncarnations.insert({ id, found->second.report().incarnation });
    m_runners.erase(found);
}

void Shard::endUnlistedRunners(
    const std::set<RunnerId>& runnersInVmList, TimePoint listRequestedAt, TimePoint now)
{
    std::vector<RunnerId> ended;
    for (const auto& [id, runner] : m_runners) {
        // A runner with runs is polled without a pause.
        auto isAnswering = runner.hasAnsweredThisEpoch && runner.failedPolls == 0 && !runner.runs().empty();
        if (!runner.isListed && !runnersInVmList.contains(id) && !isAnswering
            && runner.unlistedSince + unlistedGracePeriod < listRequestedAt)
            ended.push_back(id);
    }
    for (const auto& id : ended)
        endRunner(id, false, now, "vm-has-another-life");
}

void Shard::setCordons(const std::map<RunnerId, Cordon>& cordons)
{
    for (auto& [id, runner] : m_runners) {
        auto found = cordons.find(id);
        runner.cordon = found == cordons.end() ? Cordon::None : found->second;
    }
}

void Shard::setMaintenanceDue(const std::set<RunnerId>& due)
{
    for (auto& [id, runner] : m_runners)
        runner.isMaintenanceDue = due.contains(id);
}

std::vector<ShardChange> Shard::takeChanges(TimePoint now)
{
    std::vector<ShardChange> changes = std::exchange(m_runnerChanges, {});
    for (const auto& id : std::exchange(m_jobsToRemove, {}))
        changes.push_back({ ShardChange::Kind::JobRemoval, id.value(), {} });
    for (const auto& id : std::exchange(m_jobsToStore, {}))
        if (auto* entry = m_jobTable.find(id))
            changes.push_back({ ShardChange::Kind::Job, id.value(), encodeJob(entry->job),
                entry->isOver() ? encodedProgress(*entry) : std::string() });
    auto queuedRemovals = std::size_t(std::count_if(m_jobTable.all().begin(), m_jobTable.all().end(),
        [](const auto& each) { return each.second.isRemovalQueued; }));
    for (auto& [id, entry] : m_jobTable.all()) {
        // After its removal is queued, late ends of its runs change nothing.
        if (entry.isRemovalQueued)
            continue;
        if (entry.isDirty && entry.isStored) {
            entry.isDirty = false;
            changes.push_back({ ShardChange::Kind::Progress, id.value(), encodedProgress(entry) });
        }
        auto isDue = entry.isOver() && entry.isStored && now > entry.ended + m_settings.keepFinished;
        if (isDue && queuedRemovals < maxQueuedRemovals) {
            entry.isRemovalQueued = true;
            ++queuedRemovals;
            changes.push_back({ ShardChange::Kind::JobRemoval, id.value(), {} });
        }
    }
    return changes;
}

std::string Shard::encodedProgress(const JobEntry& entry) const
{
    return encodeProgress(entry.progress(), entry.job, m_settings.maxRowBytes);
}

void Shard::onStored(const ShardChange& change, TimePoint)
{
    switch (change.kind) {
    case ShardChange::Kind::Job:
        if (auto* entry = m_jobTable.find(JobId(change.key)))
            entry->isStored = true;
        break;
    case ShardChange::Kind::Progress:
        if (auto* entry = m_jobTable.find(JobId(change.key)))
            if (auto progress = decodeProgress(change.value))
                entry->storedState = progress->state;
        break;
    case ShardChange::Kind::JobRemoval:
        // If it was submitted again since, its rows are being written.
        if (auto* entry = m_jobTable.find(JobId(change.key)); entry && entry->isRemovalQueued)
            m_jobTable.remove(JobId(change.key));
        break;
    case ShardChange::Kind::Runner:
        // The runner may have ended and be back as another incarnation, whose record is yet to be written.
        if (auto found = m_runners.find(RunnerId(change.key)); found != m_runners.end()) {
            auto row = decodeRunnerRow(change.key, change.value);
            found->second.isStored |= row && row->incarnation == found->second.report().incarnation;
        }
        break;
    case ShardChange::Kind::RunnerRemoval:
        // The runner is back. The removal also took an earlier row that was stored before it.
        if (auto found = m_runners.find(RunnerId(change.key)); found != m_runners.end()) {
            found->second.isStored = false;
            if (found->second.hasAnsweredThisEpoch)
                writeRow(found->second);
        }
        break;
    }
}

void Shard::writeRow(Runner& runner)
{
    runner.mayHaveRow = true;
    runner.isRowOutdated = false;
    m_runnerChanges.push_back(
        { ShardChange::Kind::Runner, runner.report().id.value(), encodeRunnerRow(runner.report()) });
}

Shard::AppliedEnds Shard::appliedEnds() const
{
    AppliedEnds ends;
    for (const auto& [id, runner] : m_runners)
        if (runner.lastAppliedEnd > runner.lastStoredEnd)
            ends.entries.push_back({ id, runner.report().incarnation, runner.lastAppliedEnd });
    return ends;
}

void Shard::onEndsStored(const AppliedEnds& ends)
{
    for (const auto& [id, incarnation, lastEnd] : ends.entries) {
        auto found = m_runners.find(id);
        if (found != m_runners.end() && found->second.report().incarnation == incarnation)
            found->second.lastStoredEnd = std::max(found->second.lastStoredEnd, lastEnd);
    }
}

} // namespace fulmar::jobs
