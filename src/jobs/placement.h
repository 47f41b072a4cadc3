#pragma once

#include "jobs/runner.h"

#include <vector>

namespace fulmar::jobs {

// A usable runner is listed and stored, has answered a poll of this epoch, and is not cordoned, draining,
// unreachable, or avoided after failures or refusals.
[[nodiscard]] bool isUsable(const Runner&, TimePoint now);
// Whether the runner would be usable if its VM were not being emptied.
[[nodiscard]] bool isUsableLastResort(const Runner&, TimePoint now);
// Why the runner is not usable; empty if it is.
[[nodiscard]] std::string_view unusableReason(const Runner&, TimePoint now);

// Whether the runner has the capacity and the label that a task of the step needs, and may take one more task
// of the step.
[[nodiscard]] bool hasRoomFor(const Runner&, const Step&, const TaskName& taskName);

// Whether it has, or will have once its runs that end by themselves have ended.
[[nodiscard]] bool hasRoomBesideLongRunning(const Runner&, const Step&, const TaskName&);

// The runner for a task of the step, or null if none has capacity. A queue's burst demands about five times
// its mean for some seconds, with almost nothing between bursts; so tasks are packed on busy runners, which
// leaves whole VMs free to move to the pool that has the next burst.
[[nodiscard]] Runner* chooseRunner(
    std::vector<Runner*>& candidates, const Step&, const TaskName& taskName, const RackId& preferredRack);

} // namespace fulmar::jobs
