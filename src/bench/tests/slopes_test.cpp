#include "bench/fleet_rows.h"
#include "bench/slope.h"
#include "config/replica.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::bench;

BOOST_AUTO_TEST_SUITE(Slopes)

RC_BOOST_PROP(APerfectLineIsFoundAgain, (std::int16_t fixed, std::int16_t perUnit))
{
    std::vector<SlopePoint> points;
    for (double size : { 1.0, 4.0, 9.0, 20.0 })
        points.push_back({ size, fixed + perUnit * size });
    auto fit = fitLine(points);
    RC_ASSERT(std::abs(fit.fixed - fixed) < 1e-6);
    RC_ASSERT(std::abs(fit.perUnit - perUnit) < 1e-6);
}

BOOST_AUTO_TEST_CASE(ABentLineShowsItsError)
{
    BOOST_TEST(fitLine({ { 1, 1 }, { 2, 4 }, { 3, 9 } }).worstError > 0.3);
}

BOOST_AUTO_TEST_CASE(TheFleetHasTheDesignSize)
{
    ConfigReplica replica;
    replica.apply(configurationRows({}));
    BOOST_TEST(replica.rows().size() == 5200u + 2 * 202 + 590);
    BOOST_TEST(replica.version() == replica.rows().size());
}

BOOST_AUTO_TEST_SUITE_END()
