#include "jobs/tests/fleet_replay.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::jobs;
using namespace fulmar::jobs::test;

namespace {

FleetReplay runReplay(ReplaySettings settings, const std::vector<ReplayJob>& jobs)
{
    FleetReplay replay(settings);
    replay.play(jobs, 30s);
    BOOST_TEST(replay.duplicateRuns == 0U);
    BOOST_TEST(replay.overcommits == 0U);
    return replay;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replay)

BOOST_AUTO_TEST_CASE(BurstWithinCapacityIsServedInTime)
{
    auto jobs = burstOfSmallJobs(15, 4s, 0.2, 1);
    auto replay = runReplay({}, jobs);
    BOOST_TEST(replay.rejected == 0U);
    BOOST_TEST(replay.inTime >= replay.submitted * 95 / 100);
}

// One in eighteen orders of a burst gets no answer and is carried out late. Nine of ten jobs must still end
// in time, as without lost answers; a fixed timeout of 1.5 s makes most of the affected jobs late.
BOOST_AUTO_TEST_CASE(LostAnswersDoNotMakeJobsLate)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto jobs = burstOfSmallJobs(15, 4s, 0.2, seed);
        ReplaySettings settings;
        settings.lostAnswerShare = 0.055;
        settings.seed = seed;
        auto adaptive = runReplay(settings, jobs);
        settings.fixedTimeout = 1'500ms;
        auto withFixedTimeout = runReplay(settings, jobs);
        BOOST_TEST_MESSAGE("seed " << seed << ": in time " << adaptive.inTime << " of " << adaptive.submitted
                                   << ", with fixed timeout " << withFixedTimeout.inTime << "; polls "
                                   << adaptive.polls << ", with fixed timeout " << withFixedTimeout.polls);
        BOOST_TEST(adaptive.inTime >= adaptive.submitted * 90 / 100);
        BOOST_TEST(withFixedTimeout.inTime < adaptive.inTime);
    }
}

BOOST_AUTO_TEST_SUITE_END()
