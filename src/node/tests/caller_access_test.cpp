#include "node/caller_access.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

constexpr auto host = "plans.example";
constexpr auto path = "/plans/5c0e7a21d94b36f8";
constexpr auto applyTime = 3'000ms;
constexpr auto end = 20'000;
constexpr ConfigAge fresh { 500ms, applyTime };
constexpr ConfigAge outdated { 3'000ms, applyTime };

jobs::FleetConfig configWith(std::vector<teams::TeamConfig> teams, bool isPublic = false)
{
    jobs::FleetConfig config;
    jobs::QueueConfig queue;
    queue.name = "plans";
    queue.host = host;
    queue.pathPrefix = "/plans/";
    queue.isPublic = isPublic;
    config.queues.push_back(queue);
    config.teams = std::move(teams);
    return config;
}

teams::TeamConfig team(const std::string& name, std::vector<std::string> keys)
{
    return { TeamId(name), std::move(keys), 1, {} };
}

JobCall callOf(const jobs::FleetConfig& config, std::string_view key, const ConfigAge& age)
{
    JobCall call;
    call.queue = "plans";
    call.team = checkAccess(config, config.queues.front(), key, age).team;
    if (checkAccess(config, config.queues.front(), key, age).verdict == AccessVerdict::Unconfirmed)
        call.undecided = { host, path, std::string(key) };
    return call;
}

// A version of the configuration, in force in the store from `at`, and the keys of its only team.
struct ConfigVersion {
    std::chrono::milliseconds at { 0 };
    std::vector<std::string> keys;
};

std::chrono::milliseconds drawMillis(std::mt19937& random, int max)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, max - 1)(random));
}

