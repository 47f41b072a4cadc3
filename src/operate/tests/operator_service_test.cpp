#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "fixture.h"

using namespace fulmar;
using namespace fulmar::operate;
using namespace fulmar::operate::test;

BOOST_AUTO_TEST_SUITE(OperatorService)

BOOST_AUTO_TEST_CASE(TablesReadAsDocumented)
{
    SmallFleet fleet;
    fleet.replica.apply({ {}, 1 });
    auto view = fleet.view();
    view.missingZones = { ZoneId("c") };
    auto answer
        = std::get<Answer>(answerStatement({ "show pools where spent > 0", {}, false }, view, fleet.now));
    BOOST_TEST(formatForPeople(answer)
        == "pool   vms  serving  leaving  maintenance  failed  budget  spent  spare  version\n"
           "plans    7        6        1            0       0       1      1  no           1\n"
           "(1 rows, version 1, 150ms old; no word from zones c)\n");
    BOOST_TEST(formatForPeople(fleet.ask("count vms by state"))
        == "state    count\n"
           "leaving      1\n"
           "serving      9\n"
           "(2 rows, version 1, 150ms old)\n");
    BOOST_TEST(formatForPeople(fleet.ask("show commands"))
        == "command  who    state    statement    ordered  basedOn  detail\n"
           "c0       alice  running  drain vm v3    3m00s        0\n"
           "(1 rows, version 1, 150ms old)\n");
}

BOOST_AUTO_TEST_CASE(FiltersCompareByTheTypeOfTheColumn)
{
    SmallFleet fleet;
    auto longest = fleet.ask("show vms where since > 8m and pool ~ spa order by since desc");
    BOOST_REQUIRE(longest.rows.size() == 2);
    BOOST_TEST(std::get<std::string>(longest.rows[0][0]) == "v10");
    auto wrong = fleet.ask("show vms where since > long");
    BOOST_TEST(wrong.message == "since = \"long\": expected a duration with its unit, as 30s or 10m");
    BOOST_CHECK(wrong.status == AnswerStatus::BadStatement);
}

BOOST_AUTO_TEST_CASE(WhyFollowsTheCauseToTheCommand)
{
    SmallFleet fleet;
    auto answer = fleet.ask("why vm v3");
    std::vector<std::string> facts;
    facts.reserve(answer.rows.size());
    for (const auto& row : answer.rows)
        facts.push_back(std::get<std::string>(row[0]));
    std::vector<std::string> expected { "vm v3 is leaving in pool plans, zone a, rack r3",
        "cause: command c0", "command c0 of alice: drain vm v3 is running",
        "pool plans has 7 VMs: 6 serving, 1 leaving, 0 in maintenance, 0 failed; 1 of 1 may be unavailable" };
    BOOST_TEST(facts == expected, boost::test_tools::per_element());
    BOOST_CHECK(fleet.ask("why vm v99").status == AnswerStatus::BadStatement);
}

BOOST_AUTO_TEST_CASE(OfTwoOperatorsOneWinsAndTheOtherLearnsWho)
{
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table };
    // Bob's command is recorded between Alice's reads and her write.
    platform.beforeCommit = [&] {
        FaultyPlatform other { fleet.table };
        auto bob = fleet.order(other, "move vm v1 to pool spare", "c2", "bob");
        BOOST_CHECK(bob.status == AnswerStatus::Waiting);
    };
    auto alice = fleet.order(platform, "drain vm v1", "c1", "alice");
    BOOST_CHECK(alice.status == AnswerStatus::Conflict);
    BOOST_TEST(alice.message
        == "nothing was done: overtaken by command c2 of bob: move vm v1 to pool spare (pending); base the "
           "command on version 2 to order it after that");
    BOOST_TEST(fleet.table.read("command/c1", 0).rows.empty());
    BOOST_CHECK(
        fleet.order(platform, "drain vm v1", "c1", "alice", Version(2)).status == AnswerStatus::Waiting);
}

BOOST_AUTO_TEST_CASE(AnOutdatedBaseIsAConflict)
{
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table };
    auto first = fleet.order(platform, "set pool plans unavailable = 30%", "c1", "alice", Version(1));
    BOOST_CHECK(first.status == AnswerStatus::Ok);
    auto second = fleet.order(platform, "set pool plans unavailable = 5%", "c2", "bob", Version(1));
    BOOST_CHECK(second.status == AnswerStatus::Conflict);
    BOOST_TEST(second.message.find("command c1 of alice") != std::string::npos);
    fleet.refresh();
    auto config = decode<PoolConfig>(fleet.replica.rows().at("config/pool/plans").value);
    BOOST_TEST(config->unavailableShare == 0.3);
}

BOOST_AUTO_TEST_CASE(ALostReplyIsSettledByReadingBack)
{
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table };
    platform.lostReplies = 1;
    auto answer = fleet.order(platform, "drain vm v1", "c1", "alice");
    BOOST_CHECK(answer.status == AnswerStatus::Waiting);
    auto version = fleet.table.version();
    auto again = fleet.order(platform, "drain vm v1", "c1", "alice");
    BOOST_CHECK(again.status == AnswerStatus::Waiting);
    BOOST_TEST(again.message.starts_with("recorded before"));
    auto withReason = fleet.order(platform, "drain vm v1 because \"disk\"", "c1", "alice");
    BOOST_TEST(withReason.message.starts_with("recorded before"));
    BOOST_TEST(fleet.table.version() == version);
    BOOST_CHECK(fleet.order(platform, "drain vm v2", "c1", "alice").status == AnswerStatus::Conflict);
}

