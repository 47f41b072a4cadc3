#include "work/task_placer.h"
#include "work/preemption.h"

#include <algorithm>

namespace fulmar::work {

namespace {

constexpr auto allPoolsInterval = std::chrono::seconds(1);
// Limits per team and round: queued tasks examined, and those that cost a search of the pool's workers.
constexpr std::size_t maxTasksExamined = 64;
constexpr std::size_t maxSearchesPerTeam = 8;
constexpr std::size_t maxPreemptionsPerRound = 8;
// A team within its quota reclaims capacity from borrowers after this queueing time, once per interval and
// pool.
constexpr auto reclaimDelay = std::chrono::seconds(15);
constexpr auto reclaimInterval = std::chrono::seconds(2);
// A borrower's task is reclaimed only after this run time, and only while its team's ratio without the task
// exceeds the reclaiming team's ratio by the hysteresis. Both prevent thrashing.
constexpr auto minBorrowedRunTime = std::chrono::seconds(60);
constexpr double reclaimHysteresis = 0.1;
// Queueing time after which a worker is reserved for a task that fits nowhere, and duration of the
// reservation.
constexpr auto reservationDelay = std::chrono::seconds(20);
constexpr auto maxReservationTime = std::chrono::seconds(180);

} // namespace

TaskPlacer::TaskPlacer(
    TaskRegistry& registry, Evictor& evictor, const FaultEvidence& evidence, const Quarantine& quarantine)
    : m_registry(registry)
    , m_evictor(evictor)
    , m_evidence(evidence)
    , m_quarantine(quarantine)
{
}

void TaskPlacer::placeWaiting(Moment moment)
{
    if (moment.now >= m_allPoolsPlacedAt + allPoolsInterval) {
        m_allPoolsPlacedAt = moment.now;
        for (const auto& [pool, queues] : m_registry.queue().pools())
            m_changedPools.insert(pool);
    }
    auto pools = std::move(m_changedPools);
    m_changedPools.clear();
    for (const auto& pool : pools)
        placeInPool(pool, moment);
}

void TaskPlacer::placeInPool(const PoolId& pool, Moment moment)
{
    PoolRound round { m_registry.fleet().workersOf(pool), {}, {}, {}, 0, 0 };
    for (const auto* worker : round.workers) {
        if (worker->live && !worker->leaving && !worker->withdrawn)
            round.capacity += worker->capacity;
        auto most = usableCapacity(*worker, m_registry.settings().fill);
        round.largest.processors = std::max(round.largest.processors, most.processors);
        round.largest.memoryMb = std::max(round.largest.memoryMb, most.memoryMb);
    }
    auto& pools = m_registry.queue().pools();
    if (auto queues = pools.find(pool); queues != pools.end())
        placeByTeam(round, queues->second.urgent, moment);
    round.unplaced.clear();
    if (auto queues = pools.find(pool); queues != pools.end())
        placeByTeam(round, queues->second.normal, moment);
}

// The learned size, capped to the largest worker, so that an admitted task can always be placed.
Resources TaskPlacer::needOf(const Task& task, const Resources& largest) const
{
    const auto& spec = task.record.spec;
    auto need = m_registry.settings().learnsSizes ? estimateSize(*task.usage, spec.size) : spec.size;
    need.processors = std::min(need.processors, std::max(largest.processors, spec.size.processors));
    need.memoryMb = std::min(need.memoryMb, std::max(largest.memoryMb, spec.size.memoryMb));
    return need;
}

// Placing a team's last task removes its queue, and the pool's last task removes the pool's entry. A team is
// therefore reinserted, and its queue looked up again, only while it has tasks left.
void TaskPlacer::placeByTeam(PoolRound& round, TeamQueues& teams, Moment moment)
{
    std::set<std::pair<double, TeamId>> order;
    for (const auto& [team, queue] : teams)
        order.emplace(m_registry.shares().ratio(team), team);
    while (!order.empty()) {
        auto team = order.begin()->second;
        order.erase(order.begin());
        const auto& queue = teams.at(team);
        auto isLast = queue.size() == 1;
        if (placeNextOf(round, queue, moment) && !isLast)
            order.emplace(m_registry.shares().ratio(team), team);
    }
}

Task* TaskPlacer::placeNextOf(PoolRound& round, const TeamQueue& queue, Moment moment)
{
    std::size_t examined = 0;
    round.searches = 0;
    for (auto* task : queue) {
        if (++examined > maxTasksExamined || round.searches >= maxSearchesPerTeam)
            break;
        if (tryPlace(round, *task, moment))
            return task;
    }
    return nullptr;
}

bool TaskPlacer::tryPlace(PoolRound& round, Task& task, Moment moment)
{
    const auto& spec = task.record.spec;
    const auto& settings = m_registry.settings();
    const auto& workers = round.workers;
    PlacementRequest request { &spec, needOf(task, round.largest), moment.now + spec.expectedRunTime,
        &task.failedOn };
    auto isAtLeast = [&](const UnplacedNeed& other) {
        return fits(other.need, request.need) && other.runTime <= spec.expectedRunTime;
    };
    if (std::any_of(round.unplaced.begin(), round.unplaced.end(), isAtLeast)
        || exceedsPinnedShare(round, spec, request.need))
        return false;
    ++round.searches;
    auto* worker = chooseWorker(workers, request, limitsFor(spec),
        [&](const Worker& each) { return admits(each, task, moment.now); });
    if (worker) {
        m_registry.place(task, *worker, request.need, moment);
        return true;
    }
    // A task that failed on every worker of a small pool may return to any of them.
    if (!task.failedOn.empty() && task.failedOn.size() >= workers.size())
        task.failedOn.clear();
    if (settings.preempts && tryPreempt(round, task, request, moment))
        return true;
    reserveFor(round, task, request, moment);
    if (task.failedOn.empty())
        round.unplaced.push_back({ request.need, spec.expectedRunTime });
    return false;
}

bool TaskPlacer::tryPreempt(PoolRound& round, Task& task, const PlacementRequest& request, Moment moment)
{
    const auto& spec = task.record.spec;
    const auto& shares = m_registry.shares();
    auto ratio
        = spec.urgent ? shares.urgentRatio(spec.team, request.need) : shares.ratio(spec.team, request.need);
    if (ratio > 1 || round.preemptions >= maxPreemptionsPerRound)
        return false;
    auto& reclaimedAt = m_reclaimedAt[spec.pool];
    if (!spec.urgent
        && (moment.now < task.queuedAt + reclaimDelay || moment.now < reclaimedAt + reclaimInterval))
        return false;
    auto plan = choosePreemption(
        round.workers, request, limitsFor(spec),
        [&](const Worker& worker) { return admits(worker, task, moment.now); },
        [&](const Task& victim) { return mayDisplace(victim, task, ratio, moment.now); }, moment.now);
    if (!plan)
        return false;
    ++round.preemptions;
    if (!spec.urgent)
        reclaimedAt = moment.now;
    std::vector<TaskId> victims;
    for (auto* victim : plan->victims) {
        victims.push_back(victim->id());
        m_evictor.evict(*victim, Eviction::Preempted, task.id(), moment);
        m_registry.resize(*victim, {});
    }
    m_registry.place(task, *plan->worker, request.need, moment, std::move(victims));
    return true;
}

bool TaskPlacer::mayDisplace(const Task& victim, const Task& task, double ratio, TimePoint now) const
{
    if (task.record.spec.urgent)
        return true;
    const auto& team = victim.record.spec.team;
    auto ratioWithoutVictim = m_registry.shares().ratio(team, Resources {} - victim.reserved);
    return team != task.record.spec.team && ratioWithoutVictim >= 1
        && ratioWithoutVictim > ratio + reclaimHysteresis && now >= victim.startedAt + minBorrowedRunTime;
}

// Reserves the least loaded worker, so that smaller tasks do not starve a large one.
void TaskPlacer::reserveFor(
    const PoolRound& round, const Task& task, const PlacementRequest& request, Moment moment)
{
    const auto& spec = task.record.spec;
    if (moment.now < task.queuedAt + reservationDelay)
        return;
    auto& reservation = m_reservations[spec.pool];
    if (moment.now < reservation.until && m_registry.find(reservation.task)
        && m_registry.find(reservation.task)->inQueue)
        return;
    const Worker* best = nullptr;
    double bestShare = 0;
    auto limits = limitsFor(spec);
    for (const auto* worker : round.workers) {
        if (!accepts(*worker, request) || !fits(request.need, usableCapacity(*worker, limits)))
            continue;
        auto share = dominantShare(worker->reserved, worker->capacity);
        if (!best || share < bestShare) {
            best = worker;
            bestShare = share;
        }
    }
    if (best)
        reservation = { task.id(), best->id, moment.now + maxReservationTime };
}

bool TaskPlacer::exceedsPinnedShare(const PoolRound& round, const TaskSpec& spec, const Resources& need) const
{
    const auto share = m_registry.settings().maxPinnedShare;
    if (spec.idempotent || spec.urgent || share >= 1)
        return false;
    auto pinned = m_registry.pinned(spec.pool);
    // A pool without pinned tasks accepts one of any size.
    return pinned.processors > resourceTolerance && !fits(pinned + need, round.capacity * share);
}

FillLimits TaskPlacer::limitsFor(const TaskSpec& spec) const
{
    auto limits = m_registry.settings().fill;
    if (!spec.urgent) {
        limits.processors -= m_registry.settings().urgentReserve;
        limits.memory -= m_registry.settings().urgentReserve;
    }
    return limits;
}

bool TaskPlacer::admits(const Worker& worker, const Task& task, TimePoint now) const
{
    const auto& spec = task.record.spec;
    if (now > worker.listedAt + m_registry.settings().missingAfter)
        return false;
    if (auto position = m_reservations.find(spec.pool); position != m_reservations.end() && !spec.urgent)
        if (const auto& reservation = position->second;
            reservation.worker == worker.id && reservation.task != task.id() && now < reservation.until)
            if (const auto* reservedFor = std::as_const(m_registry).find(reservation.task);
                reservedFor && reservedFor->inQueue)
                return false;
    return !m_registry.settings().detectsFaults
        || m_quarantine.admits(worker, spec.idempotent, m_evidence, now);
}

} // namespace fulmar::work
