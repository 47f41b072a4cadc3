#pragma once

#include "fleet/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar::fleet {

// Where a wave stands, from the rows alone.
struct WaveProgress {
    std::uint32_t total { 0 };
    std::uint32_t maintained { 0 };
    // Draining, rebooting or returning.
    std::uint32_t underWay { 0 };
    // Did not return from their reboot.
    std::vector<VmId> failed;
    // VMs that may be taken next, those maintained longest ago first. Valid until the view changes.
    std::vector<const VmRecord*> candidates;

    // VMs that are down for another reason count neither way; the wave is done without them.
    [[nodiscard]] bool isDone() const { return underWay == 0 && candidates.empty(); }
};

[[nodiscard]] WaveProgress waveProgress(const FleetView&, const WaveRecord&);

// Why the wave must stop; empty if it may go on.
[[nodiscard]] std::string waveStopReason(const WaveProgress&, std::uint32_t stopFailures);

// The VMs to take out of service now: oldest maintenance first, as many as the budgets allow. VMs that are
// refused are passed over, and taken in a later round when others have returned. Spends the ledger.
[[nodiscard]] std::vector<VmId> nextOfWave(const WaveProgress&, BudgetLedger&);

} // namespace fulmar::fleet
