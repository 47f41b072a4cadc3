#pragma once

#include "jobs/fleet.h"

#include <set>

namespace fulmar::jobs {

// A VM on which nothing runs.
struct IdleVm {
    VmId vm;
    Millis idleFor { 0 };
};

// Demand and VMs of a pool.
struct PoolNeed {
    PoolId pool;
    // VMs that the pool's demand requires.
    std::uint32_t needed { 0 };
    // VMs that it keeps for its next burst unless another pool needs them now; see MinPoolSize.
    std::uint32_t minBetweenBursts { 0 };
    // VMs that serve the pool or are on their way to it.
    std::uint32_t present { 0 };
    // Idle VMs of `present`, longest idle first.
    std::vector<IdleVm> idle;
    // VMs of `present` whose work ends by itself, least busy first.
    std::vector<VmId> busy;
};

struct MoveInput {
    std::vector<PoolNeed> pools;
    // Empty if no pool of the configuration has its VMs switched off.
    PoolId standbyPool;
    std::vector<VmId> standby;
};

struct VmMove {
    VmId vm;
    PoolId from;
    PoolId to;
};

struct MovePlan {
    std::vector<VmMove> moves;
    // VMs that get no new work until they are empty.
    std::set<VmId> cordoned;
};

// How long to wait before the VM list is requested again, given the duration of the last request. The list of
// a large fleet fills a small holder's link for a good part of a second and blocks other traffic.
[[nodiscard]] Millis pauseAfterList(Duration took);

// Decides which VMs change pools. Queues have bursts of some seconds that exceed their pool's capacity, and
// almost no load in between. So a pool in a burst takes VMs that are switched off, then VMs that idle in
// other pools; VMs that idle beyond their pool's need are switched off. Only empty VMs are moved. If a pool
// has surplus VMs that are not idle, its least busy ones are cordoned until they are empty.
[[nodiscard]] MovePlan planMoves(MoveInput);

} // namespace fulmar::jobs
