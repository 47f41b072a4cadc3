#pragma once

#include <ostream>

namespace fulmar::bench {

// Prints the fleet's measures for both users' sizes and the design size: roll-out of a maintenance wave,
// buffer cost and moves under bursts, each for the naive ways and the present one. All but the lines that
// begin with "time" and "memory" depend on the decisions alone; the signature changes only if these do.
void runFleetBench(std::ostream&);

} // namespace fulmar::bench
