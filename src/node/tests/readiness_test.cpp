#include "node/readiness.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;

BOOST_AUTO_TEST_SUITE(readiness)

// Found on further-grown scale-2: while one of three shards had no holder, every process told the balancer
// that it was not ready, and closed its callers' connections.
BOOST_AUTO_TEST_CASE(AProcessThatReachesMostShardsIsReady)
{
    BOOST_TEST(isReadyWith(0, 1));
    BOOST_TEST(isReadyWith(1, 3));
    BOOST_TEST(isReadyWith(4, 9));
}

BOOST_AUTO_TEST_CASE(AProcessThatIsCutOffIsNot)
{
    BOOST_TEST(!isReadyWith(1, 1));
    BOOST_TEST(!isReadyWith(2, 3));
    BOOST_TEST(!isReadyWith(9, 9));
    // Before it knows of any shard.
    BOOST_TEST(!isReadyWith(0, 0));
}

BOOST_AUTO_TEST_SUITE_END()
