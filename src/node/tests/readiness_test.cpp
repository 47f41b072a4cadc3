#include "node/readiness.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;

BOOST_AUTO_TEST_SUITE(readiness)

// Guards against all processes reporting not ready, and closing their callers' connections, while one of
// three shards has no holder.
BOOST_AUTO_TEST_CASE(IsReadyIfMostShardsAreReachable)
{
    BOOST_TEST(isReadyWith(0, 1));
    BOOST_TEST(isReadyWith(1, 3));
    BOOST_TEST(isReadyWith(4, 9));
}

BOOST_AUTO_TEST_CASE(IsNotReadyIfPartitioned)
{
    BOOST_TEST(!isReadyWith(1, 1));
    BOOST_TEST(!isReadyWith(2, 3));
    BOOST_TEST(!isReadyWith(9, 9));
    // Before the shard map is known.
    BOOST_TEST(!isReadyWith(0, 0));
}

BOOST_AUTO_TEST_SUITE_END()
