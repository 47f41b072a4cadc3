#include "node/hand_over.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(hand_over)

BOOST_AUTO_TEST_CASE(AProcessWithOneShardKeepsIt)
{
    HandOverPlan plan;
    TimePoint now { 1'000s };
    BOOST_TEST(!plan.isDue(0, {}, now));
    BOOST_TEST(!plan.isDue(1, now - 60s, now));
}

// Found on further-grown scale-2: two shards stayed with one process for the rest of the day, which answered
// late from the next turn on, while two processes that had held them were back and idle.
BOOST_AUTO_TEST_CASE(ASecondShardIsGivenUpOnceItHasSettled)
{
    HandOverPlan plan;
    TimePoint taken { 1'000s };
    BOOST_TEST(!plan.isDue(2, taken, taken + 1s));
    BOOST_TEST(plan.isDue(2, taken, taken + 2s));
}

BOOST_AUTO_TEST_CASE(WhenNobodyTakesAShardItIsOfferedLessAndLessOften)
{
    HandOverPlan plan;
    TimePoint now { 1'000s };
    auto newest = now;
    std::vector<Duration> pauses;
    for (int i = 0; i < 6; ++i) {
        auto last = now;
        while (!plan.isDue(2, newest, now))
            now += 100ms;
        pauses.push_back(now - last);
        plan.onBegun(now);
        // Nobody wanted it: it is taken back.
        newest = now + 4s;
    }
    for (std::size_t i = 1; i < pauses.size(); ++i)
        BOOST_TEST((pauses[i] >= pauses[i - 1]));
    BOOST_TEST((pauses.back() >= 120s));
    // Once one was taken, the next hand-over is not put off by those.
    now += 200s;
    BOOST_TEST(!plan.isDue(1, newest, now));
    plan.onBegun(now);
    BOOST_TEST(plan.isDue(2, now, now + 10s));
}

BOOST_AUTO_TEST_SUITE_END()
