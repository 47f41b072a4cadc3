#pragma once

#include "jobs/job_table.h"

#include <map>
#include <string>
#include <tuple>

namespace fulmar::jobs {

// What a job is worth to its caller in comparison with the others of its queue. Worth grows less than work,
// so per core-second a small job is worth more than a large one.
class JobWorth {
public:
    // Counts the job towards the mean of its queue.
    [[nodiscard]] double record(const Job&);

private:
    std::map<std::string, double> m_meanWork;
};

// Order of waiting work; the lowest rank first. Long-running work is first. Without teams, work that can end
// in time follows, then late work, each by priority and deadline.
//
// With teams, what waits is what costs callers least. It addresses load beyond the capacity of a pool for
// some seconds. Work that can no longer end in useful time is last; before it is what a team submitted beyond
// its share. Then work goes by its worth in relation to the capacity that it needs; see JobWorth.
struct WorkRank {
    bool isShortRunning { false };
    bool isUseless { false };
    bool isBeyondShare { false };
    // Only without teams.
    bool isLate { false };
    std::int32_t priority { 0 };
    // Only with teams: remaining core-milliseconds for each unit of worth, raised for jobs that have time to
    // spare. A job of priority n counts as n + 1 times as expensive.
    double cost { 0 };
    TimePoint deadline;

    auto operator<=>(const WorkRank&) const = default;
};

[[nodiscard]] WorkRank rankOf(
    const JobEntry&, const StepOccurrence&, bool hasTeams, TimePoint now, WallTime wallNow);

// Whether accepted work takes capacity that the new job would use otherwise.
[[nodiscard]] bool isAhead(const JobEntry&, const Job& newJob, bool hasTeams);

} // namespace fulmar::jobs
