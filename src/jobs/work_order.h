#pragma once

#include "jobs/job_table.h"

#include <map>
#include <string>
#include <tuple>

namespace fulmar::jobs {

// What a job is worth to its caller in comparison with the others of its queue: in proportion to its work.
// Worth that grows less than work would let the largest jobs of each queue wait, and callers of these are
// counted by themselves.
class JobWorth {
public:
    // Counts the job towards the mean of its queue.
    [[nodiscard]] double record(const Job&);

private:
    std::map<std::string, double> m_meanWork;
};

// Core-milliseconds for each unit of worth. A job of priority n counts as n + 1 times as expensive.
[[nodiscard]] double costOf(const Job&, double work, double worth);

// Order of waiting work; the lowest rank first. Long-running work is first. Without teams, work that can end
// in time follows, then late work, each by priority and deadline.
//
// With teams, what waits is what costs callers least. It addresses load beyond the capacity of a pool for
// some seconds. Work that can no longer end in useful time is last; before it is what a team submitted beyond
// its share, and before that late work. Then work goes by the capacity that it needs: that of a usual job of
// its queue, as far as it is not done.
struct WorkRank {
    enum class Group : std::uint8_t {
        LongRunning,
        // See preferOneOverdue().
        OverdueTurn,
        Other,
    };
    Group group { Group::Other };
    bool isUseless { false };
    bool isBeyondShare { false };
    bool isLate { false };
    // Only without teams.
    std::int32_t priority { 0 };
    // Only with teams: that of the remaining work, raised for jobs that have time to spare.
    double cost { 0 };
    TimePoint deadline;

    auto operator<=>(const WorkRank&) const = default;
};

[[nodiscard]] WorkRank rankOf(
    const JobEntry&, const StepOccurrence&, bool hasTeams, TimePoint now, WallTime wallNow);

// Work that others overtake all the time must not wait for ever: of the ranks of a pool, puts one that is
// long overdue before the others, a different one every few seconds. Others than the oldest get a turn
// because no runner may have room for the oldest.
void preferOneOverdue(std::vector<WorkRank*>, TimePoint now);

// Whether accepted work takes capacity that the new job would use otherwise.
[[nodiscard]] bool isAhead(const JobEntry&, const Job& newJob, double newCost, bool hasTeams);

} // namespace fulmar::jobs
