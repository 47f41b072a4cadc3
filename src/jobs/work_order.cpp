#include "jobs/work_order.h"

#include "jobs/admission.h"

#include <algorithm>
#include <cmath>

namespace fulmar::jobs {

namespace {

// Of the users' measure: worth of a job whose work is the mean of its queue is 1.
constexpr double minWorth = 0.3;
constexpr double worthOfMeanWork = 0.7;
constexpr double maxWorth = 4;
// Weight of the newest job in a queue's mean work.
constexpr double newestWeight = 0.05;
// Time to spare by which the cost of starting a job now grows e-fold. Objectives are 2 s to 8 s.
constexpr std::chrono::duration<double> slackScale { 2 };

} // namespace

double JobWorth::record(const Job& job)
{
    auto work = std::max(1.0, job.expectedWork());
    auto& mean = m_meanWork[job.queue];
    mean = mean == 0 ? work : mean + (work - mean) * newestWeight;
    return std::min(maxWorth, minWorth + worthOfMeanWork * work / mean);
}

WorkRank rankOf(const JobEntry& entry, const StepOccurrence& stepOccurrence, bool hasTeams, TimePoint now,
    WallTime wallNow)
{
    WorkRank rank;
    rank.isShortRunning = !entry.job.steps[stepOccurrence.step].isLongRunning;
    rank.deadline = entry.deadlineOf(stepOccurrence, now, wallNow);
    auto earliestEnd = now + entry.remainingCriticalPath(stepOccurrence);
    if (!hasTeams || !rank.isShortRunning) {
        rank.isLate = rank.isShortRunning && earliestEnd > rank.deadline;
        rank.priority = entry.job.policy.priority;
        return rank;
    }
    rank.isUseless = earliestEnd > rank.deadline + entry.objective * (maxUsefulObjectives - 1);
    rank.isBeyondShare = entry.job.isBeyondShare;
    std::chrono::duration<double> slack = std::max(Duration(0), rank.deadline - earliestEnd);
    rank.cost = entry.remainingWork() / entry.worth * (1 + std::max(0, entry.job.policy.priority))
        * std::exp(slack / slackScale);
    return rank;
}

bool isAhead(const JobEntry& entry, const Job& newJob, bool hasTeams)
{
    if (entry.job.policy.priority > newJob.policy.priority)
        return false;
    return !hasTeams || newJob.isBeyondShare || !entry.job.isBeyondShare;
}

} // namespace fulmar::jobs
