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
constexpr double usefulShare = 0.9;

} // namespace

AdmissionDecision decideAdmission(const Job& job, const PoolLoad& load)
{
    if (load.usableCpu <= 0)
        return { Admission::RejectNoRunner, retryWithoutRunners, Millis(0) };
    auto cores = double(load.usableCpu) / 1000 * usefulShare;
    auto wait = Millis(std::llround((load.backlog + job.estimatedWork()) / cores));
    auto chain = job.estimatedChain();
    auto expectedEnd = std::max(wait, chain);
    // Part of the backlog runs beside the job's own chain, so the two overlap.
    if (load.backlog > 0)
        expectedEnd = std::max(expectedEnd, Millis(std::llround(load.backlog / cores)) + chain / 2);
    auto objective = job.objective();
    if (job.isLasting() || job.isScheduled() || expectedEnd <= objective)
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
