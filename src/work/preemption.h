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

// Work since the latest checkpoint, which is lost if the task is stopped now, in processor-seconds. Includes
// a surcharge for earlier preemptions.
[[nodiscard]] double evictionLoss(const Task&, TimePoint now);

// Returns the plan with the smallest loss over the workers for which `admits` is true, evicting only tasks
// for which `mayEvict` is true; none if no eviction makes the request fit. Only running, idempotent tasks
// that are not urgent are evicted.
[[nodiscard]] std::optional<PreemptionPlan> choosePreemption(const std::vector<Worker*>& workers,
    const PlacementRequest&, const FillLimits&, const std::function<bool(const Worker&)>& admits,
    const std::function<bool(const Task&)>& mayEvict, TimePoint now);

} // namespace fulmar::work
