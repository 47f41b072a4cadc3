#pragma once

#include "core/clock.h"
#include "fleet/lease.h"
#include "fleet/move_plan.h"

#include <cstdint>
#include <string>

namespace fulmar::fleet {

struct FleetSettings {
    LeaseSettings lease;
    // The fleet is divided by pool into this many shards, each owned through one lease.
    std::uint32_t shards { 3 };
    // How often the rows, and the platform's list of VMs, are read.
    Duration readEvery { std::chrono::milliseconds(500) };
    Duration listEvery { std::chrono::seconds(2) };
    // The platform's list shows the truth after at most this long.
    Duration listLag { std::chrono::seconds(60) };
    // Nothing new is taken out of service while the newest list is older than this.
    Duration listFreshFor { std::chrono::seconds(10) };
    // Names of entry VMs begin with this in the platform's list.
    std::string entryVmPrefix { "entry" };
    // How often the entries are asked about a VM that drains.
    Duration askEvery { std::chrono::milliseconds(250) };
    // A step stops asking entries after this long, so that the leases are renewed in time.
    Duration askBudget { std::chrono::milliseconds(500) };
    // A rebooted VM is not probed earlier than this, and counts as failed after `returnTimeout`.
    Duration rebootMinimum { std::chrono::seconds(5) };
    Duration returnTimeout { std::chrono::minutes(5) };
    // VMs of a wave that fail to return before the wave is stopped.
    std::uint32_t waveStopFailures { 2 };
    // Moves that follow demand: how they are weighed, how often they are planned, and how old a report of the
    // demand may be.
    MoveSettings moves { moveSettingsFor(UserWeights {}) };
    Duration moveEvery { std::chrono::milliseconds(500) };
    Duration demandFreshFor { std::chrono::seconds(3) };
    // Transactions per second of this process's fleet duty.
    std::uint32_t writesPerSecond { 30 };
};

} // namespace fulmar::fleet

namespace fulmar {

// Names that other slices share.
using fleet::FleetSettings;

} // namespace fulmar