BOOST_AUTO_TEST_CASE(WithThePlatformOutNothingIsClaimedToBeRecorded)
{
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table, true };
    BOOST_CHECK(fleet.order(platform, "drain vm v1", "c1", "alice").status == AnswerStatus::Unavailable);
    BOOST_CHECK(fleet.ask("show vms").rows.size() == 10);
}

BOOST_AUTO_TEST_CASE(APlanShowsTheBudgetAndWritesNothing)
{
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table };
    auto answer = fleet.order(platform, "plan drain vm v1", "c1", "alice");
    BOOST_TEST(formatForPeople(answer)
        == "budget      vms  allowed  spent  after  effect\n"
           "pool plans    7        1      1      2  waits\n"
           "rack r1       2        1      0      1  may go ahead\n"
           "zone a        4        1      1      2  waits\n"
           "nothing was done (plan)\n"
           "(3 rows, version 1, 150ms old)\n");
    BOOST_TEST(fleet.table.version() == 1);
}

BOOST_AUTO_TEST_CASE(BadCommandsSayWhatIsWrong)
{
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table };
    auto messageOf
        = [&](const std::string& text) { return fleet.order(platform, text, "c1", "alice").message; };
    BOOST_TEST(messageOf("drain vm v77") == "nothing was done: there is no VM \"v77\" in any pool");
    BOOST_TEST(messageOf("move vm v1 to pool x") == "nothing was done: there is no pool \"x\"");
    BOOST_TEST(messageOf("create pool plans") == "nothing was done: config/pool/plans exists already");
    BOOST_TEST(messageOf("declare service s pool = plans slots = 0")
        == "nothing was done: config/service/s: slotsPerTarget must be from 1 to 1000");
    BOOST_TEST(messageOf("set pool plans spare = yes")
        == "nothing was done: only one pool can be the spare: plans, spare");
    BOOST_TEST(messageOf("release vm v1") == "nothing was done: VM v1 is not in quarantine");
    BOOST_TEST(fleet.table.version() == 1);
}

namespace {

// Sends commands of several operators on one VM again and again while replies get lost. Returns what went
// wrong: an accepted command without a row, a row written twice, or two winners of the same base.
std::string runConflicts(const std::vector<std::uint8_t>& script, bool ignoresConditions)
{
    SmallFleet fleet;
    std::map<std::string, Version> firstVersions;
    const Version base = fleet.table.version();
    for (auto step : script) {
        auto number = std::to_string(step % 4);
        FaultyPlatform platform { fleet.table, false, step % 3 == 0 ? 1 : 0, ignoresConditions };
        platform.beforeCommit = [&, step] {
            FaultyPlatform rival { fleet.table, false, 0, ignoresConditions };
            if (step % 5 == 0)
                (void)fleet.order(rival, "undrain vm v1", "r" + number, "rival" + number, base);
        };
        auto answer = fleet.order(platform, "drain vm v1", "x" + number, "operator" + number, base);
        auto rows = fleet.table.read("command/x" + number, 0).rows;
        if ((answer.status == AnswerStatus::Waiting) != (rows.size() == 1))
            return "the answer and the table differ";
        for (const auto& row : fleet.table.read(keys::commandPrefix, base).rows)
            if (firstVersions.try_emplace(row.key, row.version).first->second != row.version)
                return "a command was written twice";
        if (firstVersions.size() > 1)
            return "two commands won on the same base";
    }
    return {};
}

} // namespace

RC_BOOST_PROP(OneCommandWinsOnEachBase, (const std::vector<std::uint8_t>& script))
{
    RC_ASSERT(runConflicts(script, false).empty());
}

BOOST_AUTO_TEST_CASE(WhatHasNotBegunCanBeCancelled)
{
    SmallFleet fleet;
    FaultyPlatform platform { fleet.table };
    (void)fleet.order(platform, "drain vm v1", "c1", "alice");
    auto cancel = fleet.order(platform, "cancel command c1", "c2", "bob");
    BOOST_CHECK(cancel.status == AnswerStatus::Ok);
    auto row = decodeCommandRow(fleet.table.read("command/c1", 0).rows.front());
    BOOST_CHECK(row->state == fleet::CommandState::Cancelled);
    BOOST_TEST(row->detail == "cancelled by command c2 of bob");
    auto begun = fleet.order(platform, "cancel command c0", "c3", "bob");
    BOOST_CHECK(begun.status == AnswerStatus::Conflict);
    BOOST_TEST(begun.message
        == "nothing was done: command c0 of alice: drain vm v3 (running) has begun; undrain its VM to take "
           "it "
           "back");
    BOOST_CHECK(fleet.order(platform, "cancel command c9", "c4", "bob").status == AnswerStatus::BadStatement);
}

// The check must see it if the table does not look at the conditions.
BOOST_AUTO_TEST_CASE(ConflictsAreSeenWithoutConditions)
{
    BOOST_TEST(!runConflicts({ 5, 1, 10, 2, 0, 3 }, true).empty());
}

RC_BOOST_PROP(AnswersSurviveJson, (const std::string& message, double number, std::uint32_t age))
{
    Answer answer = sentence(AnswerStatus::Conflict, "m");
    answer.columns = { { "a", FieldType::Text }, { "b", FieldType::Number }, { "c", FieldType::Age } };
    answer.rows = { { std::string("x"), number, std::chrono::milliseconds(age) } };
    answer.missingZones = { ZoneId("z") };
    auto copy = answerFromJson(toJson(answer));
    RC_ASSERT(copy.has_value());
    RC_ASSERT(*copy == answer);
    RC_ASSERT(!answerFromJson(message).has_value());
    RC_ASSERT(!operatorRequestFromJson(message).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
