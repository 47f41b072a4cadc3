#pragma once

#include "work/work_state.h"

#include <vector>

namespace fulmar::work {

enum class ReliefStep : std::uint8_t {
    Throttle,
    // Checkpoint, then stop.
    Evict,
    Resume,
};

struct ReliefAction {
    Task* task { nullptr };
    ReliefStep step { ReliefStep::Throttle };
};

// Actions for a worker's reported usage, lowest priority first: tasks are throttled when processors are
// well short; when that is not enough, or memory runs out, idempotent tasks are evicted;
// throttled tasks are resumed as far as there is room. Other tasks are only throttled.
[[nodiscard]] std::vector<ReliefAction> overloadActions(const Worker&);

} // namespace fulmar::work
