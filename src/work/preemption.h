#pragma once

#include "work/placement.h"

#include <functional>
#include <optional>
#include <vector>

namespace fulmar::work {

// Tasks to evict from one worker to make a request fit there.
struct PreemptionPlan {
    Worker* worker { nullptr };
    std::vector<Task*> victims;
    // Sum of the victims' evictionLoss().
    double loss { 0 };
};

// Reserved processor-seconds since the latest checkpoint, which are lost if the task is stopped now, plus a
// surcharge for earlier preemptions.
[[nodiscard]] double evictionLoss(const Task&, TimePoint now);

// Selects victims greedily, smallest loss first, on each worker for which `admits` is true, and returns the
// plan with the smallest loss among the workers; none if no eviction makes the request fit. Victims are
// running, idempotent tasks that are not urgent and for which `mayEvict` is true.
[[nodiscard]] std::optional<PreemptionPlan> choosePreemption(const std::vector<Worker*>& workers,
    const PlacementRequest&, const FillLimits&, const std::function<bool(const Worker&)>& admits,
    const std::function<bool(const Task&)>& mayEvict, TimePoint now);

} // namespace fulmar::work
