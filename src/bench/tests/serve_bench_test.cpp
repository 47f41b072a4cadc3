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

// The product's target for overload: at five times the capacity, at least 95% of it is useful.
BOOST_AUTO_TEST_CASE(OverloadDoesNotCollapse)
{
    for (const auto& which :
        { ServeCase { "sound", 5, 0, 0 }, ServeCase { "failing", 5, 1, 0 }, ServeCase { "slow", 5, 0, 1 } }) {
        auto [naive, fixed, present] = compareServe(which);
        BOOST_TEST_CONTEXT(which.name)
        {
            constexpr double target = 0.95;
            BOOST_TEST(present.useful >= target);
            // The plain version misses it, so that the check can fail.
            BOOST_TEST(naive.useful < target);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
