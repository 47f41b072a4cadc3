#include "jobs/adaptive_timeout.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(adaptive_timeout)

BOOST_AUTO_TEST_CASE(FollowsAnswerTimes)
{
    AdaptiveTimeout adaptive;
    auto before = adaptive.timeout(0);
    for (int i = 0; i < 50; ++i)
        adaptive.observe(6ms);
    BOOST_TEST((adaptive.timeout(0) < before));
    for (int i = 0; i < 50; ++i)
        adaptive.observe(400ms);
    BOOST_TEST((adaptive.timeout(0) >= 400ms));
}

BOOST_AUTO_TEST_CASE(DoublesWithEachAttemptUpToAMaximum)
{
    AdaptiveTimeout adaptive;
    for (int i = 0; i < 50; ++i)
        adaptive.observe(6ms);
    auto first = adaptive.timeout(0);
    BOOST_TEST((adaptive.timeout(1) == first * 2));
    BOOST_TEST((adaptive.timeout(1'000) <= 1'500ms));
    BOOST_TEST((adaptive.timeout(1'000) >= adaptive.timeout(2)));
}

BOOST_AUTO_TEST_SUITE_END()
