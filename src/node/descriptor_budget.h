#pragma once

#include <cstddef>
#include <cstdint>

namespace fulmar::node {

// How many connections each part of a process may have open. Within it there is always a descriptor for the
// rest: without one, the server of other processes' calls would stop for good.
struct DescriptorBudget {
    std::size_t callers { 0 };
    std::size_t readiness { 0 };
    std::size_t metrics { 0 };
    // To the store, runners and the interface for VMs.
    std::size_t outgoing { 0 };
};

// `maxDescriptors`: of the process.
[[nodiscard]] DescriptorBudget descriptorBudget(std::int64_t maxDescriptors);

} // namespace fulmar::node
