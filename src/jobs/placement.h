#pragma once

#include "jobs/runner.h"

#include <vector>

namespace fulmar::jobs {

// Chooses runners for tasks. A queue's burst demands about five times its mean for some seconds, with almost
// nothing between bursts; so tasks are packed on busy runners, which leaves whole VMs free to move to the
// pool that has the next burst.
//
// A runner is usable if it is reachable, is not leaving, and has not just failed several jobs in a row.
[[nodiscard]] bool isUsable(const Runner&, TimePoint now);
// Why the runner is not usable; empty if it is.
[[nodiscard]] std::string_view unusableReason(const Runner&, TimePoint now);

// The runner for a task of the step, or null if none has capacity.
[[nodiscard]] Runner* chooseRunner(
    std::vector<Runner*>& candidates, const Step&, const TaskName& taskName, const RackId& preferredRack);

} // namespace fulmar::jobs
