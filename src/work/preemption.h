#pragma once

#include "work/placement.h"

#include <functional>
#include <optional>
#include <vector>

namespace fulmar::work {

// Tasks to evict from one worker so that a request fits there.
struct PreemptionPlan {
    Worker* worker { nullptr };
    std::vector<Task*> victims;
    // Work thrown away, in processor-seconds, with a surcharge for tasks evicted before.
    double loss { 0 };
};

// Work that is thrown away if the task is stopped now, in processor-seconds.
[[nodiscard]] double evictionLoss(const Task&, TimePoint now);

// The plan of least loss over the workers that `admits`, from tasks that `mayEvict`; none if evicting cannot
// make room. Only running tasks that can continue from a checkpoint are evicted.
[[nodiscard]] std::optional<PreemptionPlan> choosePreemption(const std::vector<Worker*>& workers,
    const PlacementRequest&, const FillLimits&, const std::function<bool(const Worker&)>& admits,
    const std::function<bool(const Task&)>& mayEvict, TimePoint now);

} // namespace fulmar::work
