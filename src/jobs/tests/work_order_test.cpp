#include "jobs/tests/shard_fixture.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

Job jobOfTeam(
    const std::string& id, const std::string& team, std::uint32_t tasks = 1, Millis estimate = 500ms)
{
    auto job = ShardFixture::job(id, tasks, 1'000, estimate);
    job.team = TeamId(team);
    return job;
}

// One core, and two teams; `none` is entitled to nothing.
struct TeamsFixture : ShardFixture {
    TeamsFixture()
    {
        addRunner("r1", 1'000);
        shard.setTeams({ { TeamId("a"), {}, 5, {} }, { TeamId("none"), {}, 0, {} } }, 1);
    }
    std::string nextStart()
    {
        advance();
        BOOST_REQUIRE(starts.size() == 1U);
        return starts.front().order.task.job.value();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(work_order)

// The order and the work ahead at admission must stay as they are where no team is configured, also for jobs
// that an earlier configuration has marked.
BOOST_AUTO_TEST_CASE(WithoutTeamsNothingChanges)
{
    BOOST_TEST(rc::check("order without teams", [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        TimePoint now { 1'000s };
        JobTable table;
        auto draw = [&](const char* id) -> JobEntry& {
            auto job = jobOfTeam(id, "a", 1 + random() % 3, Millis(random() % 5'000));
            job.isBeyondShare = random() % 2 == 0;
            job.policy.priority = std::int32_t(random() % 3);
            job.steps.front().isLongRunning = random() % 4 == 0;
            return table.add(job, now - Millis(random() % 9'000));
        };
        auto& a = draw("a");
        auto& b = draw("b");
        auto before = [&](const JobEntry& entry) {
            const auto& step = entry.stepOccurrences.front();
            auto isLongRunning = entry.job.steps.front().isLongRunning;
            auto isLate = !isLongRunning && now + entry.remainingCriticalPath(step) > entry.deadline;
            return std::tuple(!isLongRunning, isLate, entry.job.policy.priority, entry.deadline);
        };
        auto rank = [&](const JobEntry& entry) {
            return rankOf(entry, entry.stepOccurrences.front(), false, now, WallTime {});
        };
        RC_ASSERT((rank(a) < rank(b)) == (before(a) < before(b)));
        RC_ASSERT(isAhead(a, b.job, 0, false) == (a.job.policy.priority <= b.job.policy.priority));
    }));
}

// The excess was accepted first and has the earlier deadline. Its mark must survive a change of the holder.
BOOST_FIXTURE_TEST_CASE(ExcessWaitsBehindSharesAlsoAtTheNextHolder, TeamsFixture)
{
    submit(jobOfTeam("excess", "none"));
    advance(100ms, false);
    submit(jobOfTeam("within", "a"));
    BOOST_TEST(nextStart() == "within");

    TeamsFixture next;
    for (const auto* id : { "excess", "within" })
        next.shard.restoreJob(*decodeJob(encodeJob(shard.find(JobId(id))->job)), {}, next.now);
    BOOST_TEST(next.nextStart() == "within");
}

// Waiting excess fills the pool for longer than any job is useful.
BOOST_FIXTURE_TEST_CASE(ExcessIsRefusedFirst, TeamsFixture)
{
    for (int i = 0; i < 100; ++i)
        submit(jobOfTeam("excess" + std::to_string(i), "none"));
    BOOST_TEST((submit(jobOfTeam("more", "none")) == SubmitVerdict::Rejected));
    BOOST_TEST((submit(jobOfTeam("within", "a")) == SubmitVerdict::New));
    // A schedule would be marked for all its occurrences.
    auto scheduled = jobOfTeam("scheduled", "none");
    scheduled.firstStart = 1h;
    submit(scheduled);
    BOOST_TEST(!shard.find(scheduled.id)->job.isBeyondShare);
    // Without another job in the pool anyone may use it.
    TeamsFixture idle;
    BOOST_TEST((idle.submit(jobOfTeam("excess", "none")) == SubmitVerdict::New));
    BOOST_TEST(idle.nextStart() == "excess");
}

// Guards against large jobs that delay small ones of another queue, and against a queue whose largest jobs
// always wait.
BOOST_FIXTURE_TEST_CASE(QueuesOfSmallJobsGoFirstButNotTheSmallJobsOfAQueue, TeamsFixture)
{
    auto jobOfQueue = [](const std::string& id, const std::string& queue, std::uint32_t tasks) {
        auto job = jobOfTeam(id, "a", tasks);
        job.queue = queue;
        return job;
    };
    submit(jobOfQueue("large", "large", 3));
    submit(jobOfQueue("small", "small", 1));
    BOOST_TEST(nextStart() == "small");

    TeamsFixture oneQueue;
    oneQueue.submit(jobOfQueue("usual", "queue", 2));
    oneQueue.submit(jobOfQueue("largest", "queue", 4));
    oneQueue.advance(100ms, false);
    oneQueue.submit(jobOfQueue("smallest", "queue", 1));
    std::vector<JobEntry*> entries;
    for (const auto* id : { "largest", "smallest" })
        entries.push_back(oneQueue.shard.find(JobId(id)));
    auto rank = [&](const JobEntry& entry) {
        return rankOf(entry, entry.stepOccurrences.front(), true, oneQueue.now, WallTime {});
    };
    // The largest has waited longer, so it has less time to spare.
    BOOST_TEST((rank(*entries[0]) < rank(*entries[1])));
}

// Guards against work that is late anyway and makes more work late.
BOOST_FIXTURE_TEST_CASE(LateWorkWaitsBehindWorkThatCanEndInTime, TeamsFixture)
{
    submit(jobOfTeam("late", "a"));
    advance(1'500ms, false);
    submit(jobOfTeam("new", "a", 3));
    BOOST_TEST(nextStart() == "new");
}

// A steady flow within the shares overtakes the excess; once it is long overdue, it must get its turn.
BOOST_FIXTURE_TEST_CASE(AnOverdueJobIsNotOvertakenForEver, TeamsFixture)
{
    submit(jobOfTeam("excess", "none"));
    auto startedAfter = 0s;
    for (auto end = now + 60s; now < end && startedAfter == 0s;) {
        auto id = std::to_string(now.time_since_epoch().count());
        submit(jobOfTeam(id, "a"));
        if (nextStart() == "excess")
            startedAfter = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()) - 1'000s;
        auto start = starts.front();
        answerStart(start);
        advance(500ms, false);
        answerPoll("r1", {}, { ended("r1", start.order, EndKind::Done) });
        store();
    }
    BOOST_TEST(startedAfter.count() > 30);
}

BOOST_AUTO_TEST_SUITE_END()
