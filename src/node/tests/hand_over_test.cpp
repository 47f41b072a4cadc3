#include "node/hand_over.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

// The lag of a process whose 50 ms timer is `late` for `time`.
LoopLag lagAfter(Duration time, Duration late)
{
    LoopLag lag;
    TimePoint begin { 900s };
    for (auto due = begin; due < begin + time; due += 50ms)
        lag.observe(due, due + late);
    return lag;
}

} // namespace

BOOST_AUTO_TEST_SUITE(hand_over)

BOOST_AUTO_TEST_CASE(KeepsTheOnlyShard)
{
    TimePoint now { 1'000s };
    BOOST_TEST(!isHandOverDue({ 1, false, false, now - 60s, 0 }, now));
}

// Guards against a process that keeps two shards, and answers late under load, after the processes that held
// them before are back and idle.
BOOST_AUTO_TEST_CASE(HandsOverASecondShardAfterTheSettleTime)
{
    TimePoint taken { 1'000s };
    BOOST_TEST(!isHandOverDue({ 2, false, false, taken, 0 }, taken + 1s));
    BOOST_TEST(isHandOverDue({ 2, false, false, taken, 0 }, taken + 2s));
}

// After a store outage a process with an eighth of a core may acquire the shard first, and would answer late
// for as long as it keeps it.
BOOST_AUTO_TEST_CASE(AnOverloadedHolderHandsOverItsOnlyShard)
{
    TimePoint taken { 1'000s };
    auto lag = lagAfter(5s, 100ms);
    BOOST_TEST(lag.isOverloaded());
    BOOST_TEST(isHandOverDue({ 1, lag.isOverloaded(), false, taken, 0 }, taken + 6s));
}

// Each new holder lags while it restores a shard (here 1,500 jobs). Counting that as overload would make
// every holder hand the shard over again, endlessly.
BOOST_AUTO_TEST_CASE(RestoringAShardIsNotOverload)
{
    TimePoint taken { 1'000s };
    BOOST_TEST(!lagAfter(1'500ms, 100ms).isOverloaded());
    BOOST_TEST(!isHandOverDue({ 1, true, false, taken, 0 }, taken + 2s));
    // Nor later, during the back-off after two or three consecutive hand-overs.
    BOOST_TEST(!isHandOverDue({ 1, true, false, taken, 2 }, taken + 9s));
    BOOST_TEST(!isHandOverDue({ 1, true, false, taken, 3 }, taken + 19s));
}

// A process with an eighth of a core may have enough processor time but only a tenth of a holder's link.
BOOST_AUTO_TEST_CASE(ASmallProcessHandsOverItsShardOnlyTwiceInARow)
{
    TimePoint taken { 1'000s };
    BOOST_TEST(isHandOverDue({ 1, false, true, taken, 0 }, taken + 2s));
    BOOST_TEST(isHandOverDue({ 1, false, true, taken, 1 }, taken + 6s));
    BOOST_TEST(!isHandOverDue({ 1, false, true, taken, 2 }, taken + 600s));
    // An overloaded one, or one with two shards, still hands over.
    BOOST_TEST(isHandOverDue({ 1, true, true, taken, 2 }, taken + 60s));
    BOOST_TEST(isHandOverDue({ 2, false, true, taken, 2 }, taken + 60s));
}

// With a processor quota, suspensions of 100 ms and slightly late timers are normal.
BOOST_AUTO_TEST_CASE(AShortSuspensionIsNotOverload)
{
    TimePoint now { 1'000s };
    auto lag = lagAfter(10s, 2ms);
    lag.observe(now, now + 100ms);
    BOOST_TEST(!lag.isOverloaded());
    // An early timer does not count as negative lag.
    lag.observe(now + 10s, now);
    BOOST_TEST((lag.average() >= 0ms));
}

// If no process is a better holder, a shard must not keep moving between them.
BOOST_AUTO_TEST_CASE(BacksOffWhileNoBetterHolderTakesTheShard)
{
    TimePoint taken { 1'000s };
    std::vector<Duration> pauses;
    for (std::uint32_t consecutiveHandOvers = 0; consecutiveHandOvers < 8; ++consecutiveHandOvers) {
        auto now = taken;
        while (!isHandOverDue({ 2, true, false, taken, consecutiveHandOvers }, now))
            now += 100ms;
        pauses.push_back(now - taken);
    }
    BOOST_TEST((pauses[0] <= 2s));
    BOOST_TEST((pauses[1] >= 5s));
    for (std::size_t i = 1; i < pauses.size(); ++i)
        BOOST_TEST((pauses[i] >= pauses[i - 1]));
    BOOST_TEST((pauses.back() >= 120s));
}

BOOST_AUTO_TEST_SUITE_END()
