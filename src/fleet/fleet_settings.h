#pragma once

#include "core/clock.h"
#include "fleet/lease.h"
#include "fleet/move_plan.h"

#include <cstdint>
#include <string>

namespace fulmar::fleet {

struct FleetSettings {
    LeaseSettings lease;
    // Number of shards into which the pools are divided; each shard has one lease.
    std::uint32_t shards { 3 };
    // Intervals at which the rows and the platform's list of VMs are read.
    Duration readEvery { std::chrono::milliseconds(500) };
    Duration listEvery { std::chrono::seconds(2) };
    // Longest delay until the platform's list shows a change.
    Duration listLag { std::chrono::seconds(60) };
    // No further VM is taken out of service while the latest list is older than this.
    Duration listFreshFor { std::chrono::seconds(10) };
    // Prefix of the names of entry VMs in the platform's list.
    std::string entryVmPrefix { "entry" };
    // Interval between two steps of one VM's transition, such as asking the entries whether it is drained.
    Duration transitionStepEvery { std::chrono::milliseconds(250) };
    // After this long a step of the duty asks no more entries and advances no more VMs, so that the leases
    // are renewed in time.
    Duration transitionTimeLimit { std::chrono::milliseconds(500) };
    // A rebooted VM is not probed before `rebootMinimum` and counts as failed after `returnTimeout`. Both run
    // from when this process first saw that the platform accepted the reboot.
    Duration rebootMinimum { std::chrono::seconds(5) };
    Duration returnTimeout { std::chrono::minutes(5) };
    // A wave stops when this many of its VMs did not return from their reboot, or when any did not and no
    // other VM of the wave is in progress.
    std::uint32_t waveStopFailures { 2 };
    // Demand-driven moves: planner settings, planning interval, and greatest age of a usable demand report.
    MoveSettings moves { moveSettingsFor(UserWeights {}) };
    Duration moveEvery { std::chrono::milliseconds(500) };
    Duration demandFreshFor { std::chrono::seconds(3) };
    // Limit on the transactions per second of this process's fleet duty; lease writes do not count.
    std::uint32_t writesPerSecond { 30 };
};

} // namespace fulmar::fleet

namespace fulmar {

// Names that other modules use unqualified.
using fleet::FleetSettings;

} // namespace fulmar
