#include "jobs/adaptive_timeout.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(answer_patience)

BOOST_AUTO_TEST_CASE(FollowsTheUsualTimeOfAnAnswer)
{
    AnswerPatience patience;
    auto before = patience.timeout(0);
    for (int i = 0; i < 50; ++i)
        patience.observe(6ms);
    BOOST_TEST((patience.timeout(0) < before));
    for (int i = 0; i < 50; ++i)
        patience.observe(400ms);
    BOOST_TEST((patience.timeout(0) >= 400ms));
}

BOOST_AUTO_TEST_CASE(DoublesWithEachTryUpToABound)
{
    AnswerPatience patience;
    for (int i = 0; i < 50; ++i)
        patience.observe(6ms);
    auto first = patience.timeout(0);
    BOOST_TEST((patience.timeout(1) == first * 2));
    BOOST_TEST((patience.timeout(1'000) <= 1'500ms));
    BOOST_TEST((patience.timeout(1'000) >= patience.timeout(2)));
}

BOOST_AUTO_TEST_SUITE_END()
