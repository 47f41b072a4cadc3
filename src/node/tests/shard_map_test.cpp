#include "node/shard_map.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;

BOOST_AUTO_TEST_SUITE(shard_map)

// Found on kspf grown scale-1: three of four pools had their lasting jobs in one of three shards, which kept
// 43 of its 117 VMs for all else.
BOOST_AUTO_TEST_CASE(LastingJobsOfPoolsSpreadOverTheShards)
{
    ShardMap map { 3 };
    std::vector<PoolId> pools { PoolId("vomi20b"), PoolId("mije92d"), PoolId("wugo48a"), PoolId("nogo68c") };
    std::vector<int> poolsOfShard(3);
    for (const auto& pool : pools)
        ++poolsOfShard[map.shardOfLasting(pool, pools)];
    for (auto count : poolsOfShard)
        BOOST_TEST(count <= 2);
    auto reversed = std::vector(pools.rbegin(), pools.rend());
    for (const auto& pool : pools)
        BOOST_TEST(map.shardOfLasting(pool, pools) == map.shardOfLasting(pool, reversed));
}

BOOST_AUTO_TEST_SUITE_END()
