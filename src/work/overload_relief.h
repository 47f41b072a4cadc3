#pragma once

#include "work/work_state.h"

#include <vector>

namespace fulmar::work {

enum class ReliefStep : std::uint8_t {
    Throttle,
    // Order a checkpoint, then a stop.
    Evict,
    Resume,
};

struct ReliefAction {
    Task* task { nullptr };
    ReliefStep step { ReliefStep::Throttle };
};

// Returns the actions that a worker's reported usage calls for, tasks of the lowest priority first. Throttles
// tasks when processors are overcommitted. Evicts idempotent tasks when throttling is not enough or memory
// runs out. Otherwise resumes throttled tasks for which processors are idle. Other tasks are never evicted.
[[nodiscard]] std::vector<ReliefAction> overloadActions(const Worker&);

} // namespace fulmar::work
