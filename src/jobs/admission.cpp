#include "jobs/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fulmar::jobs {

namespace {

// A backlog hardly shrinks in less time, so an earlier retry would be rejected again.
constexpr Millis minRetryAfter { 500 };
constexpr Millis maxRetryAfter { 8'000 };
// A restarted runner is listed and has answered within about this time.
constexpr Millis retryWithoutRunners { 2'000 };
// Share of a pool's cores that tasks can use; fragmentation and anti-affinity waste the rest.
constexpr double usableShare = 0.9;

// Share of blocked work that becomes startable before a job admitted now has started.
constexpr double blockedShare = 0.3;
// Time until a VM ordered now takes work: its move and its first answer.
constexpr Millis vmLeadTime { 2'000 };

// Time until the pool has done this much work, with its cores now and those that arrive.
Millis timeToProcess(double coreMillis, double coresNow, double coresAfterArrival)
{
    auto first = coresNow * double(vmLeadTime.count());
    if (coreMillis <= first)
        return Millis(std::llround(coresNow > 0 ? coreMillis / coresNow : 0));
    if (coresAfterArrival <= 0)
        return Millis::max() / 4;
    return vmLeadTime + Millis(std::llround((coreMillis - first) / coresAfterArrival));
}

} // namespace

AdmissionDecision decideAdmission(const Job& job, const PoolLoad& load)
{
    auto coresNow = double(load.usableCpu) / 1000 * usableShare;
    auto coresAfterArrival = double(load.usableCpu + load.arrivingCpu) / 1000 * usableShare;
    if (coresAfterArrival <= 0)
        return { Admission::RejectNoRunner, retryWithoutRunners, Millis(0) };
    // The job starts after the waiting work. Blocked work becomes startable gradually, and part of it
    // competes with the job.
    auto ahead = load.waiting + load.running + load.blocked * blockedShare;
    auto expectedWait = load.waiting > 0 ? timeToProcess(ahead, coresNow, coresAfterArrival) : Millis(0);
    expectedWait = std::max(expectedWait, load.quotaWait);
    auto expectedDuration = expectedWait
        + std::max(
            job.expectedCriticalPath(), timeToProcess(job.expectedWork(), coresNow, coresAfterArrival));
    auto objective = job.objective();
    // A job that could start at once is never rejected.
    auto startsNow = load.waiting <= 0 && load.quotaWait.count() == 0
        && load.freeCpu >= job.steps.front().reserved().cpu;
    if (job.isLongRunning() || job.isScheduled() || startsNow
        || expectedDuration <= objective * maxUsefulObjectives)
        return { Admission::Accept, Millis(0), expectedDuration };
    auto retryAfter = std::clamp(expectedDuration - objective, minRetryAfter, maxRetryAfter);
    return { Admission::RejectOverload, retryAfter, expectedDuration };
}

std::string_view toString(Admission admission)
{
    static constexpr std::array<std::string_view, 3> names { "accept", "overload", "no-runner" };
    return names[std::size_t(admission)];
}

} // namespace fulmar::jobs
