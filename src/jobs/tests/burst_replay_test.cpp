#include "jobs/tests/burst_replay.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

struct Comparison {
    ReplayCost with;
    ReplayCost without;
};

Comparison compare(TurnLoad load, std::string_view name)
{
    Comparison sum;
    for (load.seed = 1; load.seed <= 10; ++load.seed) {
        sum.with += replayTurns(load, true);
        sum.without += replayTurns(load, false);
    }
    auto show = [](const ReplayCost& cost) {
        return std::to_string(cost.late) + " late, " + std::to_string(int(cost.vmSeconds)) + " VM-s, "
            + std::to_string(cost.moves) + " moves";
    };
    BOOST_TEST_MESSAGE(name << " period " << load.period.count() << " length " << load.length.count()
                            << " jitter " << load.jitter.count() << " day " << load.day.count() << ": jobs "
                            << sum.with.jobs << "; without " << show(sum.without) << "; with "
                            << show(sum.with) << "; came " << sum.with.bursts.hits << ", missed "
                            << sum.with.bursts.misses);
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(burst_replay)

// A forecast must pay whatever a late job is worth in VM-seconds: the weightings span what the users' cost
// models give.
BOOST_AUTO_TEST_CASE(ForecastOfRegularTurnsPays)
{
    for (Millis period : { 16'000ms, 20'000ms, 28'000ms, 36'000ms })
        for (Millis jitter : { 0ms, 300ms, 800ms }) {
            auto [with, without] = compare({ 4, period, period / 4, jitter }, "turns");
            for (double lateJob : { 4, 10, 25 })
                BOOST_TEST(with.total(lateJob) < without.total(lateJob));
        }
}

BOOST_AUTO_TEST_CASE(TurnsAtRandomTimesCostNoMore)
{
    for (Millis period : { 16'000ms, 36'000ms }) {
        auto [with, without] = compare({ 4, period, period / 4, 0ms, true, 600'000ms }, "random");
        for (double lateJob : { 4, 10, 25 })
            BOOST_TEST(with.total(lateJob) < without.total(lateJob) * 1.01);
    }
}

BOOST_AUTO_TEST_SUITE_END()
