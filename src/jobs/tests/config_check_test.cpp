#include "jobs/config_check.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace std::chrono_literals;

namespace {

FleetConfig soundConfig()
{
    FleetConfig config;
    config.version = 7;
    config.queues = { { "plans", "h", "/plans/", { PoolId("p"), 0, 4, 1.6, 600ms }, 3s },
        { "routes", "h", "/routes/", { PoolId("q"), 1, 3, 1.6, 600ms }, 3s } };
    config.pools = { { PoolId("p") }, { PoolId("q") }, { PoolId("spare"), true } };
    config.teams
        = { { TeamId("a"), { "secret-a" }, 5, { 4'000, 0, 0 } }, { TeamId("b"), { "secret-b" }, 1 } };
    config.maxBodyBytes = 262'144;
    config.headerTimeout = 3s;
    config.idleTimeout = 15s;
    return config;
}

using Findings = std::vector<ConfigFinding>;

std::string textOf(const Findings& findings)
{
    std::string text;
    for (const auto& [kind, each] : findings)
        text += std::string(toString(kind)) + ": " + each + "\n";
    return text;
}

// Changes one thing, and expects one finding with those words that names no key.
template <typename Change>
void expectFinding(FindingKind kind, const std::string& words, const Change& change)
{
    auto config = soundConfig();
    change(config);
    auto findings = checkConfig(config);
    BOOST_TEST_CONTEXT(textOf(findings))
    {
        BOOST_REQUIRE(findings.size() == 1U);
        BOOST_TEST((findings.front().kind == kind));
        BOOST_TEST(findings.front().text.find(words) != std::string::npos);
        BOOST_TEST(findings.front().text.find("secret") == std::string::npos);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_check)

// Guards against findings on a configuration that is right.
BOOST_AUTO_TEST_CASE(ASoundConfigurationHasNoFindings)
{
    BOOST_TEST(textOf(checkConfig(soundConfig())) == "");
    auto withoutTeams = soundConfig();
    withoutTeams.teams.reset();
    BOOST_TEST(textOf(checkConfig(withoutTeams)) == "");
}

// Guards against each kind of slip that is found only once it is in force.
BOOST_AUTO_TEST_CASE(EachSlipIsFound)
{
    using Config = FleetConfig&;
    constexpr auto error = FindingKind::Error;
    constexpr auto warning = FindingKind::Warning;
    expectFinding(error, "queue plans has the same host and prefix",
        [](Config config) { config.queues[1].pathPrefix = "/plans/"; });
    expectFinding(error, "begin with '/'", [](Config config) { config.queues[1].pathPrefix = "routes/"; });
    expectFinding(error, "no pool r", [](Config config) { config.queues[1].policy.pool = PoolId("r"); });
    expectFinding(
        error, "switched off", [](Config config) { config.queues[1].policy.pool = PoolId("spare"); });
    expectFinding(error, "queue plans appears twice", [](Config config) { config.queues[1].name = "plans"; });
    expectFinding(
        error, "team a has it too", [](Config config) { (*config.teams)[1].keys = { "secret-a" }; });
    expectFinding(
        error, "a header cannot hold", [](Config config) { (*config.teams)[1].keys = { "secret b " }; });
    expectFinding(
        warning, "a key twice", [](Config config) { (*config.teams)[1].keys.emplace_back("secret-b"); });
    expectFinding(error, "queries and ports", [](Config config) { config.queues[1].host = "h:80"; });
    expectFinding(error, "queries and ports", [](Config config) { config.queues[1].pathPrefix = "/r?a"; });
    expectFinding(error, "has no name", [](Config config) { config.queues[1].name.clear(); });
    expectFinding(warning, "has no keys", [](Config config) { (*config.teams)[1].keys.clear(); });
    expectFinding(warning, "no weight", [](Config config) { (*config.teams)[1].weight = 0; });
    expectFinding(error, "list of teams is empty", [](Config config) { config.teams->clear(); });
    expectFinding(warning, "no key is ever asked for", [](Config config) {
        for (auto& queue : config.queues)
            queue.isPublic = true;
    });
    expectFinding(warning, "below its target", [](Config config) { config.queues[1].timeout = 500ms; });
    expectFinding(warning, "less than a job's", [](Config config) { config.queues[1].policy.stretch = 0.5; });
    expectFinding(warning, "header time-out", [](Config config) { config.headerTimeout = 20s; });
    expectFinding(warning, "body limit", [](Config config) { config.maxBodyBytes = 1'000; });
}

// Guards against a change that nobody meant, and a version that no node takes.
BOOST_AUTO_TEST_CASE(ChangesAreListedWithoutKeys)
{
    auto next = soundConfig();
    next.version = 9;
    next.queues[0].policy.stretch = 2;
    next.queues.pop_back();
    next.pools.push_back({ PoolId("new") });
    (*next.teams)[0].keys = { "secret-new", "secret-newer" };
    (*next.teams)[0].limit.cpu = 2'000;
    BOOST_TEST(textOf(compareConfigs(soundConfig(), next))
        == "change: queue routes is removed\n"
           "change: queue plans: stretch 1.6 becomes 2\n"
           "change: pool new is added\n"
           "change: team a: keys added: 2\n"
           "change: team a: keys removed: 1, 2 left\n"
           "change: team a: limit of millicores 4000 becomes 2000\n");
    BOOST_TEST(textOf(compareConfigs(soundConfig(), soundConfig()))
        == "error: version 7 is not higher than 7 in force: nodes ignore it\n");
}

BOOST_AUTO_TEST_SUITE_END()
