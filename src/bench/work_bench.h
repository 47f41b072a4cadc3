#pragma once

#include <ostream>

namespace fulmar::bench {

// Runs the naive and the present scheduler on the same loads at 50, 520 and 5,200 workers in virtual time,
// prints what they made of the fleet, and ends with a signature of all decisions. What depends on the machine
// (processor time, memory) is printed apart and is not part of the signature.
void runWorkBench(std::ostream&);

} // namespace fulmar::bench
