#include "schedule_world.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::fleet;
using namespace fulmar::fleet::test;

namespace {

Schedule randomSchedule(std::mt19937& random, std::size_t length)
{
    std::uniform_int_distribution<int> byte(0, 255);
    Schedule schedule;
    for (std::size_t each = 0; each < length; ++each) {
        // Drawn one by one: the order of evaluation of arguments differs between platforms.
        auto second = std::uint8_t(byte(random));
        auto first = std::uint8_t(byte(random));
        schedule.emplace_back(first, second);
    }
    return schedule;
}

constexpr int schedulesPerDefect = 300;
constexpr std::size_t scheduleLength = 60;

// Runs random schedules until a check fails; empty if none does.
std::string violationOf(Defect defect)
{
    std::mt19937 random(7);
    for (int each = 0; each < schedulesPerDefect; ++each) {
        ScheduleWorld world(defect);
        world.run(randomSchedule(random, scheduleLength));
        if (!world.violation().empty())
            return world.violation();
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Schedules)

// Schedules combine pauses, lost and late replies, outages, entries cut off from the platform, restarts,
// entries started from a peer's copy of the configuration, and conflicting commands.
RC_BOOST_PROP(VmServesOnePoolAndBudgetsHold, (const Schedule& schedule))
{
    ScheduleWorld world;
    world.run(schedule);
    RC_ASSERT(world.violation() == "");
}

BOOST_AUTO_TEST_CASE(SchedulesMoveAndMaintainVms)
{
    std::mt19937 random(7);
    std::size_t poolChanges = 0;
    std::size_t reboots = 0;
    for (int each = 0; each < 40; ++each) {
        ScheduleWorld world;
        world.run(randomSchedule(random, scheduleLength));
        BOOST_TEST(world.violation() == "");
        poolChanges += world.poolChanges();
        reboots += world.reboots();
    }
    BOOST_TEST_MESSAGE("pool changes " << poolChanges << ", reboots " << reboots);
    BOOST_TEST(poolChanges > 0);
    BOOST_TEST(reboots > 0);
}

BOOST_AUTO_TEST_CASE(InjectedDefectsAreDetected)
{
    for (auto defect : { Defect::EntriesAlwaysConfirm, Defect::CommitsIgnoreConditions,
             Defect::DependentsNotReported, Defect::UnresponsiveMeansGone }) {
        auto violation = violationOf(defect);
        BOOST_TEST_MESSAGE("defect " << int(defect) << ": " << violation);
        BOOST_TEST(!violation.empty(), "defect " << int(defect) << " was not detected");
    }
}

BOOST_AUTO_TEST_SUITE_END()
