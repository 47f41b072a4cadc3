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

// Assigns queued tasks to workers: urgent tasks first, then by team in ascending order of quota use. Teams
// may borrow idle capacity beyond their quota. An urgent task of a team within its quota preempts
// idempotent tasks; any other task of such a team preempts only tasks of borrowers, and only
// after a delay. A worker is reserved for a task that does not fit into the free capacity of any worker.
class TaskPlacer {
public:
    TaskPlacer(TaskRegistry&, Evictor&, const FaultEvidence&, const Quarantine&);

    void placeWaiting(Moment);

    // Has the next placeWaiting() examine the pool. Unchanged pools are examined once per second.
    void markChanged(const PoolId& pool) { m_changedPools.insert(pool); }

private:
    // A need that did not fit in this round. Tasks with an equal or larger need and run time are skipped.
    struct UnplacedNeed {
        Resources need;
        std::chrono::seconds runTime {};
    };

    struct PoolRound {
        const std::vector<Worker*>& workers;
        // Largest usable processors and memory of any worker in the pool.
        Resources largest;
        // Total capacity of the workers that take new tasks.
        Resources capacity;
        std::vector<UnplacedNeed> unplaced;
        std::size_t preemptions { 0 };
        // Searches of the pool's workers for the current team.
        std::size_t searches { 0 };
    };

    // Keeps a worker free of other non-urgent tasks until a large task fits.
    struct Reservation {
        TaskId task;
        VmId worker;
        TimePoint until {};
    };

    [[nodiscard]] Resources needOf(const Task&, const Resources& largest) const;
    void placeInPool(const PoolId&, Moment);
    void placeByTeam(PoolRound&, TeamQueues&, Moment);
    // Places the oldest task of the team that fits, among the first maxTasksExamined; null if none fits.
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
