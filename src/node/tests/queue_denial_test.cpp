#include "node/queue_denial.h"
#include "node/request_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(queue_denial)

// Guards against a node without the store that denies a queue which was added meanwhile.
BOOST_AUTO_TEST_CASE(AConfigurationOlderThanTheApplyTimeDeniesNoQueue)
{
    BOOST_TEST(!mayDenyQueue(2'000ms, 2s));
    BOOST_TEST(!mayDenyQueue(6'400ms, 2s));
    BOOST_TEST(!mayDenyQueue(3'500ms, 3s));
}

// Without changes the store confirms the configuration once per poll.
BOOST_AUTO_TEST_CASE(AConfigurationConfirmedByTheLastPollDeniesQueues)
{
    BOOST_TEST(mayDenyQueue(feedWait + 200ms, 2s));
}

BOOST_AUTO_TEST_SUITE_END()
