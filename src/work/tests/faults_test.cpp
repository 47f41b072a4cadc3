#include "work/overload_relief.h"
#include "work_fakes.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fulmar;
using namespace fulmar::work;
using namespace fulmar::test;
using namespace std::chrono_literals;

namespace {

WorkSettings declaredSizesOnly()
{
    WorkSettings settings;
    settings.scheduler.learnsSizes = false;
    return settings;
}

TaskSpec taskOfJob(const std::string& job, int number)
{
    auto spec = taskSpec(fmt::format("{}-{}", job, number), 8, true);
    spec.job = JobId(job);
    return spec;
}

// Ends all running tasks: those on the bad worker or of the bad job fail, the others finish.
void endRuns(TestCluster& cluster, const VmId& badWorker, const std::string& badJob)
{
    for (auto& [operation, run] : cluster.workers.runs) {
        if (!FakeWorkers::isActive(run))
            continue;
        auto fails = run.worker == badWorker || run.report.task.value().starts_with(badJob + "-");
        run.report.phase = fails ? TaskPhase::Failed : TaskPhase::Finished;
    }
}

// Submits and ends tasks of four jobs in each of `rounds` rounds.
void workRounds(TestCluster& cluster, int rounds, const VmId& badWorker, const std::string& badJob)
{
    for (int i = 0; i < rounds; ++i) {
        for (const auto* job : { "a", "b", "c", "d" })
            for (int copy = 0; copy < 5; ++copy)
                cluster.submit(taskOfJob(job, 5 * i + copy));
        cluster.run(4s);
        endRuns(cluster, badWorker, badJob);
        cluster.run(4s);
    }
}

std::size_t startsOn(const TestCluster& cluster, const VmId& worker)
{
    return std::size_t(std::count_if(cluster.workers.runs.begin(), cluster.workers.runs.end(),
        [&](const auto& entry) { return entry.second.worker == worker; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkFaults)

BOOST_AUTO_TEST_CASE(AWorkerThatFailsEverythingIsQuarantinedProbedAndReleased)
{
    TestCluster cluster(10, declaredSizesOnly());
    workRounds(cluster, 12, VmId("w3"), "none");
    BOOST_TEST(cluster.duty->scheduler()->quarantinedCount() == 1);
    auto before = startsOn(cluster, VmId("w3"));
    workRounds(cluster, 6, VmId("w3"), "none");
    // At most one probe was started.
    BOOST_TEST(startsOn(cluster, VmId("w3")) <= before + 1);
    workRounds(cluster, 40, VmId("none"), "none");
    BOOST_TEST(cluster.duty->scheduler()->quarantinedCount() == 0);
}

BOOST_AUTO_TEST_CASE(AJobThatAlwaysFailsIsStoppedAndNoWorkerIsQuarantined)
{
    TestCluster cluster(10, declaredSizesOnly());
    workRounds(cluster, 20, VmId("none"), "d");
    BOOST_TEST(cluster.duty->scheduler()->quarantinedCount() == 0);
    BOOST_TEST(cluster.stateOf("d-0") == "cannot-run");
    BOOST_TEST(cluster.workers.startsOf("d-0") <= 10);
    auto reply = cluster.submit(taskOfJob("d", 9'999));
    BOOST_REQUIRE(reply->has_value() && !(*reply)->has_value());
    BOOST_TEST((*reply)->error().outcome == Outcome::NotRun);
}

BOOST_AUTO_TEST_CASE(AnOutageInWhichAllTasksFailImplicatesNeitherWorkersNorJobs)
{
    TestCluster cluster(10, declaredSizesOnly());
    workRounds(cluster, 4, VmId("none"), "none");
    for (int i = 0; i < 6; ++i) {
        for (const auto* job : { "a", "b", "c", "d" })
            cluster.submit(taskOfJob(job, 1'000 + i));
        cluster.run(4s);
        cluster.workers.endAll(TaskPhase::Failed);
        cluster.run(4s);
    }
    BOOST_TEST(cluster.duty->scheduler()->quarantinedCount() == 0);
    BOOST_TEST(cluster.duty->scheduler()->admit(taskOfJob("a", 1), cluster.clock.now()).has_value());
}

BOOST_AUTO_TEST_CASE(QuarantineIsLimitedToAShareOfThePool)
{
    FaultEvidence evidence;
    Quarantine quarantine;
    std::vector<Worker> machines(20);
    std::vector<Worker*> pool;
    TimePoint now { 1'000s };
    for (std::size_t i = 0; i < machines.size(); ++i) {
        machines[i].id = VmId(fmt::format("w{}", i));
        pool.push_back(&machines[i]);
        for (const auto* job : { "a", "b", "c" })
            evidence.onFailure(TaskId("t"), JobId(job), machines[i].id, now);
    }
    for (const auto* job : { "a", "b", "c" })
        evidence.onSuccess(JobId(job), VmId("elsewhere"), now + 1s);
    quarantine.evaluate(pool, evidence, now + 2s);
    BOOST_TEST(quarantine.size() == 2);
}

BOOST_AUTO_TEST_CASE(NoTaskGoesToALeavingWorkerOrPastTheNextMaintenanceStep)
{
    TestCluster cluster(3, declaredSizesOnly());
    cluster.workers.machines[VmId("w0")].leaving = true;
    VmRecord record;
    record.vm = VmId("w2");
    record.pool = PoolId("p");
    record.zone = ZoneId("z0");
    record.state = VmState::Leaving;
    cluster.duty->onConfig({ keys::vmPrefix + std::string("w2"), encode(record), 1, {}, false });
    cluster.duty->setMaintenance(VmId("w1"), cluster.clock.now() + 300s);
    cluster.run(3s);
    auto tooLong = taskSpec("long");
    tooLong.expectedRunTime = 3'600s;
    cluster.submit(tooLong);
    cluster.submit(taskSpec("short"));
    cluster.run(10s);
    BOOST_TEST(cluster.workers.startsOf("long") == 0);
    BOOST_TEST(cluster.workers.startsOf("short") == 1);
}

// Half of the workers die at once. Idempotent tasks restart elsewhere, urgent ones first and within the
// restart budget; the others are not started again.
BOOST_AUTO_TEST_CASE(AfterAMassFailureRestartsAreRateLimitedAndUrgentTasksComeFirst)
{
    auto settings = declaredSizesOnly();
    settings.scheduler.restartsPerSecond = 5;
    settings.scheduler.restartBurst = 5;
    TestCluster cluster(20, settings);
    for (int i = 0; i < 200; ++i) {
        auto spec = taskSpec(fmt::format("t{}", i), 1, i % 10 != 0);
        spec.urgent = i % 10 == 1;
        cluster.submit(spec);
    }
    cluster.run(10s);
    int killed = 0;
    for (auto& [id, worker] : cluster.workers.machines)
        if (killed++ < 10)
            worker.live = false;
    std::vector<std::pair<TimePoint, TaskId>> restarts;
    cluster.workers.onStart = [&](const VmId&, const TaskStart& start) {
        restarts.emplace_back(cluster.clock.now(), start.task);
    };
    cluster.run(120s);
    BOOST_REQUIRE(restarts.size() > 30);
    auto seconds = std::chrono::duration<double>(restarts.back().first - restarts.front().first).count();
    BOOST_TEST(double(restarts.size()) <= 5 * (seconds + 1) + 5 + 1);
    // All urgent tasks restart in the first half.
    auto urgentLeft = std::count_if(restarts.begin() + std::ptrdiff_t(restarts.size() / 2), restarts.end(),
        [&](const auto& restart) { return cluster.duty->status(restart.second)->spec.urgent; });
    BOOST_TEST(urgentLeft == 0);
    for (int i = 0; i < 200; i += 10)
        BOOST_TEST(cluster.workers.startsOf(fmt::format("t{}", i)) == 1);
}

BOOST_AUTO_TEST_CASE(AnOverloadedWorkerThrottlesTheLowestPriorityAndEvictsOnlyIdempotentTasks)
{
    Worker worker;
    worker.capacity = { 8, 16'000, 0 };
    std::vector<Task> tasks(3);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        tasks[i].record.spec = taskSpec(fmt::format("t{}", i), 4, i == 1);
        tasks[i].record.spec.urgent = i == 2;
        tasks[i].startStep = StartStep::Confirmed;
        FleetView::place(tasks[i], worker, { 2, 4'000, 0 });
        tasks[i].used = { 4, 4'000, 0 };
        worker.used += tasks[i].used;
    }
    auto hot = overloadActions(worker);
    BOOST_REQUIRE(!hot.empty());
    BOOST_TEST((hot[0].task == &tasks[1] && hot[0].step == ReliefStep::Throttle));
    worker.used.memoryMb = 15'600;
    auto full = overloadActions(worker);
    BOOST_REQUIRE(full.size() == 1);
    BOOST_TEST((full[0].task == &tasks[1] && full[0].step == ReliefStep::Evict));
}

BOOST_AUTO_TEST_SUITE_END()
