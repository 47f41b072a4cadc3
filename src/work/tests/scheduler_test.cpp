#include "work_fakes.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::work;
using namespace fulmar::test;
using namespace std::chrono_literals;

namespace {

TeamConfig quota(const std::string& team, double processors)
{
    return { TeamId(team), processors, std::uint64_t(processors * 2'000), 0 };
}

TaskSpec taskOf(const std::string& team, const std::string& id, double processors)
{
    auto spec = taskSpec(id, processors, true);
    spec.team = TeamId(team);
    spec.job = JobId("job-" + team);
    return spec;
}

// Submits idempotent tasks of 4 processors each for a team and lets them start.
void fillWith(TestCluster& cluster, const std::string& team, int tasks)
{
    for (int i = 0; i < tasks; ++i)
        cluster.submit(taskOf(team, fmt::format("{}-{}", team, i), 4));
    cluster.run(5s);
}

WorkSettings declaredSizesOnly()
{
    WorkSettings settings;
    settings.scheduler.learnsSizes = false;
    return settings;
}

// True if no team started a task while its ratio was above that of a team with queued tasks. All tasks have
// the same size, so that any queued task could have run in the place of any other.
bool isShareFair(const std::vector<std::uint8_t>& teams, std::array<double, 2> trueQuotas,
    std::array<double, 2> configuredQuotas)
{
    constexpr double size = 4;
    TestCluster cluster(2, declaredSizesOnly());
    for (std::size_t team = 0; team < 2; ++team)
        cluster.duty->setQuota(quota(fmt::format("t{}", team), configuredQuotas[team]));
    std::array<double, 2> held {};
    std::array<bool, 2> waits {};
    for (std::size_t i = 0; i < teams.size(); ++i)
        cluster.submit(taskOf(fmt::format("t{}", teams[i] % 2), fmt::format("x{}", i), size));
    cluster.run(5s);
    for (std::size_t i = 0; i < teams.size(); ++i) {
        if (cluster.stateOf(fmt::format("x{}", i)) == "queued")
            waits[teams[i] % 2] = true;
        else
            held[teams[i] % 2] += size;
    }
    for (std::size_t team = 0; team < 2; ++team) {
        auto other = 1 - team;
        if (waits[team] && held[other] > 0
            && (held[other] - size) / trueQuotas[other] > held[team] / trueQuotas[team] + resourceTolerance)
            return false;
    }
    return true;
}

// True if a task is queued although a worker has enough free capacity for it.
bool isCapacityLeftUnused(TestCluster& cluster, const std::vector<TaskSpec>& specs)
{
    return std::any_of(specs.begin(), specs.end(), [&](const TaskSpec& spec) {
        const auto& workers = cluster.duty->scheduler()->registry().fleet().workersOf(spec.pool);
        return cluster.stateOf(spec.task.value()) == "queued"
            && std::any_of(workers.begin(), workers.end(),
                [&](const Worker* worker) { return fits(spec.size, freeCapacity(*worker, {})); });
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkScheduler)

BOOST_AUTO_TEST_CASE(AnUrgentTaskStartsInTimeOnFullyReservedWorkers)
{
    TestCluster cluster(4, declaredSizesOnly());
    cluster.duty->setQuota(quota("batch", 64));
    cluster.duty->setQuota(quota("urgent", 16));
    fillWith(cluster, "batch", 20);
    BOOST_REQUIRE(cluster.duty->scheduler()->waitingCount() > 0);
    auto spec = taskOf("urgent", "now", 8);
    spec.urgent = true;
    spec.idempotent = false;
    cluster.submit(spec);
    cluster.run(6'500ms);
    BOOST_TEST(cluster.workers.startsOf("now") == 1);
}

BOOST_AUTO_TEST_CASE(ATeamReclaimsItsQuotaFromBorrowersWithoutThrashing)
{
    TestCluster cluster(4, declaredSizesOnly());
    cluster.duty->setQuota(quota("a", 32));
    cluster.duty->setQuota(quota("b", 32));
    fillWith(cluster, "a", 24);
    BOOST_TEST(cluster.duty->scheduler()->registry().shares().usage(TeamId("a")).processors > 56);
    fillWith(cluster, "b", 24);
    cluster.run(300s);
    auto usage = cluster.duty->scheduler()->registry().shares().usage(TeamId("b")).processors;
    BOOST_TEST(usage >= 28);
    BOOST_TEST(usage <= 36);
    auto starts = cluster.workers.runs.size();
    cluster.run(300s);
    BOOST_TEST(cluster.workers.runs.size() == starts);
}

BOOST_AUTO_TEST_CASE(ALargeTaskIsNotStarvedBySmallOnes)
{
    TestCluster cluster(2, declaredSizesOnly());
    cluster.duty->setQuota(quota("a", 1'000));
    int next = 0;
    auto submitSmall = [&] {
        auto spec = taskOf("a", fmt::format("s{}", next++), 4);
        spec.idempotent = false;
        cluster.submit(spec);
    };
    for (int i = 0; i < 12; ++i)
        submitSmall();
    auto large = taskOf("a", "large", 13);
    cluster.run(2s);
    cluster.submit(large);
    // Every 4 s a small task ends and another is submitted.
    for (int i = 0; i < 100 && cluster.workers.startsOf("large") == 0; ++i) {
        for (auto& [operation, run] : cluster.workers.runs)
            if (FakeWorkers::isActive(run)) {
                run.report.phase = TaskPhase::Finished;
                break;
            }
        submitSmall();
        cluster.run(4s);
    }
    BOOST_TEST(cluster.workers.startsOf("large") == 1);
}

BOOST_AUTO_TEST_CASE(ATaskTooLargeForAnyWorkerIsRefusedAtOnce)
{
    TestCluster cluster(2);
    cluster.run(3s);
    auto reply = cluster.submit(taskSpec("huge", 17));
    BOOST_REQUIRE(reply->has_value() && !(*reply)->has_value());
    BOOST_TEST((*reply)->error().reason == Reason::BadInput);
}

BOOST_AUTO_TEST_CASE(ABurstOfCancellationsIsStoredInBoundedTimeAndWrites)
{
    TestCluster cluster(4, declaredSizesOnly());
    for (int i = 0; i < 4'000; ++i)
        cluster.submit(taskOf("a", fmt::format("t{}", i), 4));
    cluster.run(10s);
    cluster.platform.commits = 0;
    auto before = cluster.platform.table.version();
    std::vector<TestCluster::Reply> replies;
    for (int i = 0; i < 4'000; ++i)
        replies.push_back(cluster.cancel(fmt::format("t{}", i)));
    cluster.run(3s);
    auto settled = std::count_if(replies.begin(), replies.end(),
        [](const TestCluster::Reply& reply) { return reply->has_value() && (*reply)->has_value(); });
    BOOST_TEST(settled == 4'000);
    BOOST_TEST(cluster.platform.table.version() - before <= 30);
    auto starts = cluster.workers.runs.size();
    cluster.run(60s);
    BOOST_TEST(cluster.workers.runs.size() == starts);
}

BOOST_AUTO_TEST_CASE(ATaskThatFinishedBeforeItsCancellationIsReportedAsFinished)
{
    TestCluster cluster(2);
    cluster.submit(taskSpec("t1"));
    cluster.run(4s);
    cluster.workers.finishAll();
    auto reply = cluster.cancel("t1");
    cluster.run(6s);
    BOOST_TEST(cluster.stateOf("t1") == "finished");
}

BOOST_AUTO_TEST_CASE(AnUncertainStartOfANonIdempotentTaskNamesTeamAndWorker)
{
    TestCluster cluster(1);
    cluster.run(3s);
    cluster.workers.loseNextReplies = 1;
    cluster.submit(taskSpec("t1"));
    cluster.run(1s);
    cluster.workers.runs.clear();
    cluster.run(60s);
    BOOST_TEST(cluster.stateOf("t1") == "may-have-run");
    BOOST_TEST(
        cluster.duty->status(TaskId("t1"))->detail.find("ask team team and worker w0") != std::string::npos);
    BOOST_TEST(cluster.workers.startsOf("t1") == 1);
}

BOOST_AUTO_TEST_CASE(ALostReplyAndATakeoverAreReportedAsMayHaveRun)
{
    TestCluster cluster(1);
    cluster.run(3s);
    cluster.platform.loseNextReplies = 1;
    auto reply = cluster.submit(taskSpec("t1"));
    cluster.run(100ms);
    cluster.changeOwner();
    cluster.submit(taskSpec("t2"));
    cluster.run(1s);
    for (int i = 0; i < 10; ++i, cluster.run(100ms))
        cluster.pausedDuty->step();
    BOOST_REQUIRE(reply->has_value() && !(*reply)->has_value());
    BOOST_TEST((*reply)->error().outcome == Outcome::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(EndedTasksAreRemovedFromMemoryAndLaterFromTheTable)
{
    TestCluster cluster(1);
    cluster.submit(taskSpec("t1"));
    cluster.run(4s);
    cluster.workers.finishAll();
    cluster.run(60s);
    BOOST_TEST(cluster.duty->scheduler()->taskCount() == 0);
    BOOST_TEST(cluster.stateOf("t1") == "finished");
    auto again = cluster.submit(taskSpec("t1"));
    BOOST_REQUIRE(again->has_value() && (*again)->has_value());
    BOOST_TEST((**again)->state == TaskState::Finished);
    cluster.run(900s);
    BOOST_TEST(cluster.stateOf("t1") == "not-found");
}

RC_BOOST_PROP(NoTaskStaysQueuedThatFitsOnAWorker, (const std::vector<std::uint8_t>& sizes))
{
    TestCluster cluster(3, declaredSizesOnly());
    std::vector<TaskSpec> specs;
    for (std::size_t i = 0; i < sizes.size(); ++i)
        specs.push_back(
            taskOf(fmt::format("t{}", sizes[i] % 3), fmt::format("x{}", i), 1 + sizes[i] / 3 % 8));
    for (const auto& spec : specs)
        cluster.submit(spec);
    cluster.run(5s);
    RC_ASSERT(!isCapacityLeftUnused(cluster, specs));
}

BOOST_AUTO_TEST_CASE(CheckDetectsUnusedCapacity)
{
    TestCluster cluster(1, declaredSizesOnly());
    VmRecord record;
    record.vm = VmId("w0");
    record.pool = PoolId("p");
    record.zone = ZoneId("z0");
    record.state = VmState::Maintenance;
    cluster.duty->onConfig({ keys::vmPrefix + std::string("w0"), encode(record), 1, {}, false });
    cluster.run(3s);
    auto spec = taskOf("a", "x", 1);
    cluster.submit(spec);
    cluster.run(5s);
    BOOST_TEST(isCapacityLeftUnused(cluster, { spec }));
}

RC_BOOST_PROP(CapacityIsSharedInProportionToQuotas,
    (const std::vector<std::uint8_t>& teams, std::uint8_t first, std::uint8_t second))
{
    std::array quotas { 4.0 + first % 32, 4.0 + second % 32 };
    RC_ASSERT(isShareFair(teams, quotas, quotas));
}

BOOST_AUTO_TEST_CASE(FairnessCheckDetectsWrongQuotas)
{
    std::vector<std::uint8_t> teams;
    for (std::uint8_t i = 0; i < 24; ++i)
        teams.push_back(i % 2);
    BOOST_TEST(isShareFair(teams, { 8, 40 }, { 8, 40 }));
    BOOST_TEST(!isShareFair(teams, { 8, 40 }, { 40, 8 }));
}

BOOST_AUTO_TEST_SUITE_END()
