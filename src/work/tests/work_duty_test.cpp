#include "memory_table.h"
#include "work/work_duty.h"
#include "work_fakes.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::work;
using namespace fulmar::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WorkDutyWholePath)

BOOST_AUTO_TEST_CASE(ATaskIsAcceptedStartedAndFinished)
{
    Site site(2);
    auto accepted = site.submit(taskSpec("t1"));
    BOOST_REQUIRE(!accepted->has_value());
    site.run(1s);
    BOOST_REQUIRE(accepted->has_value() && (*accepted)->has_value());
    site.run(5s);
    BOOST_TEST(site.stateOf("t1") == "running");
    site.workers.finishAll();
    site.run(5s);
    BOOST_TEST(site.stateOf("t1") == "finished");
    BOOST_TEST(site.workers.startsOf("t1") == 1);
}

BOOST_AUTO_TEST_CASE(ACancelledWaitingTaskNeverStarts)
{
    Site site(0);
    auto accepted = site.submit(taskSpec("t1"));
    site.run(1s);
    auto cancelled = site.cancel("t1");
    site.run(1s);
    BOOST_REQUIRE(cancelled->has_value() && (*cancelled)->has_value());
    site.addWorkers(2);
    site.run(30s);
    BOOST_TEST(site.stateOf("t1") == "cancelled");
    BOOST_TEST(site.workers.startsOf("t1") == 0);
}

BOOST_AUTO_TEST_CASE(ASubmissionIsRefusedWhileTheTableIsOut)
{
    Site site(2);
    site.run(1s);
    site.platform.available = false;
    auto accepted = site.submit(taskSpec("t1"));
    site.run(20s);
    BOOST_REQUIRE(accepted->has_value() && !(*accepted)->has_value());
    BOOST_TEST((*accepted)->error().outcome == Outcome::NotRun);
}

// The table is out so long that the owner's own lease lapses; nobody else can take over either.
BOOST_AUTO_TEST_CASE(RunningTasksSurviveALongOutageOfTheTable)
{
    Site site(2);
    site.submit(taskSpec("t1"));
    site.run(5s);
    site.platform.available = false;
    site.run(10s);
    site.lease->isHeld = false;
    site.run(300s);
    auto refused = site.submit(taskSpec("t2"));
    BOOST_TEST((*refused)->error().outcome == Outcome::NotRun);
    site.platform.available = true;
    site.lease->isHeld = true;
    site.run(5s);
    BOOST_TEST(site.stateOf("t1") == "running");
    site.workers.finishAll();
    site.run(5s);
    BOOST_TEST(site.stateOf("t1") == "finished");
}

BOOST_AUTO_TEST_CASE(ANewOwnerKeepsRunningTasks)
{
    Site site(2);
    auto accepted = site.submit(taskSpec("t1"));
    site.run(5s);
    site.changeOwner();
    site.run(60s);
    BOOST_TEST(site.stateOf("t1") == "running");
    BOOST_TEST(site.workers.startsOf("t1") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
