#pragma once

#include "work/evictor.h"
#include "work/fault_evidence.h"
#include "work/placement.h"
#include "work/quarantine.h"
#include "work/task_book.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace fulmar::work {

// Gives waiting tasks a worker: urgent ones first, then by team, the one with the lowest share of its quota
// first. Teams borrow what others leave idle. An urgent task of a team within its quota displaces tasks that
// can continue from a checkpoint; any other task of such a team does so only against borrowers, after a wait.
// A task too large for the room at hand gets a worker kept free for it.
class QueueFiller {
public:
    QueueFiller(TaskBook&, Evictor&, const FaultEvidence&, const Quarantine&);

    void fill(Moment);

    // Something in the pool has changed; others are looked at once a second.
    void touch(const PoolId& pool) { m_touched.insert(pool); }

private:
    // A need that did not fit in this round; no larger one will.
    struct Refusal {
        Resources need;
        std::chrono::seconds runTime {};
    };

    struct PoolRound {
        const std::vector<Worker*>& workers;
        // The most that a worker of the pool can hold.
        Resources largest;
        // Of the workers that take tasks.
        Resources capacity;
        std::vector<Refusal> refusals;
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
    void fillPool(const PoolId&, Moment);
    void fillLane(PoolRound&, TeamLines&, Moment);
    // Places one of the team's oldest tasks; null if none can be placed.
    Task* placeOneOf(PoolRound&, const TeamLine&, Moment);
    bool tryPlace(PoolRound&, Task&, Moment);
    bool tryPreempt(PoolRound&, Task&, const PlacementRequest&, Moment);
    void reserveFor(const PoolRound&, const Task&, const PlacementRequest&, Moment);
    [[nodiscard]] bool isPinnedOut(const PoolRound&, const TaskSpec&, const Resources& need) const;
    [[nodiscard]] FillLimits limitsFor(const TaskSpec&) const;
    [[nodiscard]] bool admits(const Worker&, const Task&, TimePoint now) const;
    [[nodiscard]] bool mayDisplace(const Task& victim, const Task& task, double ratio, TimePoint now) const;

    TaskBook& m_book;
    Evictor& m_evictor;
    const FaultEvidence& m_evidence;
    const Quarantine& m_quarantine;
    std::set<PoolId> m_touched;
    std::map<PoolId, Reservation> m_reservations;
    std::map<PoolId, TimePoint> m_reclaimedAt;
    TimePoint m_filledAllAt {};
};

} // namespace fulmar::work
