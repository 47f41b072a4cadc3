#pragma once

#include "bench/slope.h"

#include <ostream>
#include <vector>

namespace fulmar::bench {

// Costs of a process's copy of the configuration, by VMs.
[[nodiscard]] std::vector<Slope> configurationSlopes();
// Costs of the time line, by events.
[[nodiscard]] std::vector<Slope> eventSlopes();
// Costs of operators' statements, by VMs.
[[nodiscard]] std::vector<Slope> statementSlopes();
// Costs of the fleet duty's copy of the rows, by VMs.
[[nodiscard]] std::vector<Slope> fleetSlopes();
// Sizes of messages between processes.
[[nodiscard]] std::vector<Slope> messageSlopes();

// Measures all of these at several sizes and prints the points and the fitted lines; docs/CAPACITY.md is
// worked out from them. Ends with a signature of the exact figures.
void runSlopes(std::ostream&);

} // namespace fulmar::bench
