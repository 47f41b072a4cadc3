#pragma once

#include "jobs/job.h"

#include <map>

namespace fulmar::jobs {

// Predicts run times from the submitters' estimates and completed runs of the same queue and image, by a
// linear regression of the logarithms. Load pattern: estimates are off by a factor of two or more either way,
// more than run times of one queue differ. Judged by its estimate alone, a job in a burst is rejected or goes
// last although it has time, or is accepted although it has none.
class RunTimeModel {
public:
    void recordRun(const std::string& queue, const Step&, Millis runTime);
    // Sets the predicted run times of the job's steps.
    void predict(Job&) const;

private:
    // Exponentially decaying sums over completed runs; x is the logarithm of the estimate, y that of the run
    // time.
    struct Sums {
        double weight { 0 };
        double x { 0 };
        double y { 0 };
        double xx { 0 };
        double xy { 0 };
        double yy { 0 };
    };
    [[nodiscard]] static Millis predict(const Sums&, Millis estimate);
    void removeLeastUsed();

    // By queue and image.
    std::map<std::pair<std::string, std::string>, Sums> m_sums;
};

} // namespace fulmar::jobs
