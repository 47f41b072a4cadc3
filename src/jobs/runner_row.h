#pragma once

#include "jobs/fleet.h"

namespace fulmar::jobs {

// Encoding of a runner's stored row: its address, pool and incarnation. A holder of a shard stores the row
// before it sends the runner work, so that the next holder polls all such runners before it starts anything.
[[nodiscard]] std::string encodeRunnerRow(const RunnerReport&);
[[nodiscard]] std::optional<RunnerReport> decodeRunnerRow(const std::string& id, std::string_view row);

} // namespace fulmar::jobs
