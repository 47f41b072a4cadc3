#pragma once

#include "jobs/job.h"

#include <deque>
#include <set>

namespace fulmar::jobs {

// How much work is asked of a pool, rejected work included. Load pattern: a queue's turn begins within a
// fraction of a second and lasts some seconds, so the rate is taken over a short window; callers that were
// rejected ask again, so a job counts once.
class DemandMeter {
public:
    void note(const JobId&, double coreMillis, TimePoint now);
    // Cores that the work asked for in the window would keep busy if it went on.
    [[nodiscard]] double cores(TimePoint now);

private:
    struct Asked {
        JobId job;
        double work { 0 };
        TimePoint at;
    };
    void forget(TimePoint now);

    std::deque<Asked> m_asked;
    std::set<JobId> m_known;
};

} // namespace fulmar::jobs
