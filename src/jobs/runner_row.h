#pragma once

#include "jobs/fleet.h"

namespace fulmar::jobs {

// Encoding of the row that a holder of a shard stores for each runner before it gives it work, so that the
// next holder polls all of them before it starts anything.
[[nodiscard]] std::string encodeRunnerRow(const RunnerReport&);
[[nodiscard]] std::optional<RunnerReport> decodeRunnerRow(const std::string& id, std::string_view row);

} // namespace fulmar::jobs
