#include "work/queue_filler.h"
#include "work/preemption.h"

#include <algorithm>

namespace fulmar::work {

namespace {

constexpr auto fillAllInterval = std::chrono::seconds(1);
// Oldest tasks of a team that are looked at before the team is passed over, and how many of them may cost a
// search of the pool's workers.
constexpr std::size_t lookAhead = 64;
constexpr std::size_t searchesPerTeam = 8;
constexpr std::size_t preemptionsPerRound = 8;
// A team within its quota takes room back from borrowers after this wait, in each pool once per interval.
constexpr auto reclaimAfter = std::chrono::seconds(15);
constexpr auto reclaimInterval = std::chrono::seconds(2);
// A borrower's task runs at least this long, and its team stays this much above the other's ratio.
constexpr auto borrowedRunTime = std::chrono::seconds(60);
constexpr double reclaimHysteresis = 0.1;
// A task that fits nowhere gets a worker kept free for it after this wait, for at most the second time.
constexpr auto reserveAfter = std::chrono::seconds(20);
constexpr auto longestReservation = std::chrono::seconds(180);

} // namespace

QueueFiller::QueueFiller(
    TaskBook& book, Evictor& evictor, const FaultEvidence& evidence, const Quarantine& quarantine)
    : m_book(book)
    , m_evictor(evictor)
    , m_evidence(evidence)
    , m_quarantine(quarantine)
{
}

void QueueFiller::fill(Moment moment)
{
    if (moment.now >= m_filledAllAt + fillAllInterval) {
        m_filledAllAt = moment.now;
        for (const auto& [pool, lines] : m_book.queue().pools())
            m_touched.insert(pool);
    }
    auto pools = std::move(m_touched);
    m_touched.clear();
    for (const auto& pool : pools)
        fillPool(pool, moment);
}

void QueueFiller::fillPool(const PoolId& pool, Moment moment)
{
    PoolRound round { m_book.fleet().workersOf(pool), {}, {}, {}, 0, 0 };
    for (const auto* worker : round.workers) {
        if (worker->live && !worker->leaving && !worker->withdrawn)
            round.capacity += worker->capacity;
        auto most = usable(*worker, m_book.settings().fill);
        round.largest.processors = std::max(round.largest.processors, most.processors);
        round.largest.memoryMb = std::max(round.largest.memoryMb, most.memoryMb);
    }
    auto& pools = m_book.queue().pools();
    if (auto lines = pools.find(pool); lines != pools.end())
        fillLane(round, lines->second.urgent, moment);
    round.refusals.clear();
    if (auto lines = pools.find(pool); lines != pools.end())
        fillLane(round, lines->second.normal, moment);
}

// The learned size, but never more than a whole worker: a task admitted can always be placed.
Resources QueueFiller::needOf(const Task& task, const Resources& largest) const
{
    const auto& spec = task.record.spec;
    auto need = m_book.settings().learnsSizes ? estimateSize(*task.usage, spec.size) : spec.size;
    need.processors = std::min(need.processors, std::max(largest.processors, spec.size.processors));
    need.memoryMb = std::min(need.memoryMb, std::max(largest.memoryMb, spec.size.memoryMb));
    return need;
}

// Placing a task can end its team's line, or the whole pool's entry; so both are looked up anew only while
// tasks are known to be left.
void QueueFiller::fillLane(PoolRound& round, TeamLines& teams, Moment moment)
{
    std::set<std::pair<double, TeamId>> order;
    for (const auto& [team, line] : teams)
        order.emplace(m_book.shares().ratio(team), team);
    while (!order.empty()) {
        auto team = order.begin()->second;
        order.erase(order.begin());
        const auto& line = teams.at(team);
        auto isLast = line.size() == 1;
        if (placeOneOf(round, line, moment) && !isLast)
            order.emplace(m_book.shares().ratio(team), team);
    }
}

Task* QueueFiller::placeOneOf(PoolRound& round, const TeamLine& line, Moment moment)
{
    std::size_t looked = 0;
    round.searches = 0;
    for (auto* task : line) {
        if (++looked > lookAhead || round.searches >= searchesPerTeam)
            break;
        if (tryPlace(round, *task, moment))
            return task;
    }
    return nullptr;
}

bool QueueFiller::tryPlace(PoolRound& round, Task& task, Moment moment)
{
    const auto& spec = task.record.spec;
    const auto& settings = m_book.settings();
    const auto& workers = round.workers;
    PlacementRequest request { &spec, needOf(task, round.largest), moment.now + spec.expectedRunTime,
        &task.failedOn };
    auto isHopeless = [&](const Refusal& refusal) {
        return fits(refusal.need, request.need) && refusal.runTime <= spec.expectedRunTime;
    };
    if (std::any_of(round.refusals.begin(), round.refusals.end(), isHopeless)
        || isPinnedOut(round, spec, request.need))
        return false;
    ++round.searches;
    auto* worker = chooseWorker(workers, request, limitsFor(spec),
        [&](const Worker& each) { return admits(each, task, moment.now); });
    if (worker) {
        m_book.place(task, *worker, request.need, moment);
        return true;
    }
    // A task that has failed on every worker of a small pool may return to one of them.
    if (!task.failedOn.empty() && task.failedOn.size() >= workers.size())
        task.failedOn.clear();
    if (settings.preempts && tryPreempt(round, task, request, moment))
        return true;
    reserveFor(round, task, request, moment);
    if (task.failedOn.empty())
        round.refusals.push_back({ request.need, spec.expectedRunTime });
    return false;
}

bool QueueFiller::tryPreempt(PoolRound& round, Task& task, const PlacementRequest& request, Moment moment)
{
    const auto& spec = task.record.spec;
    const auto& shares = m_book.shares();
    auto ratio
        = spec.urgent ? shares.urgentRatio(spec.team, request.need) : shares.ratio(spec.team, request.need);
    if (ratio > 1 || round.preemptions >= preemptionsPerRound)
        return false;
    auto& reclaimedAt = m_reclaimedAt[spec.pool];
    if (!spec.urgent
        && (moment.now < task.queuedAt + reclaimAfter || moment.now < reclaimedAt + reclaimInterval))
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
        m_book.resize(*victim, {});
    }
    m_book.place(task, *plan->worker, request.need, moment, std::move(victims));
    return true;
}

