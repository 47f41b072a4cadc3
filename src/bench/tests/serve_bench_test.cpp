#include "bench/serve_bench.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::bench;

BOOST_AUTO_TEST_SUITE(ServeBench)

BOOST_AUTO_TEST_CASE(TheSameCallsGiveTheSameDecisions)
{
    ServeCase overload { "5x", 5, 1, 0 };
    auto first = compareServe(overload);
    auto second = compareServe(overload);
    BOOST_TEST(first.present.signature == second.present.signature);
    BOOST_TEST(first.naive.signature == second.naive.signature);
    // The model shows doubled runs where they happen, and the dispatcher makes none.
    BOOST_TEST(first.naive.doubled > 0U);
    BOOST_TEST(first.present.doubled == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
