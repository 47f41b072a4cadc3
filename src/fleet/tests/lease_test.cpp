#include "faulty_platform.h"
#include "fleet/lease.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <string>
#include <utility>
#include <vector>

using namespace fulmar;
using namespace fulmar::fleet;
using namespace fulmar::standin;
using std::chrono::seconds;

namespace {

constexpr LeaseSettings settings { seconds(10), seconds(2), seconds(4) };

// A process with its own clock; the process may be paused.
struct Process {
    Process(PlatformState& state, const std::string& name, const LeaseSettings& leaseSettings)
        : platform(state)
        , keeper(platform, clock, "duty", 1, ProcessId(name), leaseSettings)
    {
    }

    FaultyPlatform platform;
    ManualClock clock;
    LeaseKeeper<FaultyPlatform, ManualClock> keeper;
};

class Pair {
public:
    explicit Pair(const LeaseSettings& leaseSettings = settings)
        : first(state, "first", leaseSettings)
        , second(state, "second", leaseSettings)
    {
    }

    // Advances both clocks, and steps the processes that are not paused.
    void run(Duration span, bool firstSteps = true, bool secondSteps = true)
    {
        for (Duration passed {}; passed < span; passed += std::chrono::milliseconds(500)) {
            first.clock.advance(std::chrono::milliseconds(500));
            second.clock.advance(std::chrono::milliseconds(500));
            if (firstSteps)
                first.keeper.step();
            if (secondSteps)
                second.keeper.step();
            bothHeld = bothHeld || (first.keeper.holds(0) && second.keeper.holds(0));
        }
    }

    PlatformState state;
    Process first;
    Process second;
    bool bothHeld { false };
};

using Schedule = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

bool bothHeldAfter(const Schedule& schedule, const LeaseSettings& leaseSettings)
{
    Pair pair(leaseSettings);
    for (auto [action, argument] : schedule) {
        auto& process = argument % 2 == 0 ? pair.first : pair.second;
        if (action % 4 == 0)
            process.platform.addFault(CallFault(argument / 2 % 5));
        else if (action % 4 == 1)
            process.platform.setDown(argument % 4 < 2);
        else
            pair.state.deliverLate();
        pair.run(seconds(argument % 7), action % 3 != 0, action % 5 != 0);
    }
    return pair.bothHeld;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Lease)

BOOST_AUTO_TEST_CASE(PausedHolderStopsBeforeAnotherTakesOver)
{
    Pair pair;
    pair.run(seconds(5));
    BOOST_REQUIRE(pair.first.keeper.holds(0));
    auto staleFence = *pair.first.keeper.fence(0);
    pair.run(seconds(8), false);
    BOOST_TEST(!pair.first.keeper.holds(0));
    BOOST_TEST(!pair.second.keeper.holds(0));
    pair.run(seconds(5), false);
    BOOST_TEST(pair.second.keeper.holds(0));
    BOOST_TEST(pair.second.keeper.epoch(0) == 2);
    // A write that the paused holder prepared under its old fence is refused.
    auto late = pair.state.table.commit({ OperationId("late"), { staleFence }, { { "x", "1", false } } });
    BOOST_REQUIRE(!late.has_value());
    BOOST_TEST(late.error().reason == Reason::Conflict);
}

// The restore loses the lease row, but a paused holder may still rely on it; another process must wait for
// the lease's length.
BOOST_AUTO_TEST_CASE(TableRestoreDelaysTakeover)
{
    Pair pair;
    pair.run(seconds(5));
    pair.state.table.restoreTo(0);
    pair.run(seconds(5), false);
    BOOST_TEST(!pair.second.keeper.holds(0));
    pair.run(seconds(7), false);
    BOOST_TEST(pair.second.keeper.holds(0));
    BOOST_TEST(!pair.bothHeld);
}

BOOST_AUTO_TEST_CASE(LostReplyToAClaimIsResolvedByReading)
{
    Pair pair;
    pair.first.platform.addFault(CallFault::None);
    pair.first.platform.addFault(CallFault::LostReply);
    pair.run(seconds(5), true, false);
    BOOST_TEST(pair.first.keeper.holds(0));
    BOOST_TEST(pair.first.keeper.epoch(0) == 1);
}

// While all clocks run at the same rate, two processes never consider themselves holders at the same time.
RC_BOOST_PROP(AtMostOneHolder, (const Schedule& schedule)) { RC_ASSERT(!bothHeldAfter(schedule, settings)); }

// Checks that AtMostOneHolder can fail: with a negative margin a holder still acts after another process took
// over.
BOOST_AUTO_TEST_CASE(NegativeMarginIsDetected)
{
    Pair pair({ seconds(10), seconds(2), seconds(-4) });
    pair.run(seconds(5));
    pair.run(seconds(13), false);
    BOOST_TEST(pair.bothHeld);
}

BOOST_AUTO_TEST_SUITE_END()
