#pragma once

#include "fleet/fleet_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar::fleet {

// Progress of a wave, derived from the rows alone.
struct WaveProgress {
    std::uint32_t total { 0 };
    std::uint32_t maintained { 0 };
    // Draining, rebooting or returning.
    std::uint32_t underWay { 0 };
    // Did not return from their reboot.
    std::vector<VmId> failed;
    // VMs that may be maintained next, longest unmaintained first. The pointers are valid until the view
    // changes.
    std::vector<const VmRecord*> candidates;

    // VMs that are unavailable for other reasons do not keep the wave from being done.
    [[nodiscard]] bool isDone() const { return underWay == 0 && candidates.empty(); }
};

[[nodiscard]] WaveProgress waveProgress(const FleetView&, const WaveRecord&);

// Why the wave must stop; empty if it may continue.
[[nodiscard]] std::string waveStopReason(const WaveProgress&, std::uint32_t stopFailures);

// The VMs to take out of service now: longest unmaintained first, as many as the budgets allow. Refused VMs
// are skipped and considered again in later rounds. Marks the chosen VMs unavailable in the ledger.
[[nodiscard]] std::vector<VmId> nextOfWave(const WaveProgress&, BudgetLedger&);

} // namespace fulmar::fleet
