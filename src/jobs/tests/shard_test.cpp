#include "jobs/tests/shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

// Two lasting tasks, each on a runner of its own, of which our orders may take one away; and a runner to
// spare.
struct LongRunningPairFixture : ShardFixture {
    OutgoingStart first;
    OutgoingStart second;

    LongRunningPairFixture()
    {
        for (const auto* id : { "r1", "r2", "r3" })
            addRunner(id);
        auto longRunning = job("j1", 2, 100);
        longRunning.steps[0].isLongRunning = true;
        longRunning.steps[0].maxPerRunner = 1;
        longRunning.steps[0].maxUnavailable = 1;
        submit(longRunning);
        step();
        first = starts.at(0);
        second = starts.at(1);
        accept(first);
        accept(second);
        step();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(shard)

BOOST_FIXTURE_TEST_CASE(AJobRunsToItsEnd, ShardFixture)
{
    addRunner("r1");
    BOOST_TEST(bool(submit(job("j1", 2)) == SubmitVerdict::New));
    step();
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    auto orders = starts;
    for (const auto& start : orders)
        accept(start);
    step();
    answerPoll("r1", {},
        { ended("r1", orders[0].order, EndKind::Done), ended("r1", orders[1].order, EndKind::Done) });
    BOOST_TEST(bool(shard.find(JobId("j1"))->state == JobState::Completed));
    BOOST_TEST(bool(shard.find(JobId("j1"))->storedState != JobState::Completed));
    store();
    BOOST_TEST(bool(shard.find(JobId("j1"))->storedState == JobState::Completed));
}

BOOST_FIXTURE_TEST_CASE(NothingStartsBeforeTheJobIsStored, ShardFixture)
{
    addRunner("r1");
    BOOST_TEST(bool(shard.submit(job("j1", 1), now, wall()).verdict == SubmitVerdict::New));
    step();
    BOOST_TEST(starts.empty());
    store();
    step();
    BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NothingStartsWhileTheLeaseIsUnsure, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step(10ms, false);
    BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(ARunnerIsNeverFilledBeyondItsCapacity, ShardFixture)
{
    addRunner("r1", 4'000);
    submit(job("j1", 3, 1'500));
    step();
    BOOST_TEST(starts.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AnEndIsAcknowledgedOnlyOnceItIsStored, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step();
    auto order = starts.at(0).order;
    accept(starts[0]);
    step();
    answerPoll("r1", {}, { ended("r1", order, EndKind::Done) });
    step(500ms);
    BOOST_TEST(shard.runners().at(RunnerId("r1")).endsApplied == 1U);
    BOOST_TEST(shard.runners().at(RunnerId("r1")).endsStored == 0U);
    for (const auto& poll : polls)
        BOOST_TEST(poll.order.ackEndsUpTo == 0U);
    polls.clear();
    store();
    step(500ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.ackEndsUpTo == 1U);
}

// A start without an answer may still come to be; it must not run elsewhere before that is settled.
BOOST_FIXTURE_TEST_CASE(AStartWithoutAnswerIsSettledByItsStop, ShardFixture)
{
    addRunner("r1");
    addRunner("r2");
    submit(job("j1", 1));
    step();
    auto first = starts.at(0);
    auto where = first.runner.id.value();
    loseStartAnswersUntilStop(first);
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    answerPoll(where, {}, {});
    auto stop = stops[0];
    shard.onStop(stop.runner.id, stop.order, { OrderOutcome::Accepted, {}, 0 }, now);
    step(400ms);
    BOOST_TEST(starts.empty());
    answerPoll(where, {}, {});
    step(200ms);
    BOOST_TEST(starts.size() == 1U);
    BOOST_TEST(starts.at(0).order.attempt > first.order.attempt);
}

// Found on the grown deployments' scale-1: a job of a dozen tasks met a lost answer more often than not, and
// lost two seconds by it.
BOOST_FIXTURE_TEST_CASE(AStartWithoutAnswerIsSentAgain, ShardFixture)
{
    addRunner("r1");
    addRunner("r2");
    submit(job("j1", 1));
    step();
    auto first = starts.at(0);
    BOOST_TEST((first.order.timeout < 1s));
    accept(first, OrderOutcome::Unknown);
    step();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].runner.id.value() == first.runner.id.value());
    BOOST_TEST(starts[0].order.attempt == first.order.attempt);
    BOOST_TEST((starts[0].order.timeout > first.order.timeout));
    accept(starts[0]);
    step();
    BOOST_TEST(starts.empty());
    BOOST_TEST(stops.empty());
}

// The first order may still be carried out, whatever the runner says to the second.
BOOST_FIXTURE_TEST_CASE(ARefusedResendDoesNotFreeTheTask, ShardFixture)
{
    for (auto refusal : { OrderOutcome::NoRoom, OrderOutcome::Unhealthy, OrderOutcome::NotSent,
             OrderOutcome::TooLate, OrderOutcome::Withheld }) {
        ShardFixture each;
        each.addRunner("r1");
        each.addRunner("r2");
        each.submit(job("j1", 1));
        each.step();
        auto first = each.starts.at(0);
        each.accept(first, OrderOutcome::Unknown);
        each.step();
        BOOST_REQUIRE_EQUAL(each.starts.size(), 1U);
        each.accept(each.starts[0], refusal);
        each.step();
        BOOST_TEST(each.starts.empty());
        BOOST_TEST(each.stops.size() == 1U);
        each.step(1s);
        BOOST_TEST(each.starts.empty());
    }
}

BOOST_FIXTURE_TEST_CASE(ACancelledJobsStartIsNotSentAgain, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step();
    auto first = starts.at(0);
    shard.cancel(JobId("j1"), now);
    accept(first, OrderOutcome::Unknown);
    step();
    BOOST_TEST(starts.empty());
    BOOST_TEST(stops.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(OneLookWithoutAnswerDoesNotSilenceARunner, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step();
    accept(starts.at(0));
    step();
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    step();
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.wait.count() == 0);
    submit(job("j2", 1));
    step();
    BOOST_TEST(starts.size() == 1U);
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    submit(job("j3", 1));
    step();
    BOOST_TEST(starts.empty());
}

// Found on mvinje grown scale-1: three lasting tasks waited for 18 s in a pool that had all VMs that sums
// asked for, none with the memory free.
BOOST_FIXTURE_TEST_CASE(LastingTasksWithoutAPlaceAskForMoreVms, ShardFixture)
{
    addRunner("r1");
    addRunner("r2");
    auto large = job("j1", 2, 100);
    large.steps[0].isLongRunning = true;
    large.steps[0].maxPerRunner = 1;
    large.steps[0].each.memoryMb = 20'000;
    submit(large);
    step();
    for (const auto& start : std::vector(starts))
        accept(start);
    auto second = large;
    second.id = JobId("j2");
    second.steps[0].each.memoryMb = 15'000;
    submit(second);
    step();
    BOOST_TEST(starts.empty());
    BOOST_TEST(shard.demandOf(pool, now, wall()).minVms >= 4U);
}

// Found on mvinje grown scale-1: lasting tasks that left a VM before its maintenance went to one that was
// still to be maintained, had to leave that too, and the wave ended late.
BOOST_FIXTURE_TEST_CASE(LastingTasksPreferVmsThatNeedNoMaintenance, ShardFixture)
{
    addRunner("r1");
    addRunner("r2", 8'000);
    addRunner("r3");
    shard.setMaintenanceDue({ RunnerId("r1"), RunnerId("r3") });
    auto longRunning = job("j1", 2, 1'000);
    longRunning.steps[0].isLongRunning = true;
    submit(longRunning);
    step();
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    for (const auto& start : starts)
        BOOST_TEST(start.runner.id.value() == "r2");
}

BOOST_FIXTURE_TEST_CASE(ALookWaitsForTheNextEnd, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1, 1'000, 500ms));
    step();
    auto first = starts.at(0);
    accept(first);
    step();
    answerPoll("r1", { running(first.order) }, {});
    polls.clear();
    step(1ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST((polls[0].order.wait >= 500ms));
    BOOST_TEST((polls[0].order.wait < 700ms));
}

BOOST_FIXTURE_TEST_CASE(ASilentRunnersTasksWaitForTheEndOfItsLease, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step();
    accept(starts.at(0));
    addRunner("r2");
    auto since = now;
    failPollsUntilStart("r1", "r2");
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].runner.id.value() == "r2");
    BOOST_TEST((now >= since + ShardSettings {}.maxLease));
    BOOST_TEST((now < since + 3 * ShardSettings {}.maxLease));
}

BOOST_FIXTURE_TEST_CASE(AReborneRunnerHasLostItsRuns, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step();
    accept(starts.at(0));
    auto again = report("r1", 16'000, 2);
    list(again);
    step();
    BOOST_TEST(starts.empty());
    answerPoll("r1", {}, {}, OrderOutcome::Accepted, 2);
    store();
    step();
    BOOST_TEST(starts.size() == 1U);
}

// Found by a hunt on mvinje-caning: the failure was acknowledged and not counted, so that the task was
// started once more than its queue allows.
BOOST_FIXTURE_TEST_CASE(AFailureOfARunGivenUpForLostCounts, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step();
    auto first = starts.at(0).order;
    accept(starts[0]);
    addRunner("r2");
    failPollsUntilStart("r1", "r2");
    accept(starts.at(0));
    step(500ms);
    answerPoll("r1", {}, { ended("r1", first, EndKind::Failed) });
    BOOST_TEST(shard.find(JobId("j1"))->find(first.task)->failedAttempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AJobFailsAfterItsQueuesAttempts, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    for (int attempt = 0; attempt < 3; ++attempt) {
        starts.clear();
        for (auto until = now + 10s; starts.empty() && now < until;)
            step(200ms);
        auto order = starts.at(0).order;
        accept(starts[0]);
        step();
        polls.resize(std::min<std::size_t>(polls.size(), 1));
        answerPoll("r1", {}, { ended("r1", order, EndKind::Failed) });
        store();
    }
    BOOST_TEST(bool(shard.find(JobId("j1"))->state == JobState::Failed));
    step(1s);
    BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(ACancelledJobsRunsAreStopped, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 2));
    step();
    for (const auto& start : std::vector(starts))
        accept(start);
    shard.cancel(JobId("j1"), now);
    step(400ms);
    BOOST_TEST(stops.size() == 2U);
    BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(TheNextHolderAdoptsWhatRuns, ShardFixture)
{
    Shard next(ShardSettings {}, 2);
    next.restoreJob(job("j1", 2), {}, now);
    next.restoreRunner(report("r1"), now);
    next.observeRunners({ { RunnerId("r1"), report("r1") } }, now);
    auto orders = next.plan(now, wall(), true);
    BOOST_TEST(orders.starts.empty());
    BOOST_REQUIRE_EQUAL(orders.polls.size(), 1U);
    PollAnswer poll;
    poll.answer = { OrderOutcome::Accepted, RunnerTime(5'000), 1 };
    poll.running.push_back({ { JobId("j1"), 0, 0, 0 }, 7, "", 100 });
    next.onPoll(RunnerId("r1"), orders.polls[0].order, poll, now, now);
    orders = next.plan(now + 10ms, wall(), true);
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    BOOST_TEST(orders.starts[0].order.task.index == 1U);
    BOOST_TEST(orders.starts[0].order.attempt > 7U);
}

BOOST_FIXTURE_TEST_CASE(TheNextHolderWaitsForEveryRunnerOfTheLast, ShardFixture)
{
    Shard next(ShardSettings {}, 2);
    next.restoreJob(job("j1", 1), {}, now);
    next.restoreRunner(report("r1"), now);
    next.restoreRunner(report("r2"), now);
    next.observeRunners({ { RunnerId("r1"), report("r1") } }, now);
    auto orders = next.plan(now, wall(), true);
    PollAnswer poll;
    poll.answer = { OrderOutcome::Accepted, RunnerTime(5'000), 1 };
    next.onPoll(RunnerId("r1"), orders.polls.at(0).order, poll, now, now);
    BOOST_TEST(next.plan(now + 1s, wall(), true).starts.empty());
    // The list of VMs shows that the silent one's life is over.
    next.endUnlistedRunners({ RunnerId("r1") }, now + 1s, now + 1s);
    BOOST_TEST(next.plan(now + 1s, wall(), true).starts.size() == 1U);
}

// Found on kspf-sched-grown trouble-3: a new holder took VMs of runners that it had not heard for empty, and
// ended their lasting tasks.
BOOST_FIXTURE_TEST_CASE(ARunnerIsNotEmptyBeforeItHasAnswered, ShardFixture)
{
    list(report("r1"));
    BOOST_TEST(!shard.runners().at(RunnerId("r1")).isKnownEmpty());
    step();
    answerPoll("r1", {}, {});
    BOOST_TEST(shard.runners().at(RunnerId("r1")).isKnownEmpty());
    step(1s);
    shard.reserve(RunnerId("r1"), true);
    submit(job("j1", 1));
    step();
    BOOST_TEST(starts.empty());
}

// Found on kspf-sched-grown trouble-3: VMs were moved with ends that no row held yet, and the tasks ran
// again.
BOOST_FIXTURE_TEST_CASE(ARunnerIsNotEmptyBeforeItsEndsAreStored, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    step();
    auto order = starts.at(0).order;
    accept(starts[0]);
    step();
    answerPoll("r1", {}, { ended("r1", order, EndKind::Done) });
    BOOST_TEST(shard.runners().at(RunnerId("r1")).runs().empty());
    BOOST_TEST(!shard.runners().at(RunnerId("r1")).isKnownEmpty());
    store();
    BOOST_TEST(shard.runners().at(RunnerId("r1")).isKnownEmpty());
}

// Found on kspf-sched-grown: a pool sized by cores had too few VMs for a step that wants each task on its
// own.
BOOST_FIXTURE_TEST_CASE(DemandCountsTheVmsThatAStepIsSpreadOver, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 12, 100);
    longRunning.steps[0].isLongRunning = true;
    longRunning.steps[0].maxPerRunner = 2;
    submit(longRunning);
    BOOST_TEST(shard.demandOf(pool, now, wall()).minVms == 7U);
}

// Found on mvinje-caning-grown scale-1: tasks of a third of a VM's memory found no room in a pool sized by
// cores.
BOOST_FIXTURE_TEST_CASE(DemandCountsTheVmsThatLastingTasksFillByMemory, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 25, 100);
    longRunning.steps[0].isLongRunning = true;
    longRunning.steps[0].each.memoryMb = 10'300;
    submit(longRunning);
    BOOST_TEST(shard.demandOf(pool, now, wall()).minVms == 10U);
}

// Found on mvinje-caning scale-1: tasks on a runner that does not answer are away.
BOOST_FIXTURE_TEST_CASE(EvacuationSparesStepsThatMissTasksAlready, LongRunningPairFixture)
{
    answerPoll(first.runner.id.value(), { running(first.order) }, {});
    answerPoll(second.runner.id.value(), {}, {}, OrderOutcome::Unknown);
    shard.evacuate(first.runner.id, now);
    step(500ms);
    BOOST_TEST(stops.empty());
}

// Found on the small twin of the large trouble-2: with its link full the holder got no answer to the starts
// of a step, and called all of them off; the runners had carried them out, and the step lost all its tasks at
// once.
BOOST_FIXTURE_TEST_CASE(ALastingRunOfUnknownOutcomeIsLookedForBeforeItIsCalledOff, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 1, 100);
    longRunning.steps[0].isLongRunning = true;
    longRunning.steps[0].maxUnavailable = 1;
    submit(longRunning);
    step();
    auto first = starts.at(0);
    accept(first, OrderOutcome::Unknown);
    step();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    accept(starts.at(0), OrderOutcome::NotSent);
    step();
    BOOST_TEST(stops.empty());
    // The order was carried out, and its answer lost.
    answerPoll("r1", { running(first.order) }, {});
    step();
    answerPoll("r1", { running(first.order) }, {});
    step(500ms);
    BOOST_TEST(stops.empty());
    BOOST_TEST(starts.empty());
}

// It is not there, but may come to be: only a stop makes sure that it does not.
BOOST_FIXTURE_TEST_CASE(ALastingRunThatIsNotThereIsCalledOffAndPlacedAgain, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 1, 100);
    longRunning.steps[0].isLongRunning = true;
    submit(longRunning);
    step();
    accept(starts.at(0), OrderOutcome::Unknown);
    step();
    accept(starts.at(0), OrderOutcome::NotSent);
    for (int i = 0; i < 20 && stops.empty(); ++i) {
        step(100ms);
        answerPoll("r1", {}, {});
    }
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    shard.onStop(stops[0].runner.id, stops[0].order, { OrderOutcome::Accepted, {}, 0 }, now);
    for (int i = 0; i < 20 && starts.empty(); ++i) {
        step(100ms);
        answerPoll("r1", {}, {});
    }
    BOOST_TEST(starts.size() == 1U);
}

// Found on the small twin of the large trouble-1: with its link full the holder ended a task while another
// one of the step had been away for seconds, by answers as old as that.
BOOST_FIXTURE_TEST_CASE(EvacuationDoesNotRestOnOldAnswers, LongRunningPairFixture)
{
    answerPoll(first.runner.id.value(), { running(first.order) }, {});
    answerPoll(second.runner.id.value(), { running(second.order) }, {});
    // Looks are under way and nothing comes back, no failure either.
    step(4s);
    shard.evacuate(first.runner.id, now);
    step();
    BOOST_TEST(stops.empty());
    // With fresh answers of the others the task may go.
    answerPoll(second.runner.id.value(), { running(second.order) }, {});
    step();
    shard.evacuate(first.runner.id, now);
    step();
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    BOOST_TEST(bool(stops[0].order.task == first.order.task));
}

BOOST_AUTO_TEST_SUITE_END()
