#pragma once

#include <array>
#include <cstddef>

namespace fulmar::bench {

// A fleet to measure.
struct FleetSize {
    const char* name;
    std::size_t vms;
    std::size_t pools;
    std::size_t zones;
    std::size_t vmsPerRack;
    // Budget of each pool, and of each of its racks and zones.
    double unavailableShare;
    // Mean demand of a pool as a share of its VMs.
    double meanLoad;
};

// In the users' fleets one queue of five has its burst at any time; in the large one the bursts are
// independent.
inline constexpr std::array fleetSizes {
    FleetSize { "franchise-office", 50, 5, 3, 4, 0.1, 0.5 },
    FleetSize { "mvinje", 50, 5, 4, 4, 0.1, 0.5 },
    FleetSize { "design", 5'200, 202, 10, 40, 0.1, 0.5 },
};

} // namespace fulmar::bench
