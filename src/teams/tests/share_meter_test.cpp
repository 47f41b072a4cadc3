#include "teams/share_meter.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t shardCount = 3;

struct MeterFixture {
    ShareMeter meter;
    TimePoint now { 1'000s };
    std::uint32_t jobs { 0 };

    MeterFixture()
    {
        meter.configure({ { TeamId("large"), {}, 30, {} }, { TeamId("small"), {}, 1, {} },
                            { TeamId("unweighted"), {}, 0, {} } },
            shardCount);
    }
    ShareState count(const std::string& team)
    {
        return meter.count(TeamId(team), JobId(std::to_string(++jobs)), now);
    }
    // Share of the jobs beyond the team's share if random arrivals of this rate reach the shard.
    double beyondShare(const std::string& team, double perSecond, Duration length, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> gap(perSecond / 1'000'000);
        auto until = now + length;
        std::uint32_t beyond = 0;
        auto first = jobs;
        while ((now += Duration(std::int64_t(gap(random)) + 1)) < until)
            beyond += count(team) == ShareState::Beyond ? 1 : 0;
        return double(beyond) / std::max(1U, jobs - first);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(share_meter)

// A shard sees clusters of a team that keeps to its weight. A depth of 3 jobs marks 9% of a
// small team, and a bucket that fills at exactly the mean rate 6%.
BOOST_AUTO_TEST_CASE(ATeamThatKeepsToItsRateIsWithinItsShare)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MeterFixture f;
        BOOST_TEST(f.beyondShare("small", 1.0 / shardCount, 3'600s, seed) < 0.03);
        BOOST_TEST(f.beyondShare("large", 30.0 / shardCount, 600s, seed) < 0.01);
    }
}

BOOST_AUTO_TEST_CASE(WhatATeamSendsBeyondItsRateIsMarked)
{
    for (auto factor : { 4.5, 7.5 }) {
        MeterFixture f;
        BOOST_TEST(f.beyondShare("large", 30.0 / shardCount * factor, 7s, 1) > 0.9 * (1 - 1 / factor) - 0.1);
    }
}

// A rejected caller comes back: it keeps its place in the share, and takes no second one.
BOOST_FIXTURE_TEST_CASE(ARepeatedJobCountsOnce, MeterFixture)
{
    for (int i = 0; i < 100; ++i)
        BOOST_TEST((meter.count(TeamId("small"), JobId("again"), now) == ShareState::Within));
    BOOST_TEST((count("small") == ShareState::Within));
}

BOOST_FIXTURE_TEST_CASE(ANewVersionOfTheConfigurationGivesNoTokens, MeterFixture)
{
    while (count("large") == ShareState::Within) { }
    meter.configure({ { TeamId("large"), {}, 60, {} } }, shardCount);
    BOOST_TEST((count("large") == ShareState::Beyond));
}

BOOST_FIXTURE_TEST_CASE(TeamsWithoutWeightAndJobsWithoutTeam, MeterFixture)
{
    BOOST_TEST((count("unweighted") == ShareState::Beyond));
    BOOST_TEST((count("") == ShareState::Within));
    while (count("") == ShareState::Within) { }
    BOOST_TEST((count("unknown") == ShareState::Beyond));
    BOOST_TEST((count("small") == ShareState::Within));
    meter.configure({}, shardCount);
    BOOST_TEST((count("unweighted") == ShareState::NoTeams));
}

BOOST_AUTO_TEST_SUITE_END()
