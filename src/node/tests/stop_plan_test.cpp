#include "node/stop_plan.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(stop_plan)

// Found by a hunt on kspf-sched (scale-1, seed 982683143126): a call taken 4.6 s after the order was cut by
// the exit.
BOOST_AUTO_TEST_CASE(NoCallIsCutByTheExit)
{
    BOOST_TEST(!acceptsCalls(4600ms, 6s));
    BOOST_TEST(acceptsCalls(3900ms, 6s));
    BOOST_TEST(!mayExit({ 4900ms, 6s, 1, 1, 1s }));
    BOOST_TEST(!mayExit({ 4900ms, 6s, 0, 1, 10ms }));
    BOOST_TEST(mayExit({ 4900ms, 6s, 0, 1, 1s }));
    BOOST_TEST(mayExit({ 5700ms, 6s, 1, 1, 0ms }));
}

BOOST_AUTO_TEST_CASE(CallersThatStayConnectedAreServedUntilLate)
{
    BOOST_TEST(!mayExit({ 1s, 6s, 0, 0, 1s }));
    BOOST_TEST(!mayExit({ 3s, 6s, 0, 2, 1s }));
    BOOST_TEST(mayExit({ 3s, 6s, 0, 0, 1s }));
}

BOOST_AUTO_TEST_SUITE_END()
