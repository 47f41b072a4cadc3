#include "jobs/stalled_jobs.h"

#include "shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

// Two checks see the job stalled, and the second one is `stallTime` after the first.
StallReason reasonAfterStall(ShardFixture& f)
{
    f.advance(stallTime);
    f.advance(stallTime);
    BOOST_REQUIRE(f.shard.stalledJobs().oldest.has_value());
    BOOST_TEST(f.shard.stalledJobs().count == 1U);
    return f.shard.stalledJobs().oldest->reason;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stalled_jobs)

BOOST_AUTO_TEST_CASE(TellsWhatATaskWaitsFor)
{
    {
        ShardFixture f;
        f.addRunner("a");
        f.submit(ShardFixture::job("j", 1));
        f.shard.setCordons({ { RunnerId("a"), Cordon::OrderPending } });
        BOOST_TEST(bool(reasonAfterStall(f) == StallReason::Runner));
        auto* entry = f.shard.find(JobId("j"));
        BOOST_TEST(
            describeRunners(*entry, { JobId("j"), 0, 0, 0 }, f.shard.runners(), f.now) == "reserved:1");
    }
    {
        ShardFixture f;
        f.addRunner("a");
        f.submit(ShardFixture::job("j", 1));
        f.advance(stallTime, false);
        f.advance(stallTime, false);
        BOOST_REQUIRE(f.shard.stalledJobs().oldest.has_value());
        BOOST_TEST(bool(f.shard.stalledJobs().oldest->reason == StallReason::LeaseUnsure));
    }
    {
        ShardFixture f;
        f.addRunner("a");
        f.submit(ShardFixture::job("j", 1));
        f.advance();
        BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
        BOOST_TEST(bool(reasonAfterStall(f) == StallReason::Starting));
    }
    {
        ShardFixture f;
        f.shard.restoreJob(ShardFixture::job("j", 1), {}, f.now);
        f.shard.restoreRunner(ShardFixture::report("gone"), f.now);
        f.addRunner("a");
        BOOST_TEST(bool(reasonAfterStall(f) == StallReason::EarlierRuns));
    }
}

BOOST_AUTO_TEST_CASE(AJobOfWhichATaskRunsIsNotStalled)
{
    ShardFixture f;
    f.addRunner("a", 1'000);
    f.submit(ShardFixture::job("j", 2));
    f.advance();
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    f.answerStart(f.starts.front());
    f.advance(stallTime);
    f.advance(stallTime);
    BOOST_TEST(f.shard.stalledJobs().count == 0U);
}

// Each task of a long-running step is owed by itself.
BOOST_AUTO_TEST_CASE(EachTaskOfALongRunningStepCounts)
{
    ShardFixture f;
    f.addRunner("a", 1'000);
    auto job = ShardFixture::job("j", 2);
    job.steps[0].isLongRunning = true;
    f.submit(job);
    f.advance();
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    f.answerStart(f.starts.front());
    BOOST_TEST(bool(reasonAfterStall(f) == StallReason::Runner));
}

// Guards against a task that waits for the end of a wave or a move while the only runners with room for it
// are to be emptied.
BOOST_AUTO_TEST_CASE(AStalledJobUsesARunnerThatIsBeingEmptied)
{
    for (auto cordon : { Cordon::Emptying, Cordon::OrderPending }) {
        ShardFixture f;
        f.addRunner("a");
        f.submit(ShardFixture::job("j", 1));
        f.shard.setCordons({ { RunnerId("a"), cordon } });
        f.advance();
        BOOST_TEST(f.starts.empty());
        std::size_t starts = 0;
        for (auto until = f.now + 5s; f.now < until && starts == 0;) {
            f.advance(100ms);
            starts += f.starts.size();
        }
        BOOST_TEST(starts == (cordon == Cordon::Emptying ? 1U : 0U));
    }
}

// Guards against a run that is to tell which task crashes runners, and that another task joins: the next
// crash then has two suspects.
BOOST_AUTO_TEST_CASE(AStalledJobKeepsAwayFromAnIsolatedRun)
{
    ShardFixture f;
    f.addRunner("a");
    JobProgress progress;
    progress.steps.push_back({ 0, 0, { false }, { {} }, { { { 1, true }, { 2, true } } } });
    f.shard.restoreJob(ShardFixture::job("crashed", 1), progress, f.now);
    f.submit(ShardFixture::job("other", 1));
    f.shard.setCordons({ { RunnerId("a"), Cordon::Emptying } });
    std::vector<OutgoingStart> started;
    for (auto until = f.now + 6s; f.now < until;) {
        f.advance(100ms);
        started.insert(started.end(), f.starts.begin(), f.starts.end());
    }
    BOOST_REQUIRE(!started.empty());
    BOOST_TEST(started.front().order.task.job == JobId("crashed"));
    BOOST_TEST(started.size() == 1U);
}

// One task at work ends the stall; more of them keep the VM from its move or maintenance, and under overload,
// when all jobs are stalled, a wave would end no sooner than the overload.
BOOST_AUTO_TEST_CASE(AStalledJobUsesNoMoreOfAnEmptyingVmThanItNeeds)
{
    ShardFixture f;
    f.addRunner("a");
    f.submit(ShardFixture::job("j", 16));
    f.shard.setCordons({ { RunnerId("a"), Cordon::Emptying } });
    std::size_t starts = 0;
    for (auto until = f.now + 5s; f.now < until;) {
        f.advance(100ms);
        starts += f.starts.size();
        for (const auto& start : f.starts)
            f.answerStart(start);
    }
    BOOST_TEST(starts == 1U);
}

// The platform allows a wait of 3 s beside room.
BOOST_AUTO_TEST_CASE(AStalledJobStartsOnAnEmptyingVmWithinThreeSeconds)
{
    Duration longest {};
    for (auto submittedAt = 0ms; submittedAt < 1s; submittedAt += 100ms) {
        ShardFixture f;
        f.addRunner("a");
        f.advance(submittedAt);
        BOOST_REQUIRE(bool(f.submit(ShardFixture::job("j", 1)) == SubmitVerdict::New));
        f.shard.setCordons({ { RunnerId("a"), Cordon::Emptying } });
        auto since = f.now;
        for (f.starts.clear(); f.starts.empty() && f.now < since + 10s;)
            f.advance(50ms);
        longest = std::max(longest, f.now - since);
    }
    BOOST_TEST(std::chrono::duration_cast<Millis>(longest).count() <= 3'000);
}

BOOST_AUTO_TEST_SUITE_END()
