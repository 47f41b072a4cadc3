#pragma once

#include "jobs/job.h"

#include <algorithm>
#include <deque>
#include <set>

namespace fulmar::jobs {

// How much work is asked of a pool, rejected work included. Load pattern: a queue's turn begins within a
// fraction of a second and lasts some seconds, with jobs that come dozens a second or a few; so the rate is
// taken over the last few arrivals, whatever time they took. Callers that were rejected ask again, so a job
// counts once.
class DemandMeter {
public:
    // A job that takes `work` core-milliseconds and cannot end before `chain`.
    void recordArrival(const JobId&, double work, Millis criticalPath, Millis objective, TimePoint now);
    // Cores that the work asked for would keep busy: those of the jobs that would run now had each started at
    // once, or those of the newest arrivals' rate, or of the rate that is to come while VMs are on their way,
    // whichever is most.
    [[nodiscard]] double cores(TimePoint now);
    // Mean latency objective of the jobs asked for; 0 before the first.
    [[nodiscard]] Millis meanObjective() const { return Millis(std::int64_t(m_meanObjective)); }
    // What the objective leaves beside the chain.
    [[nodiscard]] Millis meanSlack() const
    {
        return Millis(std::int64_t(std::max(0.0, m_meanObjective - m_meanCriticalPath)));
    }

private:
    struct Arrival {
        JobId job;
        double work { 0 };
        Millis criticalPath { 0 };
        TimePoint at;
    };
    void expireArrivals(TimePoint now);
    [[nodiscard]] std::size_t countArrivals(TimePoint from, TimePoint until) const;
    // Jobs a second after the time that a VM needs to come, if arrivals grow as they did lately.
    [[nodiscard]] double forecastRate(TimePoint now) const;

    std::deque<Arrival> m_arrivals;
    std::set<JobId> m_recentJobs;
    double m_meanWork { 0 };
    // Milliseconds.
    double m_meanCriticalPath { 0 };
    double m_meanObjective { 0 };
};

// VMs that a pool keeps between its turns. Load pattern: turns come back, and a VM that is moved takes two
// seconds until it works; jobs with short objectives cannot wait for it, so their pool keeps more of its last
// peak.
class PoolFloor {
public:
    // `initial` VMs are taken for the peak until a turn has been seen.
    [[nodiscard]] std::uint32_t update(
        std::uint32_t needed, std::uint32_t initial, Millis meanObjective, TimePoint now);

private:
    double m_peak { 0 };
    TimePoint m_updatedAt;
};

} // namespace fulmar::jobs
