#include "jobs/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fulmar::jobs {

namespace {

// Least time after which a rejected job may be asked for again: a turn's backlog changes no faster.
constexpr Millis minRetryAfter { 500 };
constexpr Millis maxRetryAfter { 8'000 };
// Without usable runners: a restarted runner is listed and has answered within about this time.
constexpr Millis retryWithoutRunners { 2'000 };
// Share of a pool's cores that tasks can fill before grain and anti-affinity leave the rest unused.
constexpr double usableShare = 0.9;

// Part of the work of later steps that becomes startable before a job that is admitted now has started.
constexpr double blockedShare = 0.3;
// Time until a VM that is moved to the pool takes work.
constexpr Millis arrivalTime { 2'000 };

// When the pool has done this much work, with its cores now and those that arrive.
Millis timeToProcess(double coreMillis, double coresNow, double coresAfterArrival)
{
    auto first = coresNow * double(arrivalTime.count());
    if (coreMillis <= first)
        return Millis(std::llround(coresNow > 0 ? coreMillis / coresNow : 0));
    if (coresAfterArrival <= 0)
        return Millis::max() / 4;
    return arrivalTime + Millis(std::llround((coreMillis - first) / coresAfterArrival));
}

} // namespace

AdmissionDecision decideAdmission(const Job& job, const PoolLoad& load)
{
    auto coresNow = double(load.usableCpu) / 1000 * usableShare;
    auto coresAfterArrival = double(load.usableCpu + load.arrivingCpu) / 1000 * usableShare;
    if (coresAfterArrival <= 0)
        return { Admission::RejectNoRunner, retryWithoutRunners, Millis(0) };
    // The job starts when what waits for room has started; work of later steps comes by and by, and takes its
    // share of the room while the job waits.
    auto ahead = load.waiting + load.running + load.blocked * blockedShare;
    auto begin = load.waiting > 0 ? timeToProcess(ahead, coresNow, coresAfterArrival) : Millis(0);
    auto expectedEnd = begin
        + std::max(
            job.estimatedCriticalPath(), timeToProcess(job.estimatedWork(), coresNow, coresAfterArrival));
    auto objective = job.objective();
    // Never refuses while the job could start at once.
    auto startsNow = load.waiting <= 0 && load.freeCpu >= job.steps.front().reserved().cpu;
    if (job.isLongRunning() || job.isScheduled() || startsNow || expectedEnd <= objective)
        return { Admission::Accept, Millis(0), expectedEnd };
    auto retryAfter = std::clamp(expectedEnd - objective, minRetryAfter, maxRetryAfter);
    return { Admission::RejectOverload, retryAfter, expectedEnd };
}

std::string_view toString(Admission admission)
{
    static constexpr std::array<std::string_view, 3> names { "accept", "overload", "no-runner" };
    return names[std::size_t(admission)];
}

} // namespace fulmar::jobs
