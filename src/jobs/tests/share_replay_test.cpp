#include "jobs/tests/fleet_replay.h"
#include "jobs/tests/shard_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

constexpr double playSeconds = 16;
constexpr std::uint32_t shardCount = 3;
// Of its weight.
constexpr double usualRate = 0.8;

struct OverloadSettings {
    // Each team from `firstExcess` on sends `factor` times its usual rate from second 4 on.
    std::size_t excessTeams { 0 };
    double factor { 1 };
    double seconds { 8 };
    // All teams send this multiple of their rate from second 6 to 9.
    double burst { 1.5 };
    std::size_t firstExcess { 0 };
};

std::vector<teams::TeamConfig> unevenTeams()
{
    std::vector<teams::TeamConfig> teams;
    for (auto weight : { 14.0, 10.0, 6.0, 4.0, 3.0, 2.0, 2.0, 1.5, 1.5 })
        teams.push_back({ TeamId("team" + std::to_string(teams.size())), {}, weight, {} });
    while (teams.size() < 20)
        teams.push_back({ TeamId("team" + std::to_string(teams.size())), {}, 1, {} });
    return teams;
}

ReplayJob jobOf(const TeamId& team, double at, std::size_t number, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> runTimeFactor(0, 0.4);
    std::lognormal_distribution<double> sizeFactor(0, 0.6);
    auto isLarge = uniform(random) < 0.1;
    auto priority = uniform(random) < 0.5 ? 0 : 1;
    ReplayJob replay;
    replay.at = TimePoint(Millis(std::int64_t(at * 1'000)));
    replay.job = ShardFixture::job(
        "job" + std::to_string(number), 8, isLarge ? 6'700 : 3'100, isLarge ? 2'100ms : 640ms);
    auto& job = replay.job;
    job.team = team;
    job.policy.priority = priority;
    job.queue = std::string(isLarge ? "large" : "small") + std::to_string(priority);
    job.steps.front().count = std::uint32_t(std::clamp(8 * sizeFactor(random), 1.0, 40.0));
    if (isLarge || uniform(random) < 0.6) {
        job.steps.push_back(job.steps.front());
        job.steps.back().after = { 0 };
    }
    Millis chain { 0 };
    for (const auto& step : job.steps) {
        Millis longest { 0 };
        for (std::uint32_t i = 0; i < step.count; ++i) {
            replay.durations.emplace_back(
                std::int64_t(double(step.estimate.count()) * runTimeFactor(random)) + 1);
            longest = std::max(longest, replay.durations.back());
        }
        chain += longest;
    }
    replay.objective
        = Millis(std::int64_t(job.policy.stretch * double(chain.count()))) + job.policy.latencyAllowance;
    return replay;
}

std::vector<ReplayJob> jobsOfTeams(
    const std::vector<teams::TeamConfig>& teams, const OverloadSettings& load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<ReplayJob> jobs;
    for (std::size_t team = 0; team < teams.size(); ++team) {
        auto hasExcess = team >= load.firstExcess && team < load.firstExcess + load.excessTeams;
        std::exponential_distribution<double> gap(
            teams[team].weight / shardCount * usualRate * load.factor * load.burst);
        for (double at = gap(random); at < playSeconds; at += gap(random)) {
            auto rate = hasExcess && at >= 4 && at < 4 + load.seconds ? load.factor : 1;
            rate *= at >= 6 && at < 9 ? load.burst : 1;
            if (uniform(random) < rate / load.factor / load.burst)
                jobs.push_back(jobOf(teams[team].id, at, jobs.size(), random));
        }
    }
    disturbEstimates(jobs, 0.7, seed);
    return jobs;
}

double workOf(const ReplayJob& replay)
{
    double work = 0;
    auto duration = replay.durations.begin();
    for (const auto& step : replay.job.steps)
        for (std::uint32_t i = 0; i < step.count; ++i)
            work += double(step.perTask.cpu) * double((duration++)->count());
    return work;
}

struct Outcome {
    // Credit earned by credit owed: of all jobs, and by team, capped at 1, the mean and the worst tenth.
    double worth { 0 };
    double meanOfTeams { 0 };
    double worstTenth { 0 };
    // Of rejected callers that came back after the time of Retry-After, those that were accepted then.
    std::uint32_t cameBack { 0 };
    std::uint32_t acceptedAgain { 0 };
};

// Plays the same load on each shard of a deployment. A job earns its worth if it ends within its objective
// from the first attempt, and falls to nothing at three objectives.
Outcome playShards(const OverloadSettings& load, bool hasTeams, std::uint64_t seed)
{
    struct Credit {
        double earned { 0 };
        double sent { 0 };
        double jobs { 0 };
    };
    auto teams = unevenTeams();
    std::map<TeamId, Credit> credits;
    Credit all;
    Outcome outcome;
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        ReplaySettings settings;
        settings.runners = 32;
        settings.cpuOfRunner = 32'000;
        settings.shardCount = shardCount;
        if (hasTeams)
            settings.teams = teams;
        FleetReplay replay(settings);
        replay.play(jobsOfTeams(teams, load, seed * shardCount + shard), 90s);
        BOOST_TEST(replay.duplicateRuns == 0U);
        BOOST_TEST(replay.overcommits == 0U);
        std::map<std::string, std::pair<double, double>> workOfQueue;
        for (const auto& [id, each] : replay.jobs()) {
            auto& [sum, jobs] = workOfQueue[each.job.queue];
            sum += workOf(each);
            ++jobs;
        }
        std::uint32_t ended = 0;
        for (const auto& [id, each] : replay.jobs()) {
            const auto& [sum, jobs] = workOfQueue[each.job.queue];
            auto worth = std::min(4.0, 0.3 + 0.7 * workOf(each) / (sum / jobs));
            auto objectives = each.endedAt ? std::chrono::duration<double>(*each.endedAt - each.at)
                    / std::chrono::duration<double>(each.objective)
                                           : 3;
            ended += each.endedAt ? 1 : 0;
            for (auto* credit : { &all, &credits[each.job.team] }) {
                credit->earned += worth * std::clamp((3 - objectives) / 2, 0.0, 1.0);
                credit->sent += worth;
                ++credit->jobs;
            }
        }
        outcome.cameBack += replay.cameBack;
        outcome.acceptedAgain += replay.acceptedAgain;
        // Accepted jobs all end.
        BOOST_TEST(ended == replay.submitted - replay.givenUp);
    }
    outcome.worth = all.earned / all.sent;
    std::vector<double> shares;
    for (const auto& team : teams) {
        const auto& credit = credits[team.id];
        auto owed = credit.sent * std::min(1.0, team.weight * playSeconds / credit.jobs);
        shares.push_back(std::min(1.0, credit.earned / owed));
        outcome.meanOfTeams += shares.back() / double(teams.size());
    }
    std::sort(shares.begin(), shares.end());
    outcome.worstTenth = (shares[0] + shares[1]) / 2;
    return outcome;
}

void report(const char* load, const Outcome& before, const Outcome& after)
{
    for (const auto* each : { &before, &after })
        BOOST_TEST_MESSAGE(load << (each == &before ? " before" : " after") << ": mean of teams "
                                << each->meanOfTeams << ", worst tenth " << each->worstTenth
                                << ", worth earned " << each->worth << ", accepted again "
                                << each->acceptedAgain << " of " << each->cameBack);
}

} // namespace

BOOST_AUTO_TEST_SUITE(share_replay)

// Teams that send several times their rate must not make the jobs of other teams late.
BOOST_AUTO_TEST_CASE(ExcessOfTeamsIsNotPaidByOthers)
{
    for (const auto& load : { OverloadSettings { 2, 7.5, 8 }, OverloadSettings { 2, 4.5, 6, 2, 1 } }) {
        auto before = playShards(load, false, 1);
        auto after = playShards(load, true, 1);
        report("excess", before, after);
        BOOST_TEST(after.worstTenth >= 0.9 * after.meanOfTeams);
        BOOST_TEST(after.worstTenth > before.worstTenth);
        BOOST_TEST(after.worth > before.worth);
        // Retry-After tells when the caller has a good chance.
        BOOST_TEST(after.acceptedAgain * 2 > after.cameBack);
    }
}

// All teams submit four times their rate for three seconds: what waits must cost callers less than by
// lateness, priority and deadline alone.
BOOST_AUTO_TEST_CASE(BurstOfAllTeamsCostsCallersLess)
{
    OverloadSettings load;
    load.burst = 4;
    auto before = playShards(load, false, 1);
    auto after = playShards(load, true, 1);
    report("burst", before, after);
    BOOST_TEST(after.worth > before.worth);
}

BOOST_AUTO_TEST_SUITE_END()
