#pragma once

#include "jobs/burst_forecast.h"

namespace fulmar::jobs {

[[nodiscard]] std::string encodeBurstRow(const BurstRecord&);
// Empty for a row that is damaged or of another format.
[[nodiscard]] std::optional<BurstRecord> decodeBurstRow(std::string_view);

} // namespace fulmar::jobs
