#pragma once

#include "work/evictor.h"
#include "work/fault_evidence.h"
#include "work/placement.h"
#include "work/quarantine.h"
#include "work/task_registry.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace fulmar::work {

// Gives waiting tasks a worker: urgent ones first, then by team, the one with the lowest share of its quota
// first. Teams borrow what others leave idle. An urgent task of a team within its quota displaces tasks that
// can continue from a checkpoint; any other task of such a team does so only against borrowers, after a wait.
// A task too large for the room at hand gets a worker kept free for it.
class TaskPlacer {
public:
    TaskPlacer(TaskRegistry&, Evictor&, const FaultEvidence&, const Quarantine&);

    void fill(Moment);

    // Something in the pool has changed; others are looked at once a second.
    void markChanged(const PoolId& pool) { m_changedPools.insert(pool); }

private:
    // A need that did not fit in this round; no larger one will.
    struct UnplacedNeed {
        Resources need;
        std::chrono::seconds runTime {};
    };

    struct PoolRound {
        const std::vector<Worker*>& workers;
        // The most that a worker of the pool can hold.
        Resources largest;
        // Of the workers that take tasks.
        Resources capacity;
        std::vector<UnplacedNeed> unplaced;
        std::size_t preemptions { 0 };
        // Searches made for the present team.
        std::size_t searches { 0 };
    };

    // A worker that takes no other tasks until the large task fits.
    struct Reservation {
        TaskId task;
        VmId worker;
        TimePoint until {};
    };

    [[nodiscard]] Resources needOf(const Task&, const Resources& largest) const;
    void placeInPool(const PoolId&, Moment);
    void placeByTeam(PoolRound&, TeamQueues&, Moment);
    // Places one of the team's oldest tasks; null if none can be placed.
    Task* placeNextOf(PoolRound&, const TeamQueue&, Moment);
    bool tryPlace(PoolRound&, Task&, Moment);
    bool tryPreempt(PoolRound&, Task&, const PlacementRequest&, Moment);
    void reserveFor(const PoolRound&, const Task&, const PlacementRequest&, Moment);
    [[nodiscard]] bool exceedsPinnedShare(const PoolRound&, const TaskSpec&, const Resources& need) const;
    [[nodiscard]] FillLimits limitsFor(const TaskSpec&) const;
    [[nodiscard]] bool admits(const Worker&, const Task&, TimePoint now) const;
    [[nodiscard]] bool mayDisplace(const Task& victim, const Task& task, double ratio, TimePoint now) const;

    TaskRegistry& m_registry;
    Evictor& m_evictor;
    const FaultEvidence& m_evidence;
    const Quarantine& m_quarantine;
    std::set<PoolId> m_changedPools;
    std::map<PoolId, Reservation> m_reservations;
    std::map<PoolId, TimePoint> m_reclaimedAt;
    TimePoint m_allPoolsPlacedAt {};
};

} // namespace fulmar::work
