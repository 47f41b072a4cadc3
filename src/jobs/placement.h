#pragma once

#include "jobs/runner.h"

#include <vector>

namespace fulmar::jobs {

// Chooses runners for tasks. Load pattern: a queue in its turn asks about five times its mean for some
// seconds, and almost nothing between turns; so work is packed on the runners that are busy already, which
// leaves whole VMs free to be moved to the pool whose turn comes.
//
// A runner is usable if it answers, is not leaving, and has not just failed several jobs in a row.
[[nodiscard]] bool isUsable(const Runner&, TimePoint now);
// Why it is not; empty if it is.
[[nodiscard]] std::string_view unusableReason(const Runner&, TimePoint now);

// The runner for one task of the step, or null if none has room. `taskName` names the task.
[[nodiscard]] Runner* chooseRunner(
    std::vector<Runner*>& candidates, const Step&, const TaskName& taskName, const RackId& preferredRack);

} // namespace fulmar::jobs
