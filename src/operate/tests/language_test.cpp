#include "operate/language.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::operate;

namespace {

Statement parsed(std::string_view text)
{
    auto statement = parseStatement(text);
    std::string problem = statement ? "" : formatSyntaxError(text, statement.error());
    BOOST_REQUIRE_EQUAL(problem, "");
    return *statement;
}

std::string errorOf(std::string_view text)
{
    auto statement = parseStatement(text);
    BOOST_REQUIRE_MESSAGE(!statement.has_value(), text);
    return std::to_string(statement.error().column) + " " + statement.error().expected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Language)

BOOST_AUTO_TEST_CASE(QueriesParse)
{
    auto query
        = std::get<Query>(parsed("show vms where pool = plans and state = leaving order by since limit 20"));
    BOOST_TEST(query.filters.size() == 2);
    BOOST_TEST(query.filters[1].value == "leaving");
    BOOST_TEST(query.order->field == "since");
    BOOST_TEST(*query.limit == 20);
    BOOST_TEST(std::get<Query>(parsed("count tasks by state")).groupBy == "state");
    BOOST_CHECK((std::get<WhyQuery>(parsed("why task t9")).entity == Entity { EntityKind::Task, "t9" }));
    auto timeline = std::get<TimelineQuery>(parsed("timeline vm v17 last 10m"));
    BOOST_TEST(timeline.last->count() == 600'000);
}

BOOST_AUTO_TEST_CASE(CommandsParse)
{
    auto drain = std::get<Command>(parsed("drain vm v17 because \"disk \\\"sda\\\"\""));
    BOOST_CHECK(std::get<DrainVm>(drain.body) == DrainVm { VmId("v17") });
    BOOST_TEST(drain.because == "disk \"sda\"");
    auto service
        = std::get<ChangeService>(std::get<Command>(parsed("declare service plans pool plans slots 8")).body);
    BOOST_TEST(service.creates);
    BOOST_TEST(*service.slots == 8u);
    auto quota = std::get<ChangeQuota>(
        std::get<Command>(parsed("set quota team ops processors = 40 memory = 64GB")).body);
    BOOST_TEST(*quota.memoryMb == 65536u);
    BOOST_TEST(std::get<Command>(parsed("plan wave over pool plans")).dryRun);
    BOOST_TEST(std::get<Command>(parsed("plan move vm v17 to pool spare")).dryRun);
}

// The texts are part of the operators' interface.
BOOST_AUTO_TEST_CASE(ErrorsNameTheColumnAndWhatWasExpected)
{
    BOOST_TEST(errorOf("shw vms").starts_with("1 show, count, why"));
    BOOST_TEST(errorOf("show cars").starts_with("6 vms, pools"));
    BOOST_TEST(errorOf("show pools where colour = red")
        == "18 one of pool, vms, serving, leaving, maintenance, failed, budget, spent, spare, version");
    BOOST_TEST(errorOf("show vms where pool plans") == "21 =, !=, <, <=, >, >= or ~");
    BOOST_TEST(errorOf("drain vm") == "9 a name");
    BOOST_TEST(errorOf("drain v17") == "7 'vm'");
    BOOST_TEST(errorOf("drain vm v17 now") == "14 'because' or the end of the statement");
    BOOST_TEST(errorOf("create pool p unavailable 110%") == "27 a share from 0 to 1, or from 0% to 100%");
    BOOST_TEST(errorOf("set service s speed = 3")
        == "15 one of pool, slots, connections, queueLimit, timeout, retryShare");
    BOOST_TEST(errorOf("why vm \"v17").starts_with("12 a closing quote"));
    BOOST_TEST(errorOf("cancel wave w1") == "8 'task' or 'command'");
}

BOOST_AUTO_TEST_SUITE_END()
