#include "shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

using Kind = ShardChange::Kind;

const RunnerId id { "a" };

struct RunnerRowFixture : ShardFixture {
    // The runner is listed and answers; its row is to be written.
    std::vector<ShardChange> addUnstoredRunner()
    {
        list(report("a"));
        advance();
        answerPoll("a", {}, {});
        return shard.takeChanges(now);
    }

    // Nothing runs there and its lease is over, so it is forgotten.
    std::vector<ShardChange> forgetRunner()
    {
        listed.clear();
        shard.observeRunners(listed, now);
        now += 30s;
        shard.observeRunners(listed, now);
        BOOST_TEST(!shard.runners().contains(id));
        return shard.takeChanges(now);
    }

    void storeAll(const std::vector<ShardChange>& changes)
    {
        for (const auto& change : changes)
            shard.onStored(change, now);
    }
};

bool is(const std::vector<ShardChange>& changes, Kind kind)
{
    return changes.size() == 1 && changes.front().kind == kind && changes.front().key == id.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(runner_row)

// Guards against the row of a runner that is left for ever, as the runner went while the row was being
// written.
BOOST_AUTO_TEST_CASE(ARowThatIsBeingWrittenIsRemovedWithItsRunner)
{
    RunnerRowFixture f;
    BOOST_TEST(is(f.addUnstoredRunner(), Kind::Runner));
    BOOST_TEST(is(f.forgetRunner(), Kind::RunnerRemoval));
    RunnerRowFixture g;
    BOOST_TEST(is(g.addUnstoredRunner(), Kind::Runner));
    g.shard.endRunner(id, false, g.now, "test");
    BOOST_TEST(is(g.shard.takeChanges(g.now), Kind::RunnerRemoval));
}

// Guards against a write that does nothing, for a runner that never had a row.
BOOST_AUTO_TEST_CASE(ARunnerWithoutARowHasNoneToRemove)
{
    RunnerRowFixture f;
    f.list(ShardFixture::report("a"));
    f.shard.endRunner(id, false, f.now, "test");
    BOOST_TEST(f.shard.takeChanges(f.now).empty());
}

// Guards against tasks on a runner whose row is removed: it was forgotten and came back before that was
// stored. The next holder of the shard would not ask this runner, and start its tasks once more.
BOOST_AUTO_TEST_CASE(ARunnerThatIsBackBesideTheRemovalOfItsRowIsStoredAgain)
{
    for (auto answersBeforeRemoval : { true, false }) {
        RunnerRowFixture f;
        auto row = f.addUnstoredRunner();
        auto removal = f.forgetRunner();
        f.list(ShardFixture::report("a"));
        // The older changes are stored one after the other.
        f.storeAll(row);
        std::vector<ShardChange> again;
        auto answer = [&] {
            f.advance();
            f.answerPoll("a", {}, {});
            again = f.shard.takeChanges(f.now);
        };
        if (answersBeforeRemoval)
            answer();
        f.storeAll(removal);
        BOOST_TEST(!f.shard.runners().at(id).isStored);
        if (!answersBeforeRemoval)
            answer();
        else if (again.empty())
            again = f.shard.takeChanges(f.now);
        BOOST_TEST(is(again, Kind::Runner));
        f.storeAll(again);
        BOOST_TEST(f.shard.runners().at(id).isStored);
    }
}

BOOST_AUTO_TEST_SUITE_END()
