#include "jobs/team_quota.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// No caller waits longer than that.
constexpr Millis maxQuotaWait { 600'000 };

Resources times(Resources each, std::int64_t count)
{
    each.cpu *= count;
    each.memoryMb *= count;
    each.accelerators *= count;
    return each;
}

Resources lowest(const Resources& a, const Resources& b)
{
    return { std::min(a.cpu, b.cpu), std::min(a.memoryMb, b.memoryMb),
        std::min(a.accelerators, b.accelerators) };
}

// Occurrences of a job that is over which may have been in progress; its row no longer says which.
std::uint32_t occurrencesInProgress(const JobEntry& entry, WallTime now)
{
    if (!entry.job.isScheduled())
        return 1;
    auto sinceFirst = now.time_since_epoch() - entry.job.firstStart;
    if (sinceFirst.count() < 0)
        return 0;
    auto due = entry.job.interval.count() > 0 ? std::uint64_t(sinceFirst / entry.job.interval) + 1
                                              : std::uint64_t(entry.occurrenceCount());
    return std::uint32_t(std::min<std::uint64_t>({ due, entry.occurrenceCount(), entry.maxOpen }));
}

} // namespace

std::uint32_t TeamQuota::numberOf(const TeamId& team)
{
    if (team.empty())
        return 0;
    auto [found, isNew] = m_numbers.try_emplace(team, std::uint32_t(m_teams.size()));
    if (isNew) {
        m_teams.push_back(team);
        m_uses.emplace_back();
    }
    return found->second;
}

const teams::TeamUse& TeamQuota::useOf(const TeamId& team) const
{
    static const teams::TeamUse nothing;
    auto found = m_numbers.find(team);
    return found == m_numbers.end() ? nothing : m_uses[found->second];
}

teams::TeamUse* TeamQuota::limitedUse(const TeamId& team)
{
    return m_ledger.isLimited(team) ? &m_uses[numberOf(team)] : nullptr;
}

void TeamQuota::add(const Run& run) { m_uses[run.team].used += run.full; }

void TeamQuota::remove(const Run& run) { m_uses[run.team].used -= run.full; }

void TeamQuota::recount(const std::map<RunnerId, Runner>& runners, JobTable& jobs, TimePoint earlierRunsEndBy,
    TimePoint now, WallTime wallNow)
{
    if (!m_ledger.isNeeded())
        return;
    std::fill(m_uses.begin(), m_uses.end(), teams::TeamUse {});
    for (const auto& [id, runner] : runners)
        for (const auto& [task, run] : runner.runs())
            add(run);
    if (now < earlierRunsEndBy)
        countUnresolved(runners, jobs, now, wallNow);
}

void TeamQuota::countUnresolved(
    const std::map<RunnerId, Runner>& runners, JobTable& jobs, TimePoint now, WallTime wallNow)
{
    std::map<PoolId, Resources> capacity;
    for (const auto& [id, runner] : runners)
        if (runner.isStored && !runner.hasAnsweredThisEpoch && !runner.hasLeaseLapsed(now))
            capacity[runner.report().pool] += runner.report().capacity;
    if (capacity.empty())
        return;
    // Without a reservation of cpu, the runners' cpu does not bound it.
    struct Unknown {
        Resources reserved;
        std::int64_t unreservedCpu { 0 };
    };
    std::map<std::pair<PoolId, TeamId>, Unknown> unknown;
    for (auto& [id, entry] : jobs.all()) {
        if (!entry.isRecovered || entry.job.team.empty() || !capacity.contains(entry.job.policy.pool))
            continue;
        auto& sum = unknown[{ entry.job.policy.pool, entry.job.team }];
        auto count = [&sum](const Step& step, std::uint32_t tasks) {
            sum.reserved += times(step.reserved(), tasks);
            sum.unreservedCpu += (step.perTask.cpu - step.reserved().cpu) * tasks;
        };
        if (entry.isOver()) {
            for (const auto& step : entry.job.steps)
                count(step, step.count * occurrencesInProgress(entry, wallNow));
            continue;
        }
        entry.updateHeld(wallNow);
        for (const auto& stepOccurrence : entry.stepOccurrences)
            count(entry.job.steps[stepOccurrence.step], stepOccurrence.waitingCount());
    }
    for (const auto& [key, sum] : unknown) {
        auto& used = m_uses[numberOf(key.second)].used;
        used += lowest(sum.reserved, capacity.at(key.first));
        used.cpu += sum.unreservedCpu;
    }
}

bool TeamQuota::mayStart(const Job& job, const Step& step, std::uint32_t count) const
{
    return m_ledger.mayStart(job.team, useOf(job.team).used, times(step.perTask, count));
}

bool TeamQuota::maySend(const Run& run) const
{
    if (run.team == 0)
        return true;
    auto others = m_uses[run.team].used;
    others -= run.full;
    return m_ledger.mayStart(m_teams[run.team], others, run.full);
}

std::uint32_t TeamQuota::startable(const Job& job, const Step& step, std::uint32_t waiting) const
{
    return m_ledger.startable(job.team, useOf(job.team).used, step.perTask, waiting);
}

void TeamQuota::noteHeldBack(const Job& job, const Step& step, std::uint32_t waiting)
{
    auto* use = limitedUse(job.team);
    if (!use)
        return;
    use->heldBack += times(step.perTask, waiting);
    auto group = times(step.perTask, step.isGang ? step.count : 1);
    for (auto kind : teams::resourceKinds)
        use->largestGroup.*kind = std::max(use->largestGroup.*kind, group.*kind);
}

void TeamQuota::noteQueued(const Job& job, const Step& step, std::uint32_t waiting)
{
    if (auto* use = limitedUse(job.team))
        use->queued += times(step.perTask, waiting);
}

Millis TeamQuota::timeToRun(const TeamId& team, const std::array<double, 3>& work) const
{
    auto limit = m_ledger.limitOf(team);
    // A shard that needs its equal share gets it back in less than a second.
    auto share = m_ledger.ownShare(team);
    auto equal = m_ledger.equalShare();
    double longest = 0;
    for (std::size_t i = 0; i < work.size(); ++i) {
        auto kind = teams::resourceKinds[i];
        if (limit.*kind == 0)
            continue;
        auto most = double(limit.*kind) * double(std::max(share.*kind, equal.*kind)) / teams::wholeShare;
        longest = std::max(longest, work[i] / std::max(1.0, most));
    }
    return Millis(std::llround(std::min(longest, double(maxQuotaWait.count()))));
}

teams::TeamUses TeamQuota::uses() const
{
    teams::TeamUses uses;
    for (std::size_t number = 1; number < m_teams.size(); ++number)
        uses.emplace(m_teams[number], m_uses[number]);
    return uses;
}

std::uint32_t TeamQuota::Room::take(const Job& job, const Step& step, std::uint32_t waiting)
{
    const auto& ledger = m_quota.m_ledger;
    if (waiting == 0 || !ledger.isLimited(job.team))
        return waiting;
    auto used = m_quota.useOf(job.team).used;
    auto& taken = m_taken[job.team];
    used += taken;
    auto tasks = ledger.startable(job.team, used, step.perTask, waiting);
    if (step.isGang && tasks < waiting)
        tasks = 0;
    taken += times(step.perTask, tasks);
    return tasks;
}

} // namespace fulmar::jobs
