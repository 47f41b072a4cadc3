#include "jobs/move_plan.h"
#include "jobs/vm_availability.h"

#include "jobs/tests/shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

BOOST_AUTO_TEST_SUITE(vm_availability)

// While a zone is cut off, a pool that counts its VMs as available requests no replacements.
BOOST_FIXTURE_TEST_CASE(VmWithUnreachableRunnerIsUnavailable, ShardFixture)
{
    addRunner("r1");
    const auto& runner = shard.runners().at(RunnerId("r1"));
    VmStatus vm { VmState::Up, false, &runner };
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Idle));
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Busy));
    advance();
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Busy));
    advance();
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Unavailable));
}

// Draining runners are emptied and removed during a burst; a pool that counts them requests no replacements
// until they are gone.
BOOST_FIXTURE_TEST_CASE(VmWithDrainingRunnerIsUnavailable, ShardFixture)
{
    addRunner("r1");
    auto leaving = report("r1");
    leaving.isDraining = true;
    list(leaving);
    VmStatus vm { VmState::Up, false, &shard.runners().at(RunnerId("r1")) };
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Unavailable));
    vm.isMoving = true;
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Arriving));
}

BOOST_AUTO_TEST_CASE(StartingVmIsArrivingUntilItsRunnerIsOverdue)
{
    VmStatus vm { VmState::Up, false, nullptr, false, 500ms };
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Arriving));
    vm.timeWithoutRunner = 10s;
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Unavailable));
    vm.isMoving = true;
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Arriving));
    BOOST_TEST(bool(availabilityOf({ VmState::Down }) == VmAvailability::Unavailable));
    BOOST_TEST(bool(availabilityOf({ VmState::Moving }) == VmAvailability::Arriving));
}

// Guards against reading the 32 KB VM list after each of 13 moves per second, which filled a link of 2 Mbit/s
// and delayed callers' submissions.
BOOST_AUTO_TEST_CASE(VmListsLeaveBandwidthToOtherTraffic)
{
    BOOST_TEST((pauseAfterList(5ms) == 500ms));
    BOOST_TEST((pauseAfterList(130ms) >= 1'170ms));
    BOOST_TEST((pauseAfterList(3s) == 2s));
}

BOOST_AUTO_TEST_SUITE_END()
