#include "node/pool_order.h"
#include "node/shard_map.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::node;

namespace {

std::vector<PoolId> poolsOf(const std::vector<std::string>& names) { return { names.begin(), names.end() }; }

} // namespace

BOOST_AUTO_TEST_SUITE(shard_map)

// Guards against uneven assignment: with the long-running jobs of three of four pools in one of three shards,
// that shard had 43 of its 117 VMs left for other work.
BOOST_AUTO_TEST_CASE(SpreadsLongRunningJobsOfPoolsOverShards)
{
    ShardMap map { 3 };
    auto pools = poolsOf({ "vomi20b", "mije92d", "wugo48a", "nogo68c" });
    auto order = PoolOrder().with(pools);
    std::vector<int> poolsOfShard(3);
    for (const auto& pool : pools)
        ++poolsOfShard[map.shardOfLongRunning(*order.indexOf(pool))];
    for (auto count : poolsOfShard)
        BOOST_TEST(count <= 2);
    // The order does not depend on the proposing process or on the order of pools in its configuration.
    auto reversed = PoolOrder().with({ pools.rbegin(), pools.rend() });
    BOOST_TEST(bool(order.pools() == reversed.pools()));
}

// A long-running job that is resubmitted after the pools changed must reach the same shard; another shard
// would not know the job and would run it a second time.
BOOST_AUTO_TEST_CASE(APoolKeepsItsShardWhenPoolsChange)
{
    ShardMap map { 3 };
    auto order = PoolOrder().with(poolsOf({ "c", "d" }));
    auto before = map.shardOfLongRunning(*order.indexOf(PoolId("c")));
    auto later = order.with(poolsOf({ "a", "b", "c" }));
    BOOST_TEST(map.shardOfLongRunning(*later.indexOf(PoolId("c"))) == before);
    BOOST_TEST(map.shardOfLongRunning(*later.with({}).indexOf(PoolId("c"))) == before);
    BOOST_TEST(!order.indexOf(PoolId("a")).has_value());
}

BOOST_AUTO_TEST_CASE(PoolIndexesNeverChange)
{
    BOOST_TEST(rc::check("a pool's index never changes, and survives encoding",
        [](const std::vector<std::vector<std::uint8_t>>& configurations) {
            PoolOrder order;
            for (const auto& configuration : configurations) {
                std::vector<PoolId> pools;
                for (auto each : configuration)
                    pools.emplace_back("pool-" + std::to_string(each % 16));
                auto next = decodePoolOrder(encodePoolOrder(order.with(pools)));
                RC_ASSERT(next.has_value());
                RC_ASSERT(next->hasAll(pools));
                for (const auto& pool : order.pools())
                    RC_ASSERT(next->indexOf(pool) == order.indexOf(pool));
                order = *next;
            }
        }));
}

BOOST_AUTO_TEST_CASE(RejectsUnreadableRows)
{
    for (const auto* text : { "", "nonsense", "[]", "{}", R"({"pools":1})", R"({"pools":["a",2]})" })
        BOOST_TEST(!decodePoolOrder(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
