#include "work/preemption.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::work;

namespace {

const TimePoint now { std::chrono::seconds(1'000) };
bool admitsAll(const Worker&) { return true; }

// A pool of workers with tasks placed on them.
struct Pool {
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Task>> tasks;

    [[nodiscard]] std::vector<Worker*> list() const
    {
        std::vector<Worker*> result;
        std::transform(workers.begin(), workers.end(), std::back_inserter(result),
            [](const auto& worker) { return worker.get(); });
        return result;
    }

    Task& addTask(double processors)
    {
        auto& task = *tasks.emplace_back(std::make_unique<Task>());
        task.record.spec.task = TaskId("t" + std::to_string(tasks.size()));
        task.record.spec.job = JobId("j" + std::to_string(tasks.size() % 3));
        task.record.spec.size = { processors, processors * 1'000, 0 };
        return task;
    }
};

Pool makePool(const std::vector<std::pair<std::uint8_t, std::uint8_t>>& machines)
{
    Pool pool;
    for (auto [kind, booked] : machines) {
        auto& worker = *pool.workers.emplace_back(std::make_unique<Worker>());
        auto number = std::to_string(pool.workers.size());
        worker.id = VmId("w" + number);
        worker.rack = RackId("r" + std::to_string(pool.workers.size() / 4));
        worker.zone = ZoneId("z" + std::to_string(pool.workers.size() % 3));
        worker.capacity = { 16, 32'768, double(kind % 5 == 0 ? 2 : 0) };
        worker.live = kind % 7 != 1;
        worker.leaving = kind % 7 == 2;
        if (kind % 7 == 3)
            worker.maintenanceAt = now + std::chrono::seconds(30);
        if (booked % 17 > 0)
            FleetView::place(
                pool.addTask(booked % 17), worker, { double(booked % 17), (booked % 17) * 1'000.0, 0 });
    }
    return pool;
}

PlacementRequest requestFor(const Task& task)
{
    return { &task.record.spec, task.record.spec.size, now + task.record.spec.expectedRunTime, nullptr };
}

// Reference implementation: the first worker with enough free capacity.
Worker* firstFit(const std::vector<Worker*>& workers, const PlacementRequest& request)
{
    for (auto* worker : workers) {
        auto ends = !worker->maintenanceAt || request.expectedEnd <= *worker->maintenanceAt;
        auto left = usableCapacity(*worker, {}) - worker->reserved;
        if (worker->live && !worker->leaving && ends && request.need.processors <= left.processors
            && request.need.memoryMb <= left.memoryMb && request.need.accelerators <= left.accelerators)
            return worker;
    }
    return nullptr;
}

using Machines = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

// Reference implementation: the smallest loss over all sets of evictions on any one worker.
std::optional<double> cheapestEviction(const Pool& pool, const PlacementRequest& request)
{
    std::optional<double> best;
    for (const auto& worker : pool.workers) {
        if (!accepts(*worker, request))
            continue;
        for (unsigned set = 0; set < 1U << worker->tasks.size(); ++set) {
            auto free = freeCapacity(*worker, {});
            double loss = 0;
            for (std::size_t i = 0; i < worker->tasks.size(); ++i)
                if (set >> i & 1U) {
                    free += worker->tasks[i]->reserved;
                    loss += evictionLoss(*worker->tasks[i], now);
                }
            if (fits(request.need, free) && (!best || loss < *best))
                best = loss;
        }
    }
    return best;
}

// True if evicting the victims makes the request fit and each victim is needed.
bool isMinimal(const PreemptionPlan& plan, const PlacementRequest& request)
{
    auto free = freeCapacity(*plan.worker, {});
    for (const auto* victim : plan.victims)
        free += victim->reserved;
    return fits(request.need, free)
        && std::none_of(plan.victims.begin(), plan.victims.end(),
            [&](const Task* victim) { return fits(request.need, free - victim->reserved); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

RC_BOOST_PROP(
    PlacesWheneverFirstFitDoesAndOnlyOnEligibleWorkers, (const Machines& machines, std::uint8_t size))
{
    auto pool = makePool(machines);
    auto& task = pool.addTask(size % 17);
    task.record.spec.size.accelerators = size % 4 == 0 ? 1 : 0;
    auto request = requestFor(task);
    auto* worker = chooseWorker(pool.list(), request, {}, admitsAll);
    RC_ASSERT((worker != nullptr) == (firstFit(pool.list(), request) != nullptr));
    if (worker)
        RC_ASSERT(firstFit({ worker }, request) == worker);
}

// A choice that ignores that a worker is leaving must differ from first-fit.
BOOST_AUTO_TEST_CASE(ComparisonDetectsAChoiceOfALeavingWorker)
{
    auto pool = makePool({ { 2, 0 } });
    auto request = requestFor(pool.addTask(1));
    pool.workers[0]->leaving = false;
    auto* chosen = chooseWorker(pool.list(), request, {}, admitsAll);
    pool.workers[0]->leaving = true;
    BOOST_TEST((chosen != nullptr) != (firstFit(pool.list(), request) != nullptr));
}

RC_BOOST_PROP(PreemptionSucceedsWheneverPossibleAndEvictsNoTaskNeedlessly,
    (const std::vector<std::vector<std::uint8_t>>& machines, std::uint8_t size))
{
    Pool pool;
    for (const auto& tasks : machines) {
        auto& worker = *pool.workers.emplace_back(std::make_unique<Worker>());
        worker.id = VmId("w" + std::to_string(pool.workers.size()));
        worker.capacity = { 16, 32'768, 0 };
        for (auto each : tasks)
            if (double need = 1 + each % 6;
                worker.tasks.size() < 6 && worker.reserved.processors + need <= 16) {
                auto& task = pool.addTask(need);
                task.record.spec.idempotent = true;
                task.startStep = StartStep::Confirmed;
                task.checkpointAt = now - std::chrono::seconds(each);
                FleetView::place(task, worker, { need, need * 1'000, 0 });
            }
    }
    auto request = requestFor(pool.addTask(1 + size % 16));
    auto plan = choosePreemption(
        pool.list(), request, {}, admitsAll, [](const Task&) { return true; }, now);
    auto best = cheapestEviction(pool, request);
    RC_ASSERT(plan.has_value() == best.has_value());
    if (!plan)
        return;
    RC_ASSERT(plan->loss >= *best - resourceTolerance);
    RC_ASSERT(isMinimal(*plan, request));
}

BOOST_AUTO_TEST_CASE(CheckDetectsANeedlessEviction)
{
    Pool pool;
    auto& worker = *pool.workers.emplace_back(std::make_unique<Worker>());
    worker.capacity = { 16, 32'768, 0 };
    PreemptionPlan plan { &worker, {}, 0 };
    for (int i = 0; i < 2; ++i) {
        auto& task = pool.addTask(8);
        FleetView::place(task, worker, task.record.spec.size);
        plan.victims.push_back(&task);
    }
    auto request = requestFor(pool.addTask(8));
    BOOST_TEST(!isMinimal(plan, request));
    plan.victims.pop_back();
    BOOST_TEST(isMinimal(plan, request));
}

BOOST_AUTO_TEST_CASE(TasksOfAJobSpreadOverRacks)
{
    auto pool = makePool(Machines(12, { 4, 0 }));
    std::set<RackId> racks;
    for (int i = 0; i < 3; ++i) {
        auto& task = pool.addTask(1);
        task.record.spec.job = JobId("j");
        auto* worker = chooseWorker(pool.list(), requestFor(task), {}, admitsAll);
        BOOST_REQUIRE(worker);
        racks.insert(worker->rack);
        FleetView::place(task, *worker, task.record.spec.size);
    }
    BOOST_TEST(racks.size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
