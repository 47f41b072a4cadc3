#pragma once

#include "jobs/fleet.h"

#include <set>

namespace fulmar::jobs {

// A VM on which nothing runs.
struct IdleVm {
    VmId vm;
    Millis idleFor { 0 };
};

// A pool as the planner of moves sees it.
struct PoolNeed {
    PoolId pool;
    // VMs that the pool's demand asks for.
    std::uint32_t needed { 0 };
    // VMs that it keeps for its next turn unless another pool needs them now.
    std::uint32_t kept { 0 };
    // VMs that serve it, or are on their way to it.
    std::uint32_t present { 0 };
    // Of those, longest idle first.
    std::vector<IdleVm> idle;
    // Of those, VMs with work that ends by itself, least busy first.
    std::vector<VmId> busy;
};

struct MoveInput {
    std::vector<PoolNeed> pools;
    // Empty if the configuration has no pool whose VMs are switched off.
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
    // VMs that get no new work, so that they are empty soon.
    std::set<VmId> cordoned;
};

// How long to wait before the list of VMs is asked for again, by how long the last one took. Load pattern:
// the list of a fleet fills a small holder's link for a good part of a second, and nothing else comes
// through.
[[nodiscard]] Millis pauseAfterList(Duration took);

// Decides which VMs change pools. Load pattern: queues take turns, each asking for more than its pool holds
// for some seconds and for almost nothing between; so a pool whose turn comes takes VMs that are switched
// off, then those that idle in other pools, and VMs that idle beyond their pool's need are switched off. Only
// VMs on which nothing runs are moved; where a pool's work shrinks but lies on many VMs, the least busy get
// no new work until they are empty.
[[nodiscard]] MovePlan planMoves(MoveInput);

} // namespace fulmar::jobs
