#include "jobs/burst_row.h"
#include "jobs/tests/burst_replay.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

constexpr Millis step { 50 };
constexpr Duration lead { 2'250ms };

PoolId name(std::size_t pool) { return PoolId("pool-" + std::to_string(pool)); }

// Feeds turns to a forecast, 20 jobs a second in a turn and one in 5 s between turns.
struct Player {
    std::vector<std::vector<TimePoint>> turns;
    BurstForecast forecast { lead };
    std::mt19937_64 random { 1 };
    TimePoint now { 0ms };
    // Seconds for which a pool was to have VMs outside of its turns.
    double ordered { 0 };
    // Turns that had VMs ordered when they began.
    std::uint32_t prepared { 0 };

    void playUntil(TimePoint until, Millis length = 4s)
    {
        for (; now < until; now += step) {
            for (std::size_t i = 0; i < turns.size(); ++i) {
                auto isIn = [&](TimePoint begin) { return now >= begin && now < begin + length; };
                auto inTurn = std::any_of(turns[i].begin(), turns[i].end(), isIn);
                std::poisson_distribution<int> jobs(inTurn ? 1 : 0.01);
                for (auto count = jobs(random); count > 0; --count)
                    forecast.recordArrival(name(i), 10'000, now);
                auto isOrdered = forecast.expectedCores(name(i), now) > 0;
                ordered += isOrdered && !inTurn ? 0.05 : 0;
                for (auto begin : turns[i])
                    prepared += begin >= now && begin < now + step && isOrdered ? 1 : 0;
            }
            forecast.update(now);
        }
    }
};

std::vector<std::vector<TimePoint>> rotation(Millis period, int rounds, Millis jitter = 0ms)
{
    return turnsOf({ 4, period, 4s, jitter, false, period * rounds });
}

} // namespace

BOOST_AUTO_TEST_SUITE(burst_forecast)

// Guards against VMs that come only with the demand: all turns of the second round are prepared.
BOOST_AUTO_TEST_CASE(SecondRoundOfARotationIsExpected)
{
    Player player { rotation(20s, 2, 200ms) };
    player.playUntil(TimePoint(44s));
    BOOST_TEST(player.prepared == 4U);
    // Each of four pools has VMs for some 3 s before its turn.
    BOOST_TEST(player.ordered < 4 * 3.5);
}

BOOST_AUTO_TEST_CASE(APoolOfItsOwnPeriodIsExpectedAfterFourTurns)
{
    Player player { { { TimePoint(5s), TimePoint(17s), TimePoint(29s), TimePoint(41s), TimePoint(53s) } } };
    player.playUntil(TimePoint(48s));
    BOOST_TEST(player.ordered == 0);
    player.playUntil(TimePoint(56s));
    BOOST_TEST(player.prepared == 1U);
}

// The period grows by 2% with each round.
BOOST_AUTO_TEST_CASE(TheForecastFollowsADrift)
{
    std::vector<std::vector<TimePoint>> turns(4);
    double period = 20;
    for (double at = 3; at < 400; period *= 1.02)
        for (auto& pool : turns) {
            pool.emplace_back(Millis(std::int64_t(at * 1'000)));
            at += period / 4;
        }
    Player player { turns };
    player.playUntil(TimePoint(400s));
    auto expected = turns[0].size() + turns[1].size() + turns[2].size() + turns[3].size() - 4;
    BOOST_TEST(player.prepared >= expected * 9 / 10);
}

// Guards against VMs that wait for a turn again and again: after two that do not come nothing is ordered.
BOOST_AUTO_TEST_CASE(TurnsThatStopAreGivenUpAfterTwoMisses)
{
    Player player { rotation(20s, 3) };
    player.playUntil(TimePoint(62s));
    BOOST_TEST(player.forecast.isProven(name(0)));
    auto before = player.ordered;
    player.playUntil(TimePoint(200s));
    BOOST_TEST(player.forecast.counts().misses == 2U);
    BOOST_TEST(player.ordered - before < 2 * 5);
    BOOST_TEST(!player.forecast.rhythm(name(0)));
}

// The rotation pauses for 6 s. Guards against VMs at the wrong times afterwards.
BOOST_AUTO_TEST_CASE(AShiftedRotationIsExpectedAtItsNewTimes)
{
    auto turns = rotation(20s, 6);
    for (auto& pool : turns)
        for (auto& begin : pool)
            begin += begin >= TimePoint(62s) ? 6s : 0s;
    Player player { turns };
    player.playUntil(TimePoint(88s));
    player.prepared = 0;
    player.playUntil(TimePoint(125s));
    BOOST_TEST(player.prepared >= 6U);
    BOOST_TEST(player.forecast.counts().misses <= 2U);
}

// The next holder has another monotonic clock, and its wall clock differs by 20 s.
BOOST_AUTO_TEST_CASE(ARestoredForecastIsAnchoredByTheNextTurn)
{
    Player player { rotation(20s, 3) };
    player.playUntil(TimePoint(42s));
    WallTime wall { 1'000s };
    auto record = player.forecast.takeRecord(player.now, wall);
    BOOST_REQUIRE(record);
    BOOST_TEST(!player.forecast.takeRecord(player.now, wall));
    Player next { player.turns };
    for (auto& pool : next.turns)
        for (auto& begin : pool)
            begin += 1'000s;
    next.now = TimePoint(1'042s);
    auto restored = decodeBurstRow(encodeBurstRow(*record));
    BOOST_REQUIRE(restored);
    BOOST_TEST(next.forecast.restore(*restored, wall - 20s));
    next.playUntil(TimePoint(1'045s));
    BOOST_TEST(next.ordered == 0);
    next.playUntil(TimePoint(1'062s));
    // The turn at 1,043 s anchors the forecast.
    BOOST_TEST(next.prepared == 3U);
    BOOST_TEST(next.forecast.counts().misses == 0U);
    BOOST_TEST(!BurstForecast(lead).restore(*restored, wall + 1h));
    BOOST_TEST(!BurstForecast(lead).restore(*restored, wall - 1h));
}

BOOST_AUTO_TEST_CASE(DamagedRowsAreNotRead)
{
    auto row = encodeBurstRow({ WallTime(1s), { { PoolId("p"), 20s, 3s, 5, 2, true, 1 } } });
    BOOST_TEST(bool(decodeBurstRow(row)));
    for (std::size_t length = 0; length < row.size(); ++length)
        BOOST_TEST(!decodeBurstRow(row.substr(0, length)));
    auto changed = [&](const std::string& from, const std::string& to) {
        return std::string(row).replace(row.find(from), from.size(), to);
    };
    BOOST_TEST(!decodeBurstRow(changed(R"("format":1)", R"("format":2)")));
    BOOST_TEST(!decodeBurstRow(changed(R"("cores":5.0)", R"("cores":-1)")));
    BOOST_TEST(!decodeBurstRow(changed(R"("period-ms":20000)", R"("period-ms":9223372036854775807)")));
}

// Guards against VMs that are ordered without a reason: steady arrivals at any rate, and bursts of which no
// two intervals are alike, order nothing.
BOOST_AUTO_TEST_CASE(WithoutRegularTurnsNothingIsOrdered)
{
    auto holds = rc::check("nothing is ordered", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        auto pools = std::uniform_int_distribution<std::size_t>(1, 5)(random);
        BurstForecast forecast(lead);
        std::vector<double> rates;
        for (std::size_t i = 0; i < pools; ++i)
            rates.push_back(std::exp(std::uniform_real_distribution<double>(-3, 4)(random)));
        auto hasBursts = std::bernoulli_distribution(0.5)(random);
        std::size_t bursting = 0;
        auto burstEnds = TimePoint(0ms);
        auto nextBurst = TimePoint(5s);
        double gap = 4;
        for (auto now = TimePoint(0ms); now < TimePoint(120s); now += step) {
            if (hasBursts && now >= nextBurst) {
                bursting = std::uniform_int_distribution<std::size_t>(0, pools - 1)(random);
                burstEnds = now + 3s;
                // Each interval is half as long again as the one before, or starts anew.
                gap = gap > 20 ? 4 : gap * std::uniform_real_distribution<double>(1.5, 2)(random);
                nextBurst = now + Millis(std::int64_t(gap * 1'000));
            }
            for (std::size_t i = 0; i < pools; ++i) {
                auto rate = rates[i] * (i == bursting && now < burstEnds ? 20 : 1);
                std::poisson_distribution<int> jobs(rate * 0.05);
                for (auto count = jobs(random); count > 0; --count)
                    forecast.recordArrival(name(i), 10'000, now);
                RC_ASSERT(forecast.expectedCores(name(i), now) == 0);
                RC_ASSERT(!forecast.isProven(name(i)));
            }
            forecast.update(now);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
