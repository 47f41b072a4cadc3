#pragma once

#include <chrono>
#include <cstdint>

namespace fulmar::standin {

// What the kernel says of a process. Throws std::runtime_error if there is no such process.
struct ProcessUsage {
    // Processor time of all its threads so far.
    std::chrono::milliseconds processorTime {};
    std::uint64_t residentKb { 0 };
};

[[nodiscard]] ProcessUsage usageOf(int pid);

} // namespace fulmar::standin
