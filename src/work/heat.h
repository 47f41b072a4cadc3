#pragma once

#include "work/work_state.h"

#include <vector>

namespace fulmar::work {

enum class HeatStep : std::uint8_t {
    Throttle,
    // Checkpoint, then stop.
    Evict,
    Resume,
};

struct HeatAction {
    Task* task { nullptr };
    HeatStep step { HeatStep::Throttle };
};

// What to do about a worker's reported usage, lowest value first: one task at a time is throttled when the
// processors are short; when that is not enough, or memory runs out, tasks that can continue elsewhere are
// evicted; when it has cooled, one task at a time is resumed. Tasks that cannot be repeated are only
// throttled.
[[nodiscard]] std::vector<HeatAction> coolDown(const Worker&);

} // namespace fulmar::work
