#pragma once

#include "bench/serve_model.h"

#include <ostream>

namespace fulmar::bench {

// All versions' figures for one case.
struct ServeComparison {
    ServeFigures naive;
    // The dispatcher with fixed shares of the slots, and as it is.
    ServeFigures fixed;
    ServeFigures present;
};

[[nodiscard]] ServeComparison compareServe(const ServeCase&);

// Measures serving decisions in virtual time, the naive and the present ones (and those without
// lending) on the same calls, at 0.5, 1 and
// 5 times the capacity with sound, failing and slow targets, and prints a table. The last line is a signature
// of all decisions, which changes only if behaviour does.
void runServeBench(std::ostream&);

} // namespace fulmar::bench
