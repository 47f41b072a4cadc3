#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

namespace fulmar::bench {

// Processor time of this thread for one run of `work`, in nanoseconds: the least of several runs.
[[nodiscard]] double processorNanoseconds(const std::function<void()>& work, int runs = 5);

// Bytes of heap in use by this process.
[[nodiscard]] double heapBytes();

} // namespace fulmar::bench
