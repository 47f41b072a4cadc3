#include "memory_table.h"
#include "work/work_duty.h"
#include "work_fakes.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::work;
using namespace fulmar::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WorkDutyEndToEnd)

BOOST_AUTO_TEST_CASE(ATaskIsAcceptedStartedAndFinished)
{
    TestCluster cluster(2);
    auto accepted = cluster.submit(taskSpec("t1"));
    BOOST_REQUIRE(!accepted->has_value());
    cluster.run(1s);
    BOOST_REQUIRE(accepted->has_value() && (*accepted)->has_value());
    cluster.run(5s);
    BOOST_TEST(cluster.stateOf("t1") == "running");
    cluster.workers.finishAll();
    cluster.run(5s);
    BOOST_TEST(cluster.stateOf("t1") == "finished");
    BOOST_TEST(cluster.workers.startsOf("t1") == 1);
}

BOOST_AUTO_TEST_CASE(ACancelledQueuedTaskNeverStarts)
{
    TestCluster cluster(0);
    auto accepted = cluster.submit(taskSpec("t1"));
    cluster.run(1s);
    auto cancelled = cluster.cancel("t1");
    cluster.run(1s);
    BOOST_REQUIRE(cancelled->has_value() && (*cancelled)->has_value());
    cluster.addWorkers(2);
    cluster.run(30s);
    BOOST_TEST(cluster.stateOf("t1") == "cancelled");
    BOOST_TEST(cluster.workers.startsOf("t1") == 0);
}

BOOST_AUTO_TEST_CASE(ASubmissionIsRefusedDuringATableOutage)
{
    TestCluster cluster(2);
    cluster.run(1s);
    cluster.platform.available = false;
    auto accepted = cluster.submit(taskSpec("t1"));
    cluster.run(20s);
    BOOST_REQUIRE(accepted->has_value() && !(*accepted)->has_value());
    BOOST_TEST((*accepted)->error().outcome == Outcome::NotRun);
}

// The outage lasts so long that the owner's lease on the shard lapses, but no other process can take over.
BOOST_AUTO_TEST_CASE(RunningTasksSurviveALongTableOutage)
{
    TestCluster cluster(2);
    cluster.submit(taskSpec("t1"));
    cluster.run(5s);
    cluster.platform.available = false;
    cluster.run(10s);
    cluster.lease->isHeld = false;
    cluster.run(300s);
    auto refused = cluster.submit(taskSpec("t2"));
    BOOST_TEST((*refused)->error().outcome == Outcome::NotRun);
    cluster.platform.available = true;
    cluster.lease->isHeld = true;
    cluster.run(5s);
    BOOST_TEST(cluster.stateOf("t1") == "running");
    cluster.workers.finishAll();
    cluster.run(5s);
    BOOST_TEST(cluster.stateOf("t1") == "finished");
}

BOOST_AUTO_TEST_CASE(ANewOwnerKeepsRunningTasks)
{
    TestCluster cluster(2);
    auto accepted = cluster.submit(taskSpec("t1"));
    cluster.run(5s);
    cluster.changeOwner();
    cluster.run(60s);
    BOOST_TEST(cluster.stateOf("t1") == "running");
    BOOST_TEST(cluster.workers.startsOf("t1") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
