#include "jobs/adaptive_timeout.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(adaptive_timeout)

BOOST_AUTO_TEST_CASE(FollowsTheUsualTimeOfAnAnswer)
{
    AdaptiveTimeout timeout;
    auto before = timeout.timeout(0);
    for (int i = 0; i < 50; ++i)
        timeout.observe(6ms);
    BOOST_TEST((timeout.timeout(0) < before));
    for (int i = 0; i < 50; ++i)
        timeout.observe(400ms);
    BOOST_TEST((timeout.timeout(0) >= 400ms));
}

BOOST_AUTO_TEST_CASE(DoublesWithEachTryUpToABound)
{
    AdaptiveTimeout timeout;
    for (int i = 0; i < 50; ++i)
        timeout.observe(6ms);
    auto first = timeout.timeout(0);
    BOOST_TEST((timeout.timeout(1) == first * 2));
    BOOST_TEST((timeout.timeout(1'000) <= 1'500ms));
    BOOST_TEST((timeout.timeout(1'000) >= timeout.timeout(2)));
}

BOOST_AUTO_TEST_SUITE_END()
