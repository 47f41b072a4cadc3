#include "crashing_pool.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

// The platform's limit: three starts after the third crash break it.
constexpr int maxDeadlyStarts = 5;

JobState stateOf(CrashingPool& pool, const std::string& job) { return pool.shard.find(JobId(job))->state; }

} // namespace

BOOST_AUTO_TEST_SUITE(crash)

// Guards against a task that is started again on runner after runner and crashes each.
BOOST_AUTO_TEST_CASE(ATaskThatCrashesRunnersIsGivenUp)
{
    CrashingPool pool(6);
    pool.deadly.insert(JobId("deadly"));
    for (int i = 0; i < 4; ++i)
        pool.submit(ShardFixture::job("before" + std::to_string(i), 6));
    BOOST_REQUIRE(bool(pool.submit(ShardFixture::job("deadly", 3)) == SubmitVerdict::New));
    pool.play(30s);
    BOOST_TEST(bool(stateOf(pool, "deadly") == JobState::Failed));
    BOOST_TEST(pool.crashes <= 3);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(bool(stateOf(pool, "before" + std::to_string(i)) == JobState::Completed));
}

// Guards against a count of crashes that is lost with the holder of the shard.
BOOST_AUTO_TEST_CASE(CrashesCountAcrossAChangeOfTheHolder)
{
    CrashingPool pool(6);
    pool.deadly.insert(JobId("deadly"));
    pool.submit(ShardFixture::job("deadly", 3));
    pool.submit(ShardFixture::job("innocent", 6));
    pool.handOverAt(pool.now + 3'500ms);
    pool.play(60s);
    BOOST_TEST(bool(stateOf(pool, "deadly") == JobState::Failed));
    BOOST_TEST(pool.crashes <= 3);
    BOOST_TEST(bool(stateOf(pool, "innocent") == JobState::Completed));
}

// Guards against crashes that are forgotten because the runner leaves the store's list before it is back.
BOOST_AUTO_TEST_CASE(CrashesOfRunnersThatAreAwayForLongCount)
{
    for (std::chrono::seconds downtime : { 1s, 6s, 9s, 15s, 40s }) {
        CrashingPool pool(10);
        pool.downtime = downtime;
        pool.deadly.insert(JobId("deadly"));
        pool.submit(ShardFixture::job("deadly", 3));
        pool.submit(ShardFixture::job("innocent", 6));
        pool.play(120s);
        BOOST_TEST_CONTEXT("downtime of " << downtime.count() << " s")
        {
            BOOST_TEST(bool(stateOf(pool, "deadly") == JobState::Failed));
            BOOST_TEST(pool.crashes <= maxDeadlyStarts);
            BOOST_TEST(bool(stateOf(pool, "innocent") == JobState::Completed));
        }
    }
}

// Guards against innocent jobs that are given up because they ran beside a task that crashes runners.
BOOST_AUTO_TEST_CASE(InnocentJobsOutliveATenthOfDeadlyOnes)
{
    auto holds = rc::check("deadly jobs fail within their starts, and all others complete", [] {
        CrashingPool pool(*rc::gen::inRange(2, 10));
        auto jobs = *rc::gen::inRange(5, 25);
        std::set<JobId> accepted;
        auto firstDeadly = *rc::gen::inRange(0, 10);
        for (int i = 0; i < jobs; ++i) {
            auto id = "job" + std::to_string(i);
            if (i % 10 == firstDeadly)
                pool.deadly.insert(JobId(id));
            auto submitted = ShardFixture::job(id, 1 + std::uint32_t(*rc::gen::inRange(0, 6)));
            // Jobs are accepted unless no runner is up.
            submitted.policy.latencyAllowance = 100s;
            if (pool.submit(submitted) == SubmitVerdict::New)
                accepted.insert(JobId(id));
            pool.play(std::chrono::milliseconds(*rc::gen::inRange(10, 300)));
        }
        pool.play(120s);
        for (const auto& id : accepted) {
            auto expected = pool.deadly.contains(id) ? JobState::Failed : JobState::Completed;
            RC_LOG() << id.value() << " is " << toString(stateOf(pool, id.value())) << '\n';
            RC_ASSERT(stateOf(pool, id.value()) == expected);
        }
        for (const auto& [task, count] : pool.deadlyStarts)
            RC_ASSERT(count <= maxDeadlyStarts);
    });
    BOOST_TEST(holds);
}

// Guards against starts without bound where holders change while crashed runners are away. A change of the
// holder may lose the count of one crash.
BOOST_AUTO_TEST_CASE(StartsAreBoundedAcrossChangesOfTheHolder)
{
    auto holds = rc::check("starts are bounded across changes of the holder", [] {
        CrashingPool pool(*rc::gen::inRange(6, 12));
        pool.downtime = std::chrono::milliseconds(*rc::gen::inRange(500, 15'000));
        for (auto handOvers = *rc::gen::inRange(0, 3); handOvers > 0; --handOvers)
            pool.handOverAt(pool.now + std::chrono::milliseconds(*rc::gen::inRange(10, 30'000)));
        pool.deadly.insert(JobId("deadly"));
        std::set<JobId> accepted;
        for (const auto* id : { "first", "deadly", "last" })
            if (pool.submit(ShardFixture::job(id, 4)) == SubmitVerdict::New)
                accepted.insert(JobId(id));
        pool.play(150s);
        for (const auto& id : accepted) {
            auto expected = pool.deadly.contains(id) ? JobState::Failed : JobState::Completed;
            RC_LOG() << id.value() << " is " << toString(stateOf(pool, id.value())) << '\n';
            RC_ASSERT(stateOf(pool, id.value()) == expected);
        }
        for (const auto& [task, count] : pool.deadlyStarts)
            RC_ASSERT(count <= maxDeadlyStarts);
    });
    BOOST_TEST(holds);
}

// Guards against jobs that are given up since their runners crash again and again for other causes: a third
// of them every few seconds.
BOOST_AUTO_TEST_CASE(InnocentJobsOutliveCrashesOfOtherCauses)
{
    auto holds = rc::check("no job is given up", [] {
        constexpr int runners = 8;
        // Small sizes would crash all runners in step with their restarts.
        auto pick = [](int low, int high) {
            return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
        };
        CrashingPool pool(runners);
        pool.downtime = std::chrono::milliseconds(pick(1'000, 5'000));
        pool.taskTime = std::chrono::milliseconds(pick(500, 6'000));
        auto lasting = ShardFixture::job("lasting", 4);
        lasting.steps[0].isLongRunning = true;
        lasting.steps[0].maxPerRunner = 1;
        pool.submit(lasting);
        std::set<JobId> accepted;
        for (int wave = 0; wave < 8; ++wave) {
            auto submitted = ShardFixture::job("job" + std::to_string(wave), 8);
            submitted.policy.latencyAllowance = 100s;
            if (pool.submit(submitted) == SubmitVerdict::New)
                accepted.insert(submitted.id);
            pool.play(std::chrono::milliseconds(pick(1'000, 5'000)));
            auto isSilent = pick(0, 2) == 0;
            for (int i = 0; i < runners; ++i)
                if (pick(0, 3) == 0)
                    pool.crash(RunnerId("r" + std::to_string(i)), isSilent);
        }
        pool.play(60s);
        RC_ASSERT(stateOf(pool, "lasting") == JobState::Running);
        for (const auto& id : accepted)
            RC_ASSERT(stateOf(pool, id.value()) == JobState::Completed);
    });
    BOOST_TEST(holds);
}

// Guards against suspects that wait for ever: every runner has a long-running task, and is never empty.
BOOST_AUTO_TEST_CASE(SuspectsStartBesideLongRunningTasks)
{
    CrashingPool pool(2);
    auto lasting = ShardFixture::job("lasting", 2);
    lasting.steps[0].isLongRunning = true;
    lasting.steps[0].maxPerRunner = 1;
    pool.submit(lasting);
    pool.play(10s);
    pool.deadly.insert(JobId("deadly"));
    for (int i = 0; i < 4; ++i)
        pool.submit(ShardFixture::job("innocent" + std::to_string(i), 4));
    BOOST_REQUIRE(bool(pool.submit(ShardFixture::job("deadly", 3)) == SubmitVerdict::New));
    pool.play(60s);
    BOOST_TEST(bool(stateOf(pool, "deadly") == JobState::Failed));
    BOOST_TEST(bool(stateOf(pool, "lasting") == JobState::Running));
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(bool(stateOf(pool, "innocent" + std::to_string(i)) == JobState::Completed));
}

// Guards against a lost runner that counts against tasks although it was only silent, or left as planned.
BOOST_FIXTURE_TEST_CASE(ASilentOrLeavingRunnerIsNoCrash, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    auto order = starts.at(0).order;
    shard.endRunner(RunnerId("r1"), true, now, "moved");
    BOOST_TEST(shard.find(JobId("j1"))->find(order.task)->crashes.empty());
    addRunner("r2");
    advance(1s);
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    answerStart(starts.at(0));
    for (auto until = now + 20s; now < until;) {
        advance(100ms);
        answerPoll("r2", {}, {}, OrderOutcome::Unknown);
    }
    BOOST_TEST(shard.find(JobId("j1"))->find(order.task)->crashes.empty());
}

// Guards against an innocent job that is given up since its start was sent to a runner that had just crashed.
BOOST_FIXTURE_TEST_CASE(AStartThatMayNotHaveBegunConvictsNoTaskEarly, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    breakOff("r1");
    addRunner("r2");
    restart("r1", 2);
    advance(1s);
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    auto order = starts.at(0);
    BOOST_TEST(shard.find(JobId("j1"))->find(order.order.task)->crashes.size() == 1U);
    answerStart(order, OrderOutcome::Unknown);
    breakOff(order.runner.id.value());
    answerStart(starts.at(0), OrderOutcome::Unknown);
    restart(order.runner.id.value(), 3);
    BOOST_TEST(shard.find(JobId("j1"))->find(order.order.task)->crashes.size() == 2U);
    BOOST_TEST(bool(shard.find(JobId("j1"))->state != JobState::Failed));
}

// Guards against runs that are accused since their runner fell silent: a crash breaks connections.
BOOST_FIXTURE_TEST_CASE(ASilentRunnerAccusesNoTask, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    auto task = starts.at(0).order.task;
    advance();
    answerPoll("r1", now - 3s, {}, {}, OrderOutcome::Unknown, 0);
    restart("r1", 2);
    BOOST_TEST(shard.find(JobId("j1"))->find(task)->crashes.empty());
}

// Guards against polls that were not sent, or were refused, and count as broken connections.
BOOST_FIXTURE_TEST_CASE(AWithheldOrRefusedPollIsNoBreakOff, ShardFixture)
{
    addRunner("r1");
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    auto task = starts.at(0).order.task;
    for (auto outcome : { OrderOutcome::Withheld, OrderOutcome::Unhealthy }) {
        advance(1s);
        answerPoll("r1", now, {}, {}, outcome, 0);
    }
    restart("r1", 2);
    BOOST_TEST(shard.find(JobId("j1"))->find(task)->crashes.empty());
}

// Guards against runs that are accused by a cause that also ended runners without any young run.
BOOST_FIXTURE_TEST_CASE(RunnersThatBreakOffTogetherWithoutSuspectsAccuseNoTask, ShardFixture)
{
    addRunner("r1", 1'000);
    submit(job("j1", 1));
    advance();
    answerStart(starts.at(0));
    advance(2s);
    addRunner("r2", 1'000);
    submit(job("j2", 1));
    advance();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    answerStart(starts.at(0));
    auto task = starts.at(0).order.task;
    breakOff("r1");
    breakOff("r2");
    restart("r1", 2, 1'000);
    restart("r2", 2, 1'000);
    BOOST_TEST(shard.find(JobId("j2"))->find(task)->crashes.empty());
}

// A run that is older than crashMemory when its runner crashes did not cause it: long-running tasks see many
// crashes.
BOOST_FIXTURE_TEST_CASE(ALongRunningTaskIsNotGivenUpForCrashesOfItsRunners, ShardFixture)
{
    addRunner("r1");
    auto lasting = job("j1", 1);
    lasting.steps[0].isLongRunning = true;
    submit(lasting);
    for (std::int64_t incarnation = 1; incarnation < 6; ++incarnation) {
        advance(10ms);
        BOOST_REQUIRE_EQUAL(starts.size(), 1U);
        answerStart(starts.at(0));
        auto order = starts.at(0).order;
        for (int i = 0; i < 10; ++i) {
            advance(1s);
            answerPoll("r1", { running(order) }, {}, OrderOutcome::Accepted, incarnation);
        }
        list(report("r1", 16'000, incarnation + 1));
        polls.clear();
        advance(10ms);
        answerPoll("r1", {}, {}, OrderOutcome::Accepted, incarnation + 1);
        store();
        BOOST_TEST(bool(shard.find(JobId("j1"))->state != JobState::Failed));
    }
}

// Guards against tasks that wait beside room for many times their size: each that is to be isolated takes a
// runner for as long as it may cause a crash.
BOOST_AUTO_TEST_CASE(IsolatedTasksDoNotWaitInAnIdlePool)
{
    constexpr int runners = 4;
    constexpr int jobs = 12;
    CrashingPool pool(runners);
    JobProgress progress;
    progress.steps.push_back({ 0, 0, { false }, { {} }, { { { 1, false }, { 2, false } } } });
    for (int i = 0; i < jobs; ++i) {
        auto job = ShardFixture::job("lasting" + std::to_string(i), 1);
        job.steps[0].isLongRunning = true;
        pool.shard.restoreJob(job, progress, pool.now);
    }
    auto running = [&] {
        std::size_t count = 0;
        for (const auto& [id, runner] : pool.shard.runners())
            count += runner.runs().size();
        return count;
    };
    auto begin = pool.now;
    while (running() < std::size_t(jobs) && pool.now < begin + 60s)
        pool.play(100ms);
    // Six seconds after its last run, a task that lasts is to run within three.
    BOOST_TEST(std::chrono::duration_cast<std::chrono::milliseconds>(pool.now - begin).count() <= 9'000);
}

// As above: the only usable runner has room for eight times its load, and always a young run.
BOOST_AUTO_TEST_CASE(AnIsolatedTaskDoesNotWaitForAPauseInTheLoad)
{
    CrashingPool pool(1);
    pool.taskTime = 500ms;
    JobProgress progress;
    progress.steps.push_back({ 0, 0, { false }, { {} }, { { { 1, false }, { 2, false } } } });
    pool.submit(ShardFixture::job("load", 1));
    pool.play(100ms);
    pool.shard.restoreJob(ShardFixture::job("crashed", 1), progress, pool.now);
    auto begin = pool.now;
    for (int i = 0; stateOf(pool, "crashed") != JobState::Completed && pool.now < begin + 60s; ++i) {
        BOOST_REQUIRE(
            bool(pool.submit(ShardFixture::job("load" + std::to_string(i), 1)) == SubmitVerdict::New));
        pool.play(250ms);
    }
    BOOST_TEST(std::chrono::duration_cast<std::chrono::milliseconds>(pool.now - begin).count() <= 10'000);
}

// As above, in a larger pool: the only runner with the task's label is in use, and others are set apart.
BOOST_AUTO_TEST_CASE(ARunnerIsSetApartOnWhichTheIsolatedTaskFits)
{
    CrashingPool pool(8);
    pool.taskTime = 500ms;
    auto report = ShardFixture::report("r7");
    report.labels.emplace_back("fast");
    pool.list(report);
    auto labelled = [](const std::string& id) {
        auto job = ShardFixture::job(id, 1);
        job.steps[0].requiredLabel = "fast";
        return job;
    };
    JobProgress progress;
    progress.steps.push_back({ 0, 0, { false }, { {} }, { { { 1, false }, { 2, false } } } });
    pool.submit(labelled("load"));
    pool.play(100ms);
    pool.shard.restoreJob(labelled("crashed"), progress, pool.now);
    auto begin = pool.now;
    for (int i = 0; stateOf(pool, "crashed") != JobState::Completed && pool.now < begin + 60s; ++i) {
        pool.submit(labelled("load" + std::to_string(i)));
        pool.play(250ms);
    }
    BOOST_TEST(std::chrono::duration_cast<std::chrono::milliseconds>(pool.now - begin).count() <= 10'000);
}

BOOST_AUTO_TEST_SUITE_END()
