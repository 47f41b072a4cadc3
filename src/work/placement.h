#pragma once

#include "work/fleet_view.h"

#include <functional>
#include <map>
#include <vector>

namespace fulmar::work {

// What a placement must observe.
struct PlacementRequest {
    const TaskSpec* spec { nullptr };
    Resources need;
    // When the task is expected to end.
    TimePoint expectedEnd {};
    // Workers on which the task has failed already.
    const std::map<VmId, TimePoint>* failedOn { nullptr };
};

// True if new tasks may go to the worker at all: it is live, not leaving, and not taken by the next
// maintenance step before the task ends.
[[nodiscard]] bool accepts(const Worker&, const PlacementRequest&);

// Lower is better: tight packing, few tasks of the same job on the worker, in its rack and in its zone.
// Picks the best worker that has room and that `admits`; null if there is none. Ties go to the first.
[[nodiscard]] Worker* chooseWorker(const std::vector<Worker*>& workers, const PlacementRequest&,
    const FillLimits&, const std::function<bool(const Worker&)>& admits);

} // namespace fulmar::work
