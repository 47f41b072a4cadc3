#include "shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

using Kind = ShardChange::Kind;

const JobId id { "j" };

// A cancelled job of two tasks whose time is over.
struct RemovalFixture : ShardFixture {
    std::vector<StartOrder> runs;

    RemovalFixture()
    {
        addRunner("a");
        submit(job(id.value(), 2));
        advance();
        for (const auto& start : starts) {
            answerStart(start);
            runs.push_back(start.order);
        }
        shard.cancel(id, now);
        store();
        now += ShardSettings {}.keepFinished + 1ms;
    }

    std::vector<ShardChange> changesOf(Kind kind)
    {
        auto changes = shard.takeChanges(now);
        std::erase_if(changes, [&](const auto& change) { return change.kind != kind; });
        return changes;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_removal)

// Guards against a job that is shown as unknown, or accepted anew, while its rows are still stored.
BOOST_AUTO_TEST_CASE(AJobIsKnownUntilItsRemovalIsStored)
{
    RemovalFixture f;
    auto removals = f.changesOf(Kind::JobRemoval);
    BOOST_REQUIRE_EQUAL(removals.size(), 1U);
    BOOST_REQUIRE(f.shard.find(id));
    BOOST_TEST(f.shard.find(id)->isEndStored());
    BOOST_TEST(f.changesOf(Kind::JobRemoval).empty());
    f.shard.onStored(removals.front(), f.now);
    BOOST_TEST(!f.shard.find(id));
}

// Guards against progress that is written after the removal of its job, and is left for ever.
BOOST_AUTO_TEST_CASE(ALateEndWritesNothingBesideTheRemoval)
{
    RemovalFixture f;
    BOOST_REQUIRE_EQUAL(f.runs.size(), 2U);
    BOOST_REQUIRE_EQUAL(f.changesOf(Kind::JobRemoval).size(), 1U);
    f.advance();
    f.answerPoll("a", {}, { f.ended("a", f.runs[0], EndKind::Done) });
    BOOST_TEST(f.changesOf(Kind::Progress).empty());
}

// Guards against a job that is submitted again beside its removal, and is lost or runs once more.
BOOST_AUTO_TEST_CASE(AJobSubmittedBesideItsRemovalIsStoredAgain)
{
    RemovalFixture f;
    auto removals = f.changesOf(Kind::JobRemoval);
    BOOST_REQUIRE_EQUAL(removals.size(), 1U);
    BOOST_TEST(bool(
        f.shard.submit(ShardFixture::job(id.value(), 2), f.now, f.wall()).verdict == SubmitVerdict::Known));
    // The caller is not answered before it is stored again.
    BOOST_TEST(!f.shard.find(id)->isStored);
    auto jobs = f.changesOf(Kind::Job);
    BOOST_REQUIRE_EQUAL(jobs.size(), 1U);
    auto progress = decodeProgress(jobs.front().progress);
    BOOST_REQUIRE(progress);
    BOOST_TEST(bool(progress->state == JobState::Cancelled));
    f.shard.onStored(removals.front(), f.now);
    BOOST_REQUIRE(f.shard.find(id));
    // It is not removed before it is stored, or the caller would wait for ever.
    f.now += ShardSettings {}.keepFinished + 1ms;
    BOOST_TEST(f.changesOf(Kind::JobRemoval).empty());
    f.shard.onStored(jobs.front(), f.now);
    BOOST_TEST(f.shard.find(id)->isStored);
    BOOST_TEST(f.changesOf(Kind::JobRemoval).size() == 1U);
}

// Guards against a job that is unknown just after its caller was told that it is accepted.
BOOST_AUTO_TEST_CASE(ARepeatedSubmissionKeepsAFinishedJob)
{
    RemovalFixture f;
    f.now -= 10ms;
    std::ignore = f.shard.submit(ShardFixture::job(id.value(), 2), f.now, f.wall());
    f.now += ShardSettings {}.keepFinished;
    BOOST_TEST(f.changesOf(Kind::JobRemoval).empty());
    f.now += 1ms;
    BOOST_TEST(f.changesOf(Kind::JobRemoval).size() == 1U);
}

// Guards against rows that are left for ever, as the store refused what was to take their place.
BOOST_AUTO_TEST_CASE(ARefusedJobLeavesNoRow)
{
    ShardFixture f;
    f.addRunner("a");
    std::ignore = f.shard.submit(ShardFixture::job(id.value(), 2), f.now, f.wall());
    std::ignore = f.shard.takeChanges(f.now);
    f.shard.onJobRowRefused(id, f.now);
    BOOST_TEST(!f.shard.find(id));
    auto changes = f.shard.takeChanges(f.now);
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST(bool(changes.front().kind == Kind::JobRemoval));
    BOOST_TEST(changes.front().key == id.value());
}

// Guards against a job whose rows are left for ever, as the store refused their removal once.
BOOST_AUTO_TEST_CASE(ARefusedRemovalIsRepeated)
{
    RemovalFixture f;
    BOOST_REQUIRE_EQUAL(f.changesOf(Kind::JobRemoval).size(), 1U);
    f.shard.onJobRowRefused(id, f.now);
    BOOST_REQUIRE(f.shard.find(id));
    f.now += ShardSettings {}.keepFinished + 1ms;
    BOOST_TEST(f.changesOf(Kind::JobRemoval).size() == 1U);
}

// Guards against a bulk of removals that other rows wait for, and against removals that are forgotten over
// it.
BOOST_AUTO_TEST_CASE(FewRemovalsWaitAtATime)
{
    ShardFixture f;
    constexpr std::size_t jobCount = 100;
    for (std::size_t i = 0; i < jobCount; ++i)
        f.shard.restoreJob(ShardFixture::job(std::to_string(i), 2), { JobState::Completed, 0, 0, {} }, f.now);
    f.now += ShardSettings {}.keepFinished + 1ms;
    // Two rows each, in a transaction of 49.
    constexpr std::size_t most = 24;
    for (std::size_t left = jobCount; left > 0;) {
        auto removals = f.shard.takeChanges(f.now);
        BOOST_REQUIRE_EQUAL(removals.size(), std::min(left, most));
        BOOST_TEST(f.shard.takeChanges(f.now).empty());
        for (const auto& removal : removals)
            f.shard.onStored(removal, f.now);
        left -= removals.size();
    }
    BOOST_TEST(f.shard.jobTable().all().empty());
}

BOOST_AUTO_TEST_SUITE_END()
