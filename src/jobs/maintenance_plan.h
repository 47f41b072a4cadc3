#pragma once

#include "jobs/fleet.h"

#include <map>
#include <set>

namespace fulmar::jobs {

// How far a wave is.
struct WaveProgress {
    WaveOrder order;
    TimePoint firstSeen;
    std::set<VmId> done;
    // VMs being emptied, and VMs whose maintenance was ordered and is not seen to be over.
    std::map<VmId, TimePoint> cordoned;
    std::map<VmId, TimePoint> down;
    // VMs of this shard that may be down at once.
    std::uint32_t allowance { 0 };
    bool isStartReported { false };
    // All VMs of this shard are done; and the whole wave is, and was said to be.
    bool isCompleted { false };
    bool isCompletionReported { false };
    bool isQueryInFlight { false };
    TimePoint nextQueryAt;
};

// A VM that is still to be maintained, as the planner sees it.
struct MaintenanceCandidate {
    VmId vm;
    // Nothing runs on it.
    bool isEmpty { false };
    // It is switched off, or has been idle for a while: nobody misses it.
    bool isUnused { false };
    // It is up; one that moves or is down has to wait.
    bool isUp { false };
    // What still runs there may be ended: none of it is to last.
    bool mayEndRuns { false };
    // Cores in use there, thousandths.
    std::int64_t busyCpu { 0 };
};

// A shard's share of the VMs of a wave that may be down at once. With fewer than shards, some have none and
// have to wait until the shards before them are done.
[[nodiscard]] std::uint32_t allowanceOf(std::uint32_t maxAtOnce, std::uint32_t shard, std::uint32_t shards);

// Counts VMs of the wave as down that the list shows in maintenance: an earlier holder may have ordered it.
void recordVmsInMaintenance(WaveProgress&, const std::map<VmId, VmRecord>& list, TimePoint listRequestedAt);

struct MaintenanceSteps {
    // To be emptied: nothing new is started there.
    std::vector<VmId> empty;
    // To be taken down now.
    std::vector<VmId> takeDown;
};

// Decides which VMs of a wave are emptied and taken down next. Those that nobody misses go as soon as the
// wave allows it; of the others as few at a time as end the wave before its time is over, those that carry
// least first: a wave's time covers turns in which the pools need every VM. VMs with lasting tasks, which
// leave slowly, are emptied beside these from the start. `cycle` is the time from emptying a VM to its
// return.
[[nodiscard]] MaintenanceSteps planMaintenance(
    const WaveProgress&, std::vector<MaintenanceCandidate>, Millis cycle, TimePoint now);

} // namespace fulmar::jobs
