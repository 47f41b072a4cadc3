#pragma once

#include "bench/fleet_sizes.h"
#include "core/clock.h"

#include <cstdint>

namespace fulmar::bench {

enum class WaveStyle : std::uint8_t {
    // Takes as many as the budgets allow, and the next when all of these are back.
    FixedBatches,
    // Takes VMs of one zone only, until the whole zone is done.
    OneZoneAtATime,
    // Takes the next VM whenever one returns.
    Continuous,
};

struct WaveOutcome {
    Duration rollOut {};
    // No order can be faster: the budget's slots, each busy all the time.
    Duration bound {};
    // Largest number of VMs unavailable beyond a pool's budget.
    std::uint32_t overBudget { 0 };
    std::size_t rounds { 0 };
    // Time of the machine spent on planning; not part of the decisions.
    std::chrono::nanoseconds planning {};
    std::uint64_t signature { 0 };
};

// Maintains every VM of a fleet once, in virtual time. Drain and reboot take a random time of each VM.
[[nodiscard]] WaveOutcome runWave(const FleetSize&, WaveStyle);

} // namespace fulmar::bench
