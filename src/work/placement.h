#pragma once

#include "work/fleet_view.h"

#include <functional>
#include <map>
#include <vector>

namespace fulmar::work {

// Constraints of a placement.
struct PlacementRequest {
    const TaskSpec* spec { nullptr };
    Resources need;
    TimePoint expectedEnd {};
    // Workers to avoid because the task failed on them; may be null.
    const std::map<VmId, TimePoint>* failedOn { nullptr };
};

// True if the worker may take the task, apart from its free capacity: it is live, neither leaving nor
// withdrawn, not due for maintenance before the expected end, and the task has not failed on it.
[[nodiscard]] bool accepts(const Worker&, const PlacementRequest&);

// Returns the worker with the lowest score among those with enough free capacity for which `admits` is true;
// the first of equals; null if there is none. The score favours tight packing and few tasks of the same job
// on the worker, in its rack and in its zone.
[[nodiscard]] Worker* chooseWorker(const std::vector<Worker*>& workers, const PlacementRequest&,
    const FillLimits&, const std::function<bool(const Worker&)>& admits);

} // namespace fulmar::work
