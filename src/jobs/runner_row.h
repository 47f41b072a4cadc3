#pragma once

#include "jobs/fleet.h"

namespace fulmar::jobs {

// The form in which a holder of a shard records the runners that it gives work to, so that the next holder
// asks all of them before it starts anything anew.
[[nodiscard]] std::string encodeRunner(const RunnerReport&);
[[nodiscard]] std::optional<RunnerReport> decodeRunnerRow(const std::string& id, std::string_view row);

} // namespace fulmar::jobs
