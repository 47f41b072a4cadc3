#include "jobs/work_order.h"

#include "jobs/admission.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// Weight of the newest job in a queue's mean work.
constexpr double newestWeight = 0.05;
// Time to spare by which the cost of starting a job now grows e-fold. Objectives are 2 s to 8 s.
constexpr std::chrono::duration<double> slackScale { 2 };
// Work is overdue this long after its objective, when its caller has no use for it any more.
constexpr std::chrono::seconds overdueTime { 30 };
// A large job needs a tenth of a pool's cores for some two seconds, so in turns of this length overdue work
// takes a small part of the pool.
constexpr std::chrono::seconds overdueTurn { 4 };

} // namespace

double JobWorth::record(const Job& job)
{
    auto work = std::max(1.0, job.expectedWork());
    auto& mean = m_meanWork[job.queue];
    mean = mean == 0 ? work : mean + (work - mean) * newestWeight;
    return work / mean;
}

double costOf(const Job& job, double work, double worth)
{
    return work / worth * (1 + std::max(0, job.policy.priority));
}

WorkRank rankOf(const JobEntry& entry, const StepOccurrence& stepOccurrence, bool hasTeams, TimePoint now,
    WallTime wallNow)
{
    WorkRank rank;
    auto isLongRunning = entry.job.steps[stepOccurrence.step].isLongRunning;
    if (isLongRunning)
        rank.group = WorkRank::Group::LongRunning;
    rank.deadline = entry.deadlineOf(stepOccurrence, now, wallNow);
    auto earliestEnd = now + entry.remainingCriticalPath(stepOccurrence);
    rank.isLate = !isLongRunning && earliestEnd > rank.deadline;
    if (!hasTeams || isLongRunning) {
        rank.priority = entry.job.policy.priority;
        return rank;
    }
    rank.isUseless = earliestEnd > rank.deadline + entry.objective * (maxUsefulObjectives - 1);
    rank.isBeyondShare = entry.job.isBeyondShare;
    std::chrono::duration<double> slack = std::max(Duration(0), rank.deadline - earliestEnd);
    rank.cost = costOf(entry.job, entry.remainingWork(stepOccurrence.occurrence), entry.worth)
        * std::exp(slack / slackScale);
    return rank;
}

void preferOneOverdue(std::vector<WorkRank*> ranks, TimePoint now)
{
    std::erase_if(ranks, [now](const WorkRank* rank) {
        return rank->group != WorkRank::Group::Other || now < rank->deadline + overdueTime;
    });
    if (ranks.empty())
        return;
    std::sort(ranks.begin(), ranks.end(),
        [](const WorkRank* a, const WorkRank* b) { return a->deadline < b->deadline; });
    auto turn = std::size_t(now.time_since_epoch() / overdueTurn);
    ranks[turn % ranks.size()]->group = WorkRank::Group::OverdueTurn;
}

bool isAhead(const JobEntry& entry, const Job& newJob, double newCost, bool hasTeams)
{
    if (!hasTeams)
        return entry.job.policy.priority <= newJob.policy.priority;
    if (entry.job.isBeyondShare != newJob.isBeyondShare)
        return newJob.isBeyondShare;
    return costOf(entry.job, entry.remainingWork(entry.firstHeld()), entry.worth) <= newCost;
}

} // namespace fulmar::jobs
