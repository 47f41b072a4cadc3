#pragma once

#include "jobs/job.h"

#include <algorithm>
#include <deque>
#include <set>

namespace fulmar::jobs {

// Estimates the work submitted to a pool, including rejected work. A burst's first jobs come within a
// fraction of a second, its rate rises for two to three seconds, and it lasts some seconds with a few to
// dozens of jobs per second; so the rate is measured over the last few arrivals, however long they took.
// Rejected callers retry, so each job counts once.
class DemandMeter {
public:
    // `work` is in core-milliseconds; the job cannot end before `criticalPath`.
    // False if the job is known already.
    bool recordArrival(const JobId&, double work, Millis criticalPath, Millis objective, TimePoint now);
    // Number of cores that the submitted work would keep busy. The maximum of three estimates: jobs that
    // would be running now had each started on arrival, the rate of recent arrivals, and the rate forecast
    // for the time when a VM ordered now takes work; the latter only if what the pool's bursts ask is
    // unknown.
    [[nodiscard]] double demandedCores(TimePoint now, bool isBurstKnown = false);
    // Mean latency objective of the submitted jobs; 0 before the first.
    [[nodiscard]] Millis meanObjective() const { return Millis(std::int64_t(m_meanObjective)); }
    // Mean objective minus mean critical path.
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
    // Jobs per second expected once a VM ordered now takes work, if arrivals keep growing; 0 without growth.
    [[nodiscard]] double forecastRate(TimePoint now) const;

    std::deque<Arrival> m_arrivals;
    std::set<JobId> m_recentJobs;
    double m_meanWork { 0 };
    // Both in milliseconds.
    double m_meanCriticalPath { 0 };
    double m_meanObjective { 0 };
};

// Minimum number of VMs that a pool keeps between bursts: a share of its decaying peak. Bursts return, and a
// moved VM takes two seconds until it works. Jobs with short objectives cannot wait that long, so their pool
// keeps a larger share.
class MinPoolSize {
public:
    // `initial` is the peak before the first burst; later peaks count up to twice that.
    [[nodiscard]] std::uint32_t update(
        std::uint32_t needed, std::uint32_t initial, Millis meanObjective, TimePoint now);

private:
    double m_peak { 0 };
    TimePoint m_updatedAt;
};

} // namespace fulmar::jobs
