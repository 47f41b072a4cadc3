#pragma once

#include "bench/fleet_sizes.h"
#include "fleet/move_plan.h"

#include <cstdint>

namespace fulmar::bench {

enum class MoveStyle : std::uint8_t {
    // Every pool keeps the VMs that it has.
    FixedReserve,
    // VMs follow the reported demand in proportion, without regard to those on their way.
    Proportional,
    // The planner, with needs held for seconds after a burst.
    HeldPeaks,
    // The planner with the user's weights.
    Planned,
};

struct MoveOutcome {
    // Share of the work that waited longer than its slack.
    double lateShare { 0 };
    // VM-seconds held beyond those used, for each used.
    double bufferCost { 0 };
    std::size_t moves { 0 };
    std::chrono::nanoseconds planning {};
    std::size_t rounds { 0 };
    std::uint64_t signature { 0 };
};

// Serves bursts that fall on the pools in turn, in virtual time, with `vmsPerPool` VMs at the start.
[[nodiscard]] MoveOutcome runMoves(
    const FleetSize&, MoveStyle, std::size_t vmsPerPool, const fleet::MoveSettings&);

// The smallest fixed pools that are late no more often than `lateShare`.
[[nodiscard]] std::size_t fixedReserveFor(const FleetSize&, double lateShare);

} // namespace fulmar::bench