bool QueueFiller::mayDisplace(const Task& victim, const Task& task, double ratio, TimePoint now) const
{
    if (task.record.spec.urgent)
        return true;
    const auto& team = victim.record.spec.team;
    auto left = m_book.shares().ratio(team, Resources {} - victim.reserved);
    return team != task.record.spec.team && left >= 1 && left > ratio + reclaimHysteresis
        && now >= victim.startedAt + borrowedRunTime;
}

// Keeps the worker with the most room free of further tasks, so that smaller ones do not pass the large task
// for ever.
void QueueFiller::reserveFor(
    const PoolRound& round, const Task& task, const PlacementRequest& request, Moment moment)
{
    const auto& spec = task.record.spec;
    if (moment.now < task.queuedAt + reserveAfter)
        return;
    auto& reservation = m_reservations[spec.pool];
    if (moment.now < reservation.until && m_book.find(reservation.task)
        && m_book.find(reservation.task)->waiting)
        return;
    const Worker* best = nullptr;
    double bestShare = 0;
    auto limits = limitsFor(spec);
    for (const auto* worker : round.workers) {
        if (!accepts(*worker, request) || !fits(request.need, usable(*worker, limits)))
            continue;
        auto share = dominantShare(worker->reserved, worker->capacity);
        if (!best || share < bestShare) {
            best = worker;
            bestShare = share;
        }
    }
    if (best)
        reservation = { task.id(), best->id, moment.now + longestReservation };
}

bool QueueFiller::isPinnedOut(const PoolRound& round, const TaskSpec& spec, const Resources& need) const
{
    const auto share = m_book.settings().pinnedShare;
    if (spec.idempotent || spec.urgent || share >= 1)
        return false;
    auto pinned = m_book.pinned(spec.pool);
    // A pool that holds no such task takes one of any size.
    return pinned.processors > resourceTolerance && !fits(pinned + need, round.capacity * share);
}

FillLimits QueueFiller::limitsFor(const TaskSpec& spec) const
{
    auto limits = m_book.settings().fill;
    if (!spec.urgent) {
        limits.processors -= m_book.settings().urgentReserve;
        limits.memory -= m_book.settings().urgentReserve;
    }
    return limits;
}

bool QueueFiller::admits(const Worker& worker, const Task& task, TimePoint now) const
{
    const auto& spec = task.record.spec;
    if (now > worker.listedAt + m_book.settings().missingAfter)
        return false;
    if (auto position = m_reservations.find(spec.pool); position != m_reservations.end() && !spec.urgent)
        if (const auto& kept = position->second;
            kept.worker == worker.id && kept.task != task.id() && now < kept.until)
            if (const auto* owner = std::as_const(m_book).find(kept.task); owner && owner->waiting)
                return false;
    return !m_book.settings().judgesFaults || m_quarantine.admits(worker, spec.idempotent, m_evidence, now);
}

} // namespace fulmar::work