// Versions that add and remove four keys, at uneven intervals.
std::vector<ConfigVersion> drawVersions(std::mt19937& random)
{
    std::vector<ConfigVersion> versions { { 0ms, { "k0" } } };
    const std::array<std::string, 4> keys { "k0", "k1", "k2", "k3" };
    while (versions.back().at.count() < end) {
        ConfigVersion next;
        next.at = versions.back().at + 1ms + drawMillis(random, 6'000);
        for (const auto& key : keys)
            if (random() % 2 == 0)
                next.keys.push_back(key);
        versions.push_back(std::move(next));
    }
    return versions;
}

// The configuration of a process that last heard from the store at `confirmedAt`.
jobs::FleetConfig configAt(const std::vector<ConfigVersion>& versions, std::chrono::milliseconds confirmedAt)
{
    const ConfigVersion* known = &versions.front();
    for (const auto& version : versions)
        if (version.at <= confirmedAt)
            known = &version;
    return configWith({ team("a", known->keys) });
}

enum class Answer : std::uint8_t { Served, Refused, NotNow };

// How the processes decide; all but `Actual` are broken.
enum class Rule : std::uint8_t { Actual, IgnoresAge, HolderIgnoresAge, GrantsOutdatedKeys, AppliesTooLate };

ConfigAge ageBy(Rule rule, std::chrono::milliseconds age, bool isHolder)
{
    if (rule == Rule::IgnoresAge || (rule == Rule::HolderIgnoresAge && isHolder))
        return { 0ms, applyTime };
    return { age, rule == Rule::AppliesTooLate ? 2 * applyTime : applyTime };
}

// A call that arrives at `now` at a process that heard from the store `age` ago. The holder handles it
// `delay` later, and heard from the store `holderAge` before that.
struct Arrival {
    std::chrono::milliseconds now { 0 };
    std::chrono::milliseconds age { 0 };
    std::chrono::milliseconds delay { 0 };
    std::chrono::milliseconds holderAge { 0 };
    std::string key;
};

Answer answerTo(const Arrival& arrival, const std::vector<ConfigVersion>& versions, Rule rule)
{
    auto config = configAt(versions, arrival.now - arrival.age);
    auto age = ageBy(rule, arrival.age, false);
    auto access = checkAccess(config, config.queues.front(), arrival.key, age);
    if (access.verdict == AccessVerdict::UnknownKey)
        return Answer::Refused;
    if (rule == Rule::GrantsOutdatedKeys && teams::findTeamByKey(*config.teams, arrival.key))
        return Answer::Served;
    auto call = callOf(config, arrival.key, age);
    auto handledAt = arrival.now + arrival.delay;
    auto holderConfig = configAt(versions, handledAt - arrival.holderAge);
    auto refused = refuseForwardedCall(call, &holderConfig, ageBy(rule, arrival.holderAge, true));
    if (!refused)
        return Answer::Served;
    return refused->verdict == JobVerdict::UnknownKey ? Answer::Refused : Answer::NotNow;
}

// Whether a version that was still or already allowed to decide, between `applyTime` before the call was sent
// and its handling, gives that answer.
bool isAllowed(Answer answer, const Arrival& arrival, const std::vector<ConfigVersion>& versions)
{
    for (std::size_t i = 0; i < versions.size(); ++i) {
        auto isReplaced = i + 1 < versions.size() && versions[i + 1].at + applyTime < arrival.now;
        if (isReplaced || versions[i].at > arrival.now + arrival.delay)
            continue;
        auto hasKey = std::find(versions[i].keys.begin(), versions[i].keys.end(), arrival.key)
            != versions[i].keys.end();
        if (hasKey == (answer == Answer::Served))
            return true;
    }
    return answer == Answer::NotNow;
}

bool holdsFor(Rule rule)
{
    return rc::check("a call is handled as a version in force allows", [rule](std::uint32_t seed) {
        std::mt19937 random(seed);
        auto versions = drawVersions(random);
        Arrival arrival { 6'000ms + drawMillis(random, end - 6'000), drawMillis(random, 6'000),
            drawMillis(random, 3'000), drawMillis(random, 6'000), "k" + std::to_string(random() % 5) };
        auto answer = answerTo(arrival, versions, rule);
        RC_ASSERT(isAllowed(answer, arrival, versions));
        // One process with a recent configuration is enough to decide.
        auto isDecidable = std::min(arrival.age, arrival.holderAge) + denialMargin <= applyTime;
        RC_ASSERT(!isDecidable || answer != Answer::NotNow);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_access)

BOOST_AUTO_TEST_CASE(TheKeyIsReadFromTheHeader)
{
    BOOST_TEST(apiKeyOf("Bearer abc") == "abc");
    BOOST_TEST(apiKeyOf("bearer   abc ") == "abc");
    for (const auto* text : { "", "Bearer", "Bearer ", "Bearer    ", "Basic abc", "Bearerabc", "abc" })
        BOOST_TEST(apiKeyOf(text).empty(), text);
}

// Guards against a queue that anybody can use, or that nobody can.
BOOST_AUTO_TEST_CASE(AKeyOfATeamIsNeededUnlessTheQueueIsPublic)
{
    auto config = configWith({ team("a", { "ka", "kb", "" }), team("b", { "kc" }) });
    auto access
        = [&](std::string_view key) { return checkAccess(config, config.queues.front(), key, fresh); };
    BOOST_TEST((access("kb").verdict == AccessVerdict::Granted));
    BOOST_TEST(access("kb").team == TeamId("a"));
    BOOST_TEST(access("kc").team == TeamId("b"));
    for (const auto* key : { "", "k", "kaa", "KA" })
        BOOST_TEST((access(key).verdict == AccessVerdict::UnknownKey), key);
    config.queues.front().isPublic = true;
    BOOST_TEST((access("").verdict == AccessVerdict::Granted));
    BOOST_TEST(access("ka").team.empty());
    config.queues.front().isPublic = false;
    config.teams.reset();
    BOOST_TEST((access("").verdict == AccessVerdict::Granted));
    // Without teams a call runs however old the configurations are.
    auto call = callOf(config, "", outdated);
    BOOST_TEST(!refuseForwardedCall(call, &config, outdated).has_value());
}

// Guards against a key that a newer version has added or removed, at a process that does not know it.
BOOST_AUTO_TEST_CASE(AnOutdatedConfigurationLeavesTheDecisionToTheHolder)
{
    auto old = configWith({ team("a", { "removed" }) });
    auto current = configWith({ team("a", { "added" }) });
    auto removed = callOf(old, "removed", outdated);
    auto added = callOf(old, "added", outdated);
    BOOST_REQUIRE(removed.undecided.has_value());
    BOOST_TEST(removed.team.empty());
    auto refused = refuseForwardedCall(removed, &current, fresh);
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->verdict == JobVerdict::UnknownKey));
    BOOST_TEST(!refuseForwardedCall(added, &current, fresh).has_value());
    BOOST_TEST(added.team == TeamId("a"));
    BOOST_TEST(!added.undecided.has_value());
}

// Guards against a call that runs though neither process can tell whether it may.
BOOST_AUTO_TEST_CASE(ACallThatNobodyCanDecideIsRefused)
{
    auto config = configWith({ team("a", { "ka" }) });
    for (const auto* holder :
        { static_cast<const jobs::FleetConfig*>(&config), static_cast<const jobs::FleetConfig*>(nullptr) }) {
        auto call = callOf(config, "ka", outdated);
        auto refused = refuseForwardedCall(call, holder, outdated);
        BOOST_REQUIRE(refused.has_value());
        BOOST_TEST((refused->verdict == JobVerdict::Unavailable));
    }
}

// Guards against a job that runs with the policy, or in the queue, of a version that is no longer in force.
BOOST_AUTO_TEST_CASE(TheHolderDecidesByItsOwnQueue)
{
    auto config = configWith({ team("a", { "ka" }) });
    auto otherPolicy = config;
    otherPolicy.queues.front().policy.pool = PoolId("other");
    auto noQueue = config;
    noQueue.queues.front().host = "elsewhere.example";
    jobs::Job job;
    job.id = JobId("5c0e7a21d94b36f8");
    job.steps.push_back({ 1, {}, 1s });
    for (const auto& [holder, isGranted] :
        { std::pair(&config, true), std::pair(&otherPolicy, false), std::pair(&noQueue, false) }) {
        auto call = callOf(config, "ka", outdated);
        call.kind = JobCallKind::Submit;
        call.encodedJob = jobs::encodeJob(job);
        BOOST_TEST(!refuseForwardedCall(call, holder, fresh).has_value() == isGranted);
    }
}

// Guards against calls of processes that do not ask for keys yet.
BOOST_AUTO_TEST_CASE(ACallWithoutATeamIsRefusedUnlessTheQueueIsPublic)
{
    JobCall call;
    call.queue = "plans";
    auto config = configWith({ team("a", { "ka" }) });
    BOOST_TEST(refuseForwardedCall(call, &config, fresh).has_value());
    BOOST_TEST(refuseForwardedCall(call, &config, outdated).has_value());
    auto publicConfig = configWith({ team("a", { "ka" }) }, true);
    BOOST_TEST(!refuseForwardedCall(call, &publicConfig, fresh).has_value());
    JobCall probe { JobCallKind::Count };
    BOOST_TEST(!refuseForwardedCall(probe, &config, outdated).has_value());
    config.teams.reset();
    BOOST_TEST(!refuseForwardedCall(call, &config, outdated).has_value());
}

// Guards against a key that is accepted after its removal is in force, and one that is refused after its
// addition is.
BOOST_AUTO_TEST_CASE(ACallIsHandledAsAVersionInForceAllows) { BOOST_TEST(holdsFor(Rule::Actual)); }

BOOST_AUTO_TEST_CASE(BrokenRulesAreDetected)
{
    for (auto rule :
        { Rule::IgnoresAge, Rule::HolderIgnoresAge, Rule::GrantsOutdatedKeys, Rule::AppliesTooLate })
        BOOST_TEST(!holdsFor(rule), int(rule));
}

BOOST_AUTO_TEST_SUITE_END()
