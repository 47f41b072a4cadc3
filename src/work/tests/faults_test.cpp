#include "work/heat.h"
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

// Ends everything that runs: on the bad worker and of the bad job as failed, all else as finished.
void endRuns(Site& site, const VmId& badWorker, const std::string& badJob)
{
    for (auto& [operation, run] : site.workers.runs) {
        if (!FakeWorkers::isActive(run))
            continue;
        auto fails = run.worker == badWorker || run.report.task.value().starts_with(badJob + "-");
        run.report.phase = fails ? TaskPhase::Failed : TaskPhase::Finished;
    }
}

// Some rounds of work of four jobs, one of which may be bad.
void workRounds(Site& site, int rounds, const VmId& badWorker, const std::string& badJob)
{
    for (int i = 0; i < rounds; ++i) {
        for (const auto* job : { "a", "b", "c", "d" })
            for (int copy = 0; copy < 5; ++copy)
                site.submit(taskOfJob(job, 5 * i + copy));
        site.run(4s);
        endRuns(site, badWorker, badJob);
        site.run(4s);
    }
}

std::size_t startsOn(const Site& site, const VmId& worker)
{
    return std::size_t(std::count_if(site.workers.runs.begin(), site.workers.runs.end(),
        [&](const auto& entry) { return entry.second.worker == worker; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkFaults)

BOOST_AUTO_TEST_CASE(AWorkerThatFailsEverythingIsQuarantinedProbedAndReleased)
{
    Site site(10, declaredSizesOnly());
    workRounds(site, 12, VmId("w3"), "none");
    BOOST_TEST(site.duty->scheduler()->quarantinedCount() == 1);
    auto before = startsOn(site, VmId("w3"));
    workRounds(site, 6, VmId("w3"), "none");
    // At most the probe.
    BOOST_TEST(startsOn(site, VmId("w3")) <= before + 1);
    workRounds(site, 40, VmId("none"), "none");
    BOOST_TEST(site.duty->scheduler()->quarantinedCount() == 0);
}

BOOST_AUTO_TEST_CASE(AJobThatNeverRunsIsStoppedAndNoWorkerIsCharged)
{
    Site site(10, declaredSizesOnly());
    workRounds(site, 20, VmId("none"), "d");
    BOOST_TEST(site.duty->scheduler()->quarantinedCount() == 0);
    BOOST_TEST(site.stateOf("d-0") == "cannot-run");
    BOOST_TEST(site.workers.startsOf("d-0") <= 10);
    auto reply = site.submit(taskOfJob("d", 9'999));
    BOOST_REQUIRE(reply->has_value() && !(*reply)->has_value());
    BOOST_TEST((*reply)->error().outcome == Outcome::NotRun);
}

BOOST_AUTO_TEST_CASE(AnOutageUnderWhichEverythingFailsIsChargedToNobody)
{
    Site site(10, declaredSizesOnly());
    workRounds(site, 4, VmId("none"), "none");
    for (int i = 0; i < 6; ++i) {
        for (const auto* job : { "a", "b", "c", "d" })
            site.submit(taskOfJob(job, 1'000 + i));
        site.run(4s);
        site.workers.endAll(TaskPhase::Failed);
        site.run(4s);
    }
    BOOST_TEST(site.duty->scheduler()->quarantinedCount() == 0);
    BOOST_TEST(site.duty->scheduler()->admit(taskOfJob("a", 1), site.clock.now()).has_value());
}

BOOST_AUTO_TEST_CASE(QuarantineHasACap)
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
    quarantine.judge(pool, evidence, now + 2s);
    BOOST_TEST(quarantine.size() == 2);
}

BOOST_AUTO_TEST_CASE(NoTaskGoesToALeavingWorkerOrPastTheNextMaintenanceStep)
{
    Site site(2, declaredSizesOnly());
    site.workers.machines[VmId("w0")].leaving = true;
    site.duty->setMaintenance(VmId("w1"), site.clock.now() + 300s);
    site.run(3s);
    auto tooLong = taskSpec("long");
    tooLong.expectedRunTime = 3'600s;
    site.submit(tooLong);
    site.submit(taskSpec("short"));
    site.run(10s);
    BOOST_TEST(site.workers.startsOf("long") == 0);
    BOOST_TEST(site.workers.startsOf("short") == 1);
}

// A zone's workers die together: what may be repeated runs again elsewhere, urgent tasks first and within the
// restart budget; what may not is reported.
BOOST_AUTO_TEST_CASE(AfterAMassFailureTasksRestartWithoutAStormUrgentFirst)
{
    auto settings = declaredSizesOnly();
    settings.scheduler.restartsPerSecond = 5;
    settings.scheduler.restartBurst = 5;
    Site site(20, settings);
    for (int i = 0; i < 200; ++i) {
        auto spec = taskSpec(fmt::format("t{}", i), 1, i % 10 != 0);
        spec.urgent = i % 10 == 1;
        site.submit(spec);
    }
    site.run(10s);
    int killed = 0;
    for (auto& [id, worker] : site.workers.machines)
        if (killed++ < 10)
            worker.live = false;
    std::vector<std::pair<TimePoint, TaskId>> restarts;
    site.workers.onStart
        = [&](const VmId&, const TaskStart& start) { restarts.emplace_back(site.clock.now(), start.task); };
    site.run(120s);
    BOOST_REQUIRE(restarts.size() > 30);
    auto seconds = std::chrono::duration<double>(restarts.back().first - restarts.front().first).count();
    BOOST_TEST(double(restarts.size()) <= 5 * (seconds + 1) + 5 + 1);
    // The urgent ones are among the first.
    auto urgentLeft = std::count_if(restarts.begin() + std::ptrdiff_t(restarts.size() / 2), restarts.end(),
        [&](const auto& restart) { return site.duty->status(restart.second)->spec.urgent; });
    BOOST_TEST(urgentLeft == 0);
    for (int i = 0; i < 200; i += 10)
        BOOST_TEST(site.workers.startsOf(fmt::format("t{}", i)) == 1);
}

BOOST_AUTO_TEST_CASE(AHotWorkerThrottlesTheLowestValueAndEvictsOnlyWhatCanContinue)
{
    Worker worker;
    worker.capacity = { 8, 16'000, 0 };
    std::vector<Task> tasks(3);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        tasks[i].record.spec = taskSpec(fmt::format("t{}", i), 4, i == 1);
        tasks[i].record.spec.urgent = i == 2;
        tasks[i].step = StartStep::Confirmed;
        FleetView::place(tasks[i], worker, { 2, 4'000, 0 });
        tasks[i].used = { 4, 4'000, 0 };
        worker.used += tasks[i].used;
    }
    auto hot = coolDown(worker);
    BOOST_REQUIRE(!hot.empty());
    BOOST_TEST((hot[0].task == &tasks[1] && hot[0].step == HeatStep::Throttle));
    worker.used.memoryMb = 15'600;
    auto full = coolDown(worker);
    BOOST_REQUIRE(full.size() == 1);
    BOOST_TEST((full[0].task == &tasks[1] && full[0].step == HeatStep::Evict));
}

BOOST_AUTO_TEST_SUITE_END()
