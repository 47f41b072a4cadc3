#include "jobs/runner_row.h"
#include "jobs/tests/shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

// A task that a runner accepted, and that no poll has listed yet.
struct AcceptedTask : ShardFixture {
    StartOrder order;

    AcceptedTask()
    {
        addRunner("r1");
        submit(job("j1", 1));
        advance();
        order = starts.at(0).order;
        answerStart(starts[0]);
    }
};

} // namespace

// A runner starts again under the id that it had.
BOOST_AUTO_TEST_SUITE(restart)

BOOST_FIXTURE_TEST_CASE(NewIncarnationOfARunnerHasLostItsRuns, AcceptedTask)
{
    list(report("r1", 16'000, 2));
    polls.clear();
    advance();
    BOOST_TEST(starts.empty());
    answerPoll("r1", {}, {}, OrderOutcome::Accepted, 2);
    store();
    advance();
    BOOST_TEST(starts.size() == 1U);
}

// Guards against a second run of a task that a runner accepted after it was started again under its id,
// before its row said so.
BOOST_FIXTURE_TEST_CASE(ARunOfTheNewIncarnationIsNotStartedElsewhere, AcceptedTask)
{
    addRunner("r2");
    advance();
    answerPoll("r1", { running(order) }, {}, OrderOutcome::Accepted, 2);
    advance(10ms);
    BOOST_TEST(starts.empty());
    list(report("r1", 16'000, 2));
    advance(500ms);
    BOOST_TEST(starts.empty());
    answerPoll("r1", {}, { ended("r1", order, EndKind::Done) }, OrderOutcome::Accepted, 2);
    store();
    BOOST_TEST(bool(shard.find(JobId("j1"))->storedState == JobState::Completed));
}

// Guards against the same where the row is seen first.
BOOST_FIXTURE_TEST_CASE(ARunThatTheNewIncarnationMayHaveWaitsForItsPoll, AcceptedTask)
{
    addRunner("r2");
    list(report("r1", 16'000, 2));
    advance();
    BOOST_TEST(starts.empty());
    answerPoll("r1", { running(order) }, {}, OrderOutcome::Accepted, 2);
    advance();
    BOOST_TEST(starts.empty());
    BOOST_TEST(bool(shard.runners().at(RunnerId("r1")).find(order.task)->phase == RunPhase::Running));
}

// Guards against a delay of tasks that the earlier incarnation certainly had.
BOOST_FIXTURE_TEST_CASE(ARunThatWasListedIsLostWithItsIncarnation, AcceptedTask)
{
    addRunner("r2");
    advance();
    answerPoll("r1", { running(order) }, {});
    list(report("r1", 16'000, 2));
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].runner.id.value() == "r2");
}

// Guards against a start order without an answer that the new incarnation carries out late, while the task
// runs elsewhere.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsFencedInTheNewIncarnation, ShardFixture)
{
    addRunner("r1");
    addRunner("r2");
    submit(job("j1", 1));
    advance();
    auto unanswered = starts.at(0);
    const auto& first = unanswered.runner.id;
    auto early = *findPoll(first);
    answerStart(unanswered, OrderOutcome::Unknown);
    list(report(first.value(), 16'000, 2));
    polls.clear();
    advance();
    BOOST_TEST(starts.empty());
    // Refuses no order that was sent before the restart was known.
    BOOST_TEST(early.order.fence <= unanswered.order.fence);
    shard.onPoll(first, early.order, { { OrderOutcome::Accepted, {}, 2 }, {}, {} }, now - 1ms, now);
    advance();
    BOOST_TEST(starts.empty());
    BOOST_TEST(findPoll(first)->order.fence > unanswered.order.fence);
    answerPoll(first.value(), {}, {}, OrderOutcome::Accepted, 2);
    advance();
    BOOST_TEST(starts.size() == 1U);
}

// Guards against a stop that the earlier incarnation confirmed, while the new one may still begin the run.
BOOST_FIXTURE_TEST_CASE(AStopIsOrderedAgainInTheNewIncarnation, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    loseStartAnswersUntilStop(starts.at(0));
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    auto stop = stops[0];
    shard.onStop(stop.runner.id, stop.order, { OrderOutcome::Accepted, {}, 0 }, now);
    addRunner("r2");
    advance();
    auto early = *findPoll(RunnerId("r1"));
    list(report("r1", 16'000, 2));
    polls.clear();
    advance();
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    BOOST_TEST(stops[0].order.fence > stop.order.fence);
    // An answer of the earlier incarnation.
    shard.onStop(stop.runner.id, stop.order, { OrderOutcome::Accepted, {}, 0 }, now);
    advance();
    shard.onPoll(RunnerId("r1"), early.order, { { OrderOutcome::Accepted, {}, 2 }, {}, {} }, now - 1ms, now);
    advance();
    BOOST_TEST(starts.empty());
    answerPoll("r1", {}, {}, OrderOutcome::Accepted, 2);
    advance();
    BOOST_TEST(starts.size() == 1U);
}

// Guards against a task that an earlier holder's order starts in the new incarnation, while this one places
// it.
BOOST_FIXTURE_TEST_CASE(RecoveredTasksWaitForARunnerThatWasRestarted, ShardFixture)
{
    shard.restoreJob(job("j1", 1), {}, now);
    shard.restoreRunner(report("r1"), now);
    addRunner("r2");
    list(report("r1", 16'000, 2));
    advance();
    BOOST_TEST(starts.empty());
    StartOrder order { { JobId("j1"), 0, 0, 0 }, 1 };
    answerPoll("r1", { running(order) }, {}, OrderOutcome::Accepted, 2);
    advance();
    BOOST_TEST(starts.empty());
}

// Guards against a run that is given up by an answer which the earlier incarnation sent.
BOOST_FIXTURE_TEST_CASE(ALateAnswerOfTheEarlierIncarnationChangesNothing, AcceptedTask)
{
    advance();
    auto late = *findPoll(RunnerId("r1"));
    restart("r1", 2);
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    order = starts[0].order;
    answerStart(starts[0]);
    addRunner("r2");
    advance();
    answerPoll("r1", { running(order) }, {}, OrderOutcome::Accepted, 2);
    for (auto outcome : { OrderOutcome::Accepted, OrderOutcome::OtherIncarnation, OrderOutcome::Unknown }) {
        shard.onPoll(RunnerId("r1"), late.order, { { outcome, {}, 1 }, {}, {} }, now - 1s, now);
        advance();
        BOOST_TEST(starts.empty());
        BOOST_TEST(shard.runners().at(RunnerId("r1")).failedPolls == 0U);
    }
}

// Guards against an end that the new incarnation forgets since the earlier one had more ends.
BOOST_FIXTURE_TEST_CASE(EndsAreAcknowledgedOnlyOnce, AcceptedTask)
{
    advance();
    answerPoll("r1", {}, { ended("r1", order, EndKind::Done) });
    store();
    advance(500ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.ackEndsUpTo == 1U);
    // The answer to the acknowledgement is lost.
    answerPoll("r1", {}, {}, OrderOutcome::Unknown);
    advance(500ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.ackEndsUpTo == 0U);
    answerPoll("r1", {}, {});
    advance(500ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.ackEndsUpTo == 1U);
    answerPoll("r1", {}, {});
    submit(job("j2", 1));
    advance(500ms);
    answerStart(starts.at(0));
    advance(500ms);
    BOOST_REQUIRE_EQUAL(polls.size(), 1U);
    BOOST_TEST(polls[0].order.ackEndsUpTo == 0U);
}

// Guards against a write for each runner whenever the shard changes its holder.
BOOST_FIXTURE_TEST_CASE(ARowIsWrittenAgainOnlyForANewIncarnation, ShardFixture)
{
    shard.restoreRunner(report("r1"), now);
    list(report("r1"));
    advance();
    answerPoll("r1", {}, {});
    BOOST_TEST(shard.takeChanges(now).empty());
    list(report("r1", 16'000, 2));
    polls.clear();
    advance();
    answerPoll("r1", {}, {}, OrderOutcome::Accepted, 2);
    auto changes = shard.takeChanges(now);
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST(changes[0].value == encodeRunnerRow(report("r1", 16'000, 2)));
}

// Guards against a runner that the next holder does not know: the record of an earlier incarnation was stored
// after that one had ended, and counted as the record of the next one, which was then never written.
BOOST_FIXTURE_TEST_CASE(ALateRecordDoesNotCountForALaterIncarnation, ShardFixture)
{
    addRunner("r1");
    list(report("r1", 16'000, 2));
    polls.clear();
    advance();
    answerPoll("r1", {}, {}, OrderOutcome::Accepted, 2);
    auto inFlight = shard.takeChanges(now);
    BOOST_REQUIRE_EQUAL(inFlight.size(), 1U);
    shard.endRunner(RunnerId("r1"), true, now, "moved");
    auto removal = shard.takeChanges(now);
    BOOST_REQUIRE_EQUAL(removal.size(), 1U);
    BOOST_REQUIRE(bool(removal[0].kind == ShardChange::Kind::RunnerRemoval));
    list(report("r1", 16'000, 3));
    shard.onStored(inFlight[0], now);
    shard.onStored(removal[0], now);
    polls.clear();
    advance();
    answerPoll("r1", {}, {}, OrderOutcome::Accepted, 3);
    auto changes = shard.takeChanges(now);
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST(changes[0].value == encodeRunnerRow(report("r1", 16'000, 3)));
}

// Guards against recovered jobs that wait for as long as one runner of their pool keeps starting again.
BOOST_FIXTURE_TEST_CASE(ARunnerThatKeepsRestartingDoesNotHoldUpRecoveredJobs, ShardFixture)
{
    shard.restoreJob(job("j1", 1), {}, now);
    shard.restoreRunner(report("mute"), now);
    list(report("mute"));
    addRunner("good");
    auto begin = now;
    auto hasStarted = false;
    for (std::int64_t incarnation = 2; !hasStarted && now < begin + 60s; ++incarnation) {
        list(report("mute", 16'000, incarnation));
        std::erase_if(polls, [](const auto& poll) { return poll.runner.id == RunnerId("mute"); });
        for (auto until = now + 5s; !hasStarted && now < until;) {
            advance(100ms);
            hasStarted = !starts.empty();
            answerPoll("mute", {}, {}, OrderOutcome::Unknown, 0);
        }
    }
    BOOST_TEST(hasStarted);
}

BOOST_AUTO_TEST_SUITE_END()
