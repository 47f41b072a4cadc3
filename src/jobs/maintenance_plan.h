#pragma once

#include "jobs/fleet.h"

#include <map>
#include <optional>
#include <set>

namespace fulmar::jobs {

// Progress of a maintenance wave in this shard.
struct WaveProgress {
    WaveOrder order;
    TimePoint firstSeen;
    std::set<VmId> done;
    // VMs that get no new work and are not yet taken down; value: since when.
    std::map<VmId, TimePoint> cordoned;
    // VMs whose maintenance was ordered and is not known to have ended; value: latest time at which it began.
    // Empty while the order is not answered: it may be carried out at any time.
    std::map<VmId, std::optional<TimePoint>> down;
    // VMs of this shard that may be down at once.
    std::uint32_t allowance { 0 };
    bool isStartReported { false };
    // All VMs of this shard are done; and the completion of the whole wave was reported.
    bool isCompleted { false };
    bool isCompletionReported { false };
    bool isQueryInFlight { false };
    TimePoint nextQueryAt;
};

// A VM that is still to be maintained.
struct MaintenanceCandidate {
    VmId vm;
    // Nothing runs on it.
    bool isEmpty { false };
    // It is switched off, or has been idle for a while.
    bool isUnused { false };
    // VMs that are moving or down have to wait.
    bool isUp { false };
    // No long-running task is there, so the remaining runs may be ended.
    bool mayEndRuns { false };
    // Millicores in use.
    std::int64_t busyCpu { 0 };
};

// A shard's share of the wave's VMs that may be down at once. If the limit is below the number of shards,
// some shards get none and wait until the shards before them are done.
[[nodiscard]] std::uint32_t allowanceOf(std::uint32_t maxAtOnce, std::uint32_t shard, std::uint32_t shards);

// Counts the wave's VMs that the list shows in maintenance as down: an earlier holder may have ordered it.
void recordVmsInMaintenance(WaveProgress&, const std::map<VmId, VmRecord>& list, TimePoint listRequestedAt);

// Stops counting VMs as down whose maintenance has ended by this list. `duration`: of a VM's maintenance.
void removeReturnedVms(
    WaveProgress&, const std::map<VmId, VmRecord>& list, TimePoint listRequestedAt, Millis duration);

// All of the wave's VMs in the list are done and none is down any more, so another shard may take one down.
[[nodiscard]] bool areAllVmsBack(const WaveProgress&, const std::map<VmId, VmRecord>& list);

// Expected times of a VM in a wave.
struct MaintenanceTimes {
    // From cordoning the VM until nothing runs on it.
    Millis drain { 0 };
    // From taking it down to its return.
    Millis down { 0 };
};

struct MaintenanceActions {
    // VMs to cordon, so that they become empty.
    std::vector<VmId> empty;
    // VMs to take down now.
    std::vector<VmId> takeDown;
};

// Decides which VMs of a wave are cordoned and taken down next. Unused VMs go as soon as the allowance
// permits. Of the others, only as many at a time as are needed to end the wave in time, least busy first,
// because bursts during the wave need every VM; if the allowance is the bottleneck, enough to have the next
// one empty whenever one returns. VMs with long-running tasks are slow to evacuate and are cordoned in
// parallel from the start.
[[nodiscard]] MaintenanceActions planMaintenance(
    const WaveProgress&, std::vector<MaintenanceCandidate>, MaintenanceTimes, TimePoint now);

} // namespace fulmar::jobs
