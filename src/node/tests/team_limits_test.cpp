#include "node/team_limits.h"
#include "node/tests/fake_platform.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;
using test::FakePlatform;
using test::TransactionFate;

namespace {

const TeamId team { "t" };

// The only shard of a fleet, as far as teams go.
struct OneShard {
    FakePlatform fake;
    asio::io_context loop;
    platform::HttpClient http { loop };
    platform::StoreClient store { http, fake.address() };
    NodeMetrics metrics;
    BootClock clock;
    jobs::TeamQuota quota { 1 };
    TeamLimits limits { loop, store, metrics, quota, 3s, { [] { return 0ms; }, [] {} } };

    OneShard() { fake.checkConditions(); }
    void configure(std::int64_t cpu)
    {
        jobs::FleetConfig config;
        config.version = 1;
        config.teams.emplace({ teams::TeamConfig { team, {}, 1, { cpu, 0, 0 } } });
        limits.configure(config, 0, 1);
    }
    bool mayStart(std::int64_t cpu) { return quota.ledger().mayStart(team, {}, { cpu, 0, 0 }); }
    bool runUntil(const std::function<bool()>& isMet, std::chrono::milliseconds time = 5s)
    {
        for (auto end = clock.now() + time; clock.now() < end;) {
            limits.update();
            limits.write(clock.now());
            if (isMet())
                return true;
            loop.restart();
            loop.run_one_for(5ms);
        }
        return false;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(team_limits, OneShard)

// Guards against starts before the claim, the rows and the announcement, and against none afterwards, also if
// the answer to the claim is lost.
BOOST_AUTO_TEST_CASE(ClaimsAndAnnouncesBeforeItStarts)
{
    std::atomic<int> transactions { 0 };
    fake.setFate([&](const auto&) {
        return transactions++ == 0 ? TransactionFate::AnswerLost : TransactionFate::Committed;
    });
    BOOST_TEST(!mayStart(1'000));
    configure(2'000);
    BOOST_TEST(!mayStart(1'000));
    BOOST_REQUIRE(runUntil([&] { return mayStart(2'000); }));
    auto row = teams::decodeHolderRow(fake.value(teamLimitsTable, "", teams::holderKey(0)));
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->limits != 0U);
}

// Guards against calls to the store where no team has a limit.
BOOST_AUTO_TEST_CASE(MakesNoCallsWithoutLimits)
{
    configure(0);
    BOOST_TEST(!runUntil([&] { return !fake.rows().empty(); }, 300ms));
    BOOST_TEST(mayStart(1'000'000));
}

BOOST_AUTO_TEST_SUITE_END()
