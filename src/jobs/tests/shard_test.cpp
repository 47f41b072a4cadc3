#include "jobs/tests/shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

// Two long-running tasks on a runner each, of which one at a time may be made unavailable, and a free runner.
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
        advance();
        first = starts.at(0);
        second = starts.at(1);
        answerStart(first);
        answerStart(second);
        advance();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(shard)

BOOST_FIXTURE_TEST_CASE(JobRunsToCompletion, ShardFixture)
{
    addRunner("r1");
    BOOST_TEST(bool(submit(job("j1", 2)) == SubmitVerdict::New));
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    auto orders = starts;
    for (const auto& start : orders)
        answerStart(start);
    advance();
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
    advance();
    BOOST_TEST(starts.empty());
    store();
    advance();
    BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NothingStartsWhileTheShardLeaseIsUnsure, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance(10ms, false);
    BOOST_TEST(starts.empty());
}

// Guards against tasks that run twice while a zone is cut off: the holder there kept their leases alive, and
// the next one, which could not reach the runners, had waited for these leases to lapse.
BOOST_FIXTURE_TEST_CASE(NoLeaseIsExtendedWhileTheShardLeaseIsUnsure, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    auto order = starts.at(0).order;
    answerStart(starts[0]);
    auto granted = order.leaseUntil;
    for (auto until = now + 2 * ShardSettings {}.maxLease; now < until;) {
        advance(100ms, false);
        for (const auto& poll : polls)
            BOOST_TEST((poll.order.leaseUntil <= granted));
        answerPoll("r1", { running(order) }, {});
    }
    advance(100ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST((polls[0].order.leaseUntil > granted));
}

BOOST_FIXTURE_TEST_CASE(RunnerCapacityIsNeverExceeded, ShardFixture)
{
    addRunner("r1", 4'000);
    submit(job("j1", 3, 1'500));
    advance();
    BOOST_TEST(starts.size() == 2U);
}

// A runner's capacity may shrink while start orders for it wait to be sent or to be sent again.
BOOST_FIXTURE_TEST_CASE(NoStartIsSentToARunnerThatHasShrunk, ShardFixture)
{
    addRunner("r1", 2'000);
    submit(job("j1", 2));
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    auto answered = starts[0];
    auto waiting = starts[1];
    answerStart(answered, OrderOutcome::Unknown);
    list(report("r1", 1'000));
    BOOST_TEST(!shard.prepareStart(waiting.runner.id, waiting.order));
    advance();
    BOOST_TEST(starts.empty());
    shard.onStart(waiting.runner.id, waiting.order, { OrderOutcome::Withheld, {}, 0 }, now);
    advance(1s);
    // What is being stopped still counts.
    BOOST_TEST(starts.empty());
    list(report("r1", 4'000));
    advance(10ms);
    BOOST_TEST(starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnEndIsAcknowledgedOnlyOnceItIsStored, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    auto order = starts.at(0).order;
    answerStart(starts[0]);
    advance();
    answerPoll("r1", {}, { ended("r1", order, EndKind::Done) });
    advance(500ms);
    BOOST_TEST(shard.runners().at(RunnerId("r1")).lastAppliedEnd == 1U);
    BOOST_TEST(shard.runners().at(RunnerId("r1")).lastStoredEnd == 0U);
    for (const auto& poll : polls)
        BOOST_TEST(poll.order.ackEndsUpTo == 0U);
    polls.clear();
    store();
    advance(500ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.ackEndsUpTo == 1U);
}

// An unanswered start may still be carried out; the task must not start elsewhere before this is settled.
BOOST_FIXTURE_TEST_CASE(UnansweredStartIsSettledByItsStop, ShardFixture)
{
    addRunner("r1");
    addRunner("r2");
    submit(job("j1", 1));
    advance();
    auto first = starts.at(0);
    auto where = first.runner.id.value();
    loseStartAnswersUntilStop(first);
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    answerPoll(where, {}, {});
    auto stop = stops[0];
    shard.onStop(stop.runner.id, stop.order, { OrderOutcome::Accepted, {}, 0 }, now);
    advance(400ms);
    BOOST_TEST(starts.empty());
    answerPoll(where, {}, {});
    advance(200ms);
    BOOST_TEST(starts.size() == 1U);
    BOOST_TEST(starts.at(0).order.attempt > first.order.attempt);
}

// Guards against a second run of a task whose end is not in the list yet: with the store away ends are not
// acknowledged, and a runner lists only so many.
BOOST_FIXTURE_TEST_CASE(ARunIsNotGivenUpWhileEndsAreTruncated, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    auto order = starts.at(0).order;
    answerStart(starts[0]);
    addRunner("r2");
    for (int round = 0; round < 10; ++round) {
        advance(500ms);
        BOOST_TEST(starts.empty());
        for (const auto& stop : stops)
            shard.onStop(stop.runner.id, stop.order, { OrderOutcome::Accepted, {}, 0 }, now);
        auto poll = findPoll(RunnerId("r1"));
        BOOST_REQUIRE(poll != polls.end());
        auto sent = poll->order;
        polls.erase(poll);
        PollAnswer answer { { OrderOutcome::Accepted, {}, 1 }, {}, {} };
        answer.areEndsTruncated = true;
        shard.onPoll(RunnerId("r1"), sent, answer, now - 1ms, now);
    }
    advance(500ms);
    answerPoll("r1", {}, { ended("r1", order, EndKind::Done) });
    store();
    BOOST_TEST(bool(shard.find(JobId("j1"))->storedState == JobState::Completed));
}

// A job of a dozen tasks often meets a lost answer; without a resend it lost two seconds.
BOOST_FIXTURE_TEST_CASE(UnansweredStartIsResent, ShardFixture)
{
    addRunner("r1");
    addRunner("r2");
    submit(job("j1", 1));
    advance();
    auto first = starts.at(0);
    BOOST_TEST((first.order.timeout < 1s));
    answerStart(first, OrderOutcome::Unknown);
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].runner.id.value() == first.runner.id.value());
    BOOST_TEST(starts[0].order.attempt == first.order.attempt);
    BOOST_TEST((starts[0].order.timeout > first.order.timeout));
    answerStart(starts[0]);
    advance();
    BOOST_TEST(starts.empty());
    BOOST_TEST(stops.empty());
}

// The first order may still be carried out, whatever the answer to the second is.
BOOST_FIXTURE_TEST_CASE(ARefusedResendDoesNotFreeTheTask, ShardFixture)
{
    for (auto refusal : { OrderOutcome::NoRoom, OrderOutcome::Unhealthy, OrderOutcome::NotSent,
             OrderOutcome::TooLate, OrderOutcome::Withheld }) {
        ShardFixture each;
        each.addRunner("r1");
        each.addRunner("r2");
        each.submit(job("j1", 1));
        each.advance();
        auto first = each.starts.at(0);
        each.answerStart(first, OrderOutcome::Unknown);
        each.advance();
        BOOST_REQUIRE_EQUAL(each.starts.size(), 1U);
        each.answerStart(each.starts[0], refusal);
        each.advance();
        BOOST_TEST(each.starts.empty());
        BOOST_TEST(each.stops.size() == 1U);
        each.advance(1s);
        BOOST_TEST(each.starts.empty());
    }
}

BOOST_FIXTURE_TEST_CASE(ACancelledJobsStartIsNotSentAgain, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    auto first = starts.at(0);
    shard.cancel(JobId("j1"), now);
    answerStart(first, OrderOutcome::Unknown);
    advance();
    BOOST_TEST(starts.empty());
    BOOST_TEST(stops.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(OneFailedPollDoesNotMakeARunnerUnreachable, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    advance();
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    advance();
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.wait.count() == 0);
    submit(job("j2", 1));
    advance();
    BOOST_TEST(starts.size() == 1U);
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    submit(job("j3", 1));
    advance();
    BOOST_TEST(starts.empty());
}

// Guards against long-running tasks waiting (18 s were seen) in a pool that has as many VMs as the summed
// demand, but none with enough free memory.
BOOST_FIXTURE_TEST_CASE(UnplacedLongRunningTasksRaiseDemand, ShardFixture)
{
    addRunner("r1");
    addRunner("r2");
    auto large = job("j1", 2, 100);
    large.steps[0].isLongRunning = true;
    large.steps[0].maxPerRunner = 1;
    large.steps[0].perTask.memoryMb = 20'000;
    submit(large);
    advance();
    for (const auto& start : std::vector(starts))
        answerStart(start);
    auto second = large;
    second.id = JobId("j2");
    second.steps[0].perTask.memoryMb = 15'000;
    submit(second);
    advance();
    BOOST_TEST(starts.empty());
    BOOST_TEST(shard.demandOf(pool, now, wall()).minVms >= 4U);
}

// Tasks evacuated to a VM that is itself due for maintenance have to move twice, and the wave ends late.
BOOST_FIXTURE_TEST_CASE(LongRunningTasksPreferVmsThatNeedNoMaintenance, ShardFixture)
{
    addRunner("r1");
    addRunner("r2", 8'000);
    addRunner("r3");
    shard.setMaintenanceDue({ RunnerId("r1"), RunnerId("r3") });
    auto longRunning = job("j1", 2, 1'000);
    longRunning.steps[0].isLongRunning = true;
    submit(longRunning);
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    for (const auto& start : starts)
        BOOST_TEST(start.runner.id.value() == "r2");
}

BOOST_FIXTURE_TEST_CASE(PollWaitsForTheNextExpectedEnd, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1, 1'000, 500ms));
    advance();
    auto first = starts.at(0);
    answerStart(first);
    advance();
    answerPoll("r1", { running(first.order) }, {});
    polls.clear();
    advance(1ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST((polls[0].order.wait >= 500ms));
    BOOST_TEST((polls[0].order.wait < 700ms));
}

BOOST_FIXTURE_TEST_CASE(TasksOfAnUnreachableRunnerWaitForItsLeaseToLapse, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    addRunner("r2");
    auto since = now;
    failPollsUntilStart("r1", "r2");
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].runner.id.value() == "r2");
    BOOST_TEST((now >= since + ShardSettings {}.maxLease));
    BOOST_TEST((now < since + 3 * ShardSettings {}.maxLease));
}

// Guards against a second run of tasks whose runner is alive and is in no list: its row expired, as it was
// cut off from the store, and the list of VMs does not name it.
BOOST_FIXTURE_TEST_CASE(ARunnerThatAnswersIsNotEndedByLists, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    auto order = starts.at(0).order;
    answerStart(starts[0]);
    addRunner("r2");
    advance();
    answerPoll("r1", { running(order) }, {});
    listed.erase(RunnerId("r1"));
    shard.observeRunners(listed, now);
    advance(2s);
    answerPoll("r1", { running(order) }, {});
    shard.endUnlistedRunners({}, now, now);
    advance();
    BOOST_TEST(starts.empty());
    answerPoll("r1", {}, {}, OrderOutcome::NotSent);
    shard.endUnlistedRunners({}, now, now);
    advance();
    BOOST_TEST(starts.size() == 1U);
}

// If such a failure is acknowledged but not counted, the task is started once more than its queue allows.
BOOST_FIXTURE_TEST_CASE(FailureOfARunGivenUpAsLostCounts, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    auto first = starts.at(0).order;
    answerStart(starts[0]);
    addRunner("r2");
    failPollsUntilStart("r1", "r2");
    answerStart(starts.at(0));
    advance(500ms);
    answerPoll("r1", {}, { ended("r1", first, EndKind::Failed) });
    BOOST_TEST(shard.find(JobId("j1"))->find(first.task)->failedAttempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(JobFailsAfterMaxFailures, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    for (int attempt = 0; attempt < 3; ++attempt) {
        starts.clear();
        for (auto until = now + 10s; starts.empty() && now < until;)
            advance(200ms);
        auto order = starts.at(0).order;
        answerStart(starts[0]);
        advance();
        polls.resize(std::min<std::size_t>(polls.size(), 1));
        answerPoll("r1", {}, { ended("r1", order, EndKind::Failed) });
        store();
    }
    BOOST_TEST(bool(shard.find(JobId("j1"))->state == JobState::Failed));
    advance(1s);
    BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(ACancelledJobsRunsAreStopped, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 2));
    advance();
    for (const auto& start : std::vector(starts))
        answerStart(start);
    shard.cancel(JobId("j1"), now);
    advance(400ms);
    BOOST_TEST(stops.size() == 2U);
    BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(NextHolderAdoptsRunningTasks, ShardFixture)
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

BOOST_FIXTURE_TEST_CASE(NextHolderWaitsForEveryRunnerOfTheLastHolder, ShardFixture)
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
    // The VM list shows that the unreachable runner's incarnation is over.
    next.endUnlistedRunners({ RunnerId("r1") }, now + 1s, now + 1s);
    BOOST_TEST(next.plan(now + 1s, wall(), true).starts.size() == 1U);
}

// A new holder must not take a runner that has not answered yet for empty: it would move the VM and end its
// long-running tasks.
BOOST_FIXTURE_TEST_CASE(ARunnerIsNotEmptyBeforeItHasAnswered, ShardFixture)
{
    list(report("r1"));
    BOOST_TEST(!shard.runners().at(RunnerId("r1")).isKnownEmpty());
    advance();
    answerPoll("r1", {}, {});
    BOOST_TEST(shard.runners().at(RunnerId("r1")).isKnownEmpty());
    advance(1s);
    shard.setCordons({ { RunnerId("r1"), Cordon::OrderPending } });
    submit(job("j1", 1));
    advance();
    BOOST_TEST(starts.empty());
}

// Moving a VM before the ends of its runs are stored makes these tasks run again.
BOOST_FIXTURE_TEST_CASE(ARunnerIsNotEmptyBeforeItsEndsAreStored, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    auto order = starts.at(0).order;
    answerStart(starts[0]);
    advance();
    answerPoll("r1", {}, { ended("r1", order, EndKind::Done) });
    BOOST_TEST(shard.runners().at(RunnerId("r1")).runs().empty());
    BOOST_TEST(!shard.runners().at(RunnerId("r1")).isKnownEmpty());
    store();
    BOOST_TEST(shard.runners().at(RunnerId("r1")).isKnownEmpty());
}

// A pool sized by cores has too few VMs for a step with a limit of tasks per runner.
BOOST_FIXTURE_TEST_CASE(DemandCountsVmsForMaxPerRunner, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 12, 100);
    longRunning.steps[0].isLongRunning = true;
    longRunning.steps[0].maxPerRunner = 2;
    submit(longRunning);
    BOOST_TEST(shard.demandOf(pool, now, wall()).minVms == 7U);
}

// A pool sized by cores has too few VMs for tasks that need a third of a VM's memory each.
BOOST_FIXTURE_TEST_CASE(DemandCountsVmsFilledByMemory, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 25, 100);
    longRunning.steps[0].isLongRunning = true;
    longRunning.steps[0].perTask.memoryMb = 10'300;
    submit(longRunning);
    BOOST_TEST(shard.demandOf(pool, now, wall()).minVms == 10U);
}

// Tasks on an unreachable runner count as unavailable.
BOOST_FIXTURE_TEST_CASE(EvacuationSkipsStepsWithUnavailableTasks, LongRunningPairFixture)
{
    answerPoll(first.runner.id.value(), { running(first.order) }, {});
    answerPoll(second.runner.id.value(), {}, {}, OrderOutcome::Unknown);
    shard.evacuate(first.runner.id, now);
    advance(500ms);
    BOOST_TEST(stops.empty());
}

// A start that was sent twice may run although its resend was refused. If its job is cancelled meanwhile, the
// long-running task has to be stopped without waiting for a poll that shows it.
BOOST_FIXTURE_TEST_CASE(ARefusedResendDoesNotStopTheStopOfACancelledJob, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 1);
    longRunning.steps[0].isLongRunning = true;
    submit(longRunning);
    advance();
    auto start = starts.at(0);
    answerStart(start, OrderOutcome::Unknown);
    advance();
    BOOST_REQUIRE(!starts.empty());
    shard.cancel(JobId("j1"), now);
    answerStart(start, OrderOutcome::NoRoom);
    advance();
    BOOST_TEST(stops.size() == 1U);
}

// Occurrences that are not due yet are not part of the load that a new job competes with.
BOOST_FIXTURE_TEST_CASE(LaterOccurrencesAreNotCountedAsLoad, ShardFixture)
{
    addRunner("r1");
    auto scheduled = job("j1", 2);
    scheduled.occurrences = 5;
    scheduled.firstStart = std::chrono::duration_cast<Millis>(now.time_since_epoch()) + 60s;
    scheduled.interval = 60s;
    submit(scheduled);
    auto load = shard.loadOf(job("new", 1), 0, now, wall());
    BOOST_TEST(load.blocked == 0);
    BOOST_TEST(load.waiting == 0);
}

// An occurrence's objective counts from the time when it is due, so it does not go behind all other work.
BOOST_FIXTURE_TEST_CASE(ADueOccurrenceIsNotLate, ShardFixture)
{
    addRunner("r1", 1'000);
    auto scheduled = job("scheduled", 1);
    scheduled.occurrences = 2;
    scheduled.firstStart = std::chrono::duration_cast<Millis>(now.time_since_epoch()) + 60s;
    scheduled.interval = 60s;
    submit(scheduled);
    now += 59s;
    advance();
    now += 1s;
    submit(job("later", 1));
    answerPoll("r1", {}, {});
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].order.task.job.value() == "scheduled");
}

// A gang that waits for capacity is planned many times a second.
BOOST_FIXTURE_TEST_CASE(AGangThatDoesNotFitUsesNoAttempt, ShardFixture)
{
    addRunner("r1", 1'000);
    auto gang = job("gang", 2);
    gang.steps[0].isGang = true;
    submit(gang);
    for (int plans = 0; plans < 20; ++plans)
        advance();
    BOOST_TEST(starts.empty());
    addRunner("r2", 1'000);
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    BOOST_TEST(starts[0].order.attempt == 1U);
}

// VMs without long-running tasks can be moved to another pool or switched off.
BOOST_FIXTURE_TEST_CASE(LongRunningTasksShareVms, ShardFixture)
{
    for (const auto* runner : { "r1", "r2", "r3", "r4" })
        addRunner(runner);
    std::set<RunnerId> used;
    for (const auto* id : { "j1", "j2" }) {
        auto longRunning = job(id, 2);
        longRunning.steps[0].isLongRunning = true;
        longRunning.steps[0].maxPerRunner = 1;
        submit(longRunning);
        advance();
        BOOST_TEST(starts.size() == 2U);
        for (const auto& start : starts)
            used.insert(start.runner.id);
    }
    BOOST_TEST(used.size() == 2U);
}

// The next holder does not place recovered tasks before all runners of the last one are settled, and one of
// them may be silent for seconds. Until then new jobs use the free VMs.
BOOST_FIXTURE_TEST_CASE(RecoveredTasksDoNotKeepNewJobsFromFreeVms, ShardFixture)
{
    addRunner("r1");
    shard.restoreRunner(report("silent"), now);
    for (int i = 0; i < 50; ++i)
        shard.restoreJob(job("recovered" + std::to_string(i), 20), {}, now);
    BOOST_TEST(bool(submit(job("new", 1)) == SubmitVerdict::New));
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].order.task.job.value() == "new");
}

// Guards against stopping long-running tasks whose start orders were carried out but whose answers were lost
// on a saturated link; the step would lose all tasks at once.
BOOST_FIXTURE_TEST_CASE(UnconfirmedLongRunningRunIsPolledBeforeItIsStopped, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 1, 100);
    longRunning.steps[0].isLongRunning = true;
    longRunning.steps[0].maxUnavailable = 1;
    submit(longRunning);
    advance();
    auto first = starts.at(0);
    answerStart(first, OrderOutcome::Unknown);
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    answerStart(starts.at(0), OrderOutcome::NotSent);
    advance();
    BOOST_TEST(stops.empty());
    // The order was carried out, and its answer lost.
    answerPoll("r1", { running(first.order) }, {});
    advance();
    answerPoll("r1", { running(first.order) }, {});
    advance(500ms);
    BOOST_TEST(stops.empty());
    BOOST_TEST(starts.empty());
}

// The run is not there but may still begin; only a stop rules that out.
BOOST_FIXTURE_TEST_CASE(MissingLongRunningRunIsStoppedAndPlacedAgain, ShardFixture)
{
    addRunner("r1");
    auto longRunning = job("j1", 1, 100);
    longRunning.steps[0].isLongRunning = true;
    submit(longRunning);
    advance();
    answerStart(starts.at(0), OrderOutcome::Unknown);
    advance();
    answerStart(starts.at(0), OrderOutcome::NotSent);
    for (int i = 0; i < 20 && stops.empty(); ++i) {
        advance(100ms);
        answerPoll("r1", {}, {});
    }
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    shard.onStop(stops[0].runner.id, stops[0].order, { OrderOutcome::Accepted, {}, 0 }, now);
    for (int i = 0; i < 20 && starts.empty(); ++i) {
        advance(100ms);
        answerPoll("r1", {}, {});
    }
    BOOST_TEST(starts.size() == 1U);
}

// Guards against evacuating a task on the basis of stale status, as on a saturated link, while another task
// of the step has been unavailable for seconds.
BOOST_FIXTURE_TEST_CASE(EvacuationNeedsRecentStatus, LongRunningPairFixture)
{
    answerPoll(first.runner.id.value(), { running(first.order) }, {});
    answerPoll(second.runner.id.value(), { running(second.order) }, {});
    // Polls are in flight; they neither fail nor get an answer.
    advance(4s);
    shard.evacuate(first.runner.id, now);
    advance();
    BOOST_TEST(stops.empty());
    // With fresh status of the other task the evacuation may proceed.
    answerPoll(second.runner.id.value(), { running(second.order) }, {});
    advance();
    shard.evacuate(first.runner.id, now);
    advance();
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    BOOST_TEST(bool(stops[0].order.task == first.order.task));
}

// Guards against a gang that is restarted for ever: its members were started from different checkpoints, with
// which they cannot work together.
BOOST_AUTO_TEST_CASE(AGangResumesFromOneCheckpoint)
{
    for (auto isLostFirst : { false, true }) {
        ShardFixture f;
        f.addRunner("r1", 1'000);
        f.addRunner("r2", 1'000);
        auto gang = ShardFixture::job("gang", 2);
        gang.steps[0].isGang = true;
        gang.steps[0].hasCheckpoints = true;
        f.submit(gang);
        f.advance();
        BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
        auto first = f.starts;
        for (const auto& start : first)
            f.answerStart(start);
        f.advance();
        for (const auto& start : first) {
            auto listed = ShardFixture::running(start.order);
            listed.checkpoint = "old";
            f.answerPoll(start.runner.id.value(), { listed }, {});
        }
        f.advance();
        auto loseFirst = [&] {
            f.shard.endRunner(first[0].runner.id, true, f.now, "test");
            f.listed.erase(first[0].runner.id);
        };
        if (isLostFirst)
            loseFirst();
        auto end = f.ended(first[1].runner.id.value(), first[1].order, EndKind::GangBroken);
        end.checkpoint = "new";
        f.answerPoll(first[1].runner.id.value(), {}, { end });
        if (!isLostFirst)
            loseFirst();
        f.addRunner("r3", 1'000);
        f.advance(1s);
        BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
        for (const auto& start : f.starts)
            BOOST_TEST(start.order.checkpoint == "new");
    }
}

// Guards against a gang that waits for ever in a pool that is too small for it: its members need their
// processors at the same time, and not one after another within the time to work off a backlog.
BOOST_FIXTURE_TEST_CASE(AWaitingGangDemandsRoomForAllItsMembers, ShardFixture)
{
    addRunner("a");
    addRunner("b");
    auto gang = job("gang", 64);
    gang.steps[0].isGang = true;
    gang.policy.latencyAllowance = 60s;
    BOOST_REQUIRE(bool(submit(gang) == SubmitVerdict::New));
    for (auto until = now + 20s; now < until;) {
        advance(100ms);
        BOOST_REQUIRE(starts.empty());
        answerPoll("a", {}, {});
        answerPoll("b", {}, {});
    }
    auto demand = shard.demandOf(pool, now, wall());
    BOOST_TEST(std::max(double(demand.minVms), demand.cpu / 16'000) >= 4);
}

BOOST_AUTO_TEST_SUITE_END()
