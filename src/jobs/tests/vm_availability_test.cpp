#include "jobs/move_plan.h"
#include "jobs/vm_availability.h"

#include "jobs/tests/shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

BOOST_AUTO_TEST_SUITE(vm_availability)

// Found on kspf-sched scale-1: while a zone was cut off, pools counted its VMs and asked for no others.
BOOST_FIXTURE_TEST_CASE(AVmWhoseRunnerIsSilentDoesNotCount, ShardFixture)
{
    addRunner("r1");
    const auto& runner = shard.runners().at(RunnerId("r1"));
    VmFacts vm { VmState::Up, false, &runner };
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Idle));
    submit(job("j1", 1));
    step();
    accept(starts.at(0));
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Busy));
    step();
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Busy));
    step();
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Unavailable));
}

// Runners that leave are emptied and taken away in the middle of a turn: a pool that counts them as its own
// asks for no others until they are gone.
BOOST_FIXTURE_TEST_CASE(AVmWhoseRunnerLeavesDoesNotCount, ShardFixture)
{
    addRunner("r1");
    auto leaving = report("r1");
    leaving.isDraining = true;
    list(leaving);
    VmFacts vm { VmState::Up, false, &shard.runners().at(RunnerId("r1")) };
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Unavailable));
    vm.isMoving = true;
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Arriving));
}

BOOST_AUTO_TEST_CASE(AVmThatStartsCountsUntilItsRunnerIsOverdue)
{
    VmFacts vm { VmState::Up, false, nullptr, false, 500ms };
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Arriving));
    vm.timeWithoutRunner = 10s;
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Unavailable));
    vm.isMoving = true;
    BOOST_TEST(bool(availabilityOf(vm) == VmAvailability::Arriving));
    BOOST_TEST(bool(availabilityOf({ VmState::Down }) == VmAvailability::Unavailable));
    BOOST_TEST(bool(availabilityOf({ VmState::Moving }) == VmAvailability::Arriving));
}

// Found on the small twins of the large deployment: after each of thirteen moves a second the list of VMs was
// read again, 32 KB over a link of 2 Mbit/s, and callers' submissions waited behind it.
BOOST_AUTO_TEST_CASE(ListsOfVmsLeaveASmallLinkToOthers)
{
    BOOST_TEST((pauseAfterList(5ms) == 500ms));
    BOOST_TEST((pauseAfterList(130ms) >= 1'170ms));
    BOOST_TEST((pauseAfterList(3s) == 2s));
}

BOOST_AUTO_TEST_SUITE_END()
