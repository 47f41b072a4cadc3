#include "node/stop_plan.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(stop_plan)

// Guards against accepting calls so late that the exit cuts them off, as one accepted 4.6 s after the stop
// signal.
BOOST_AUTO_TEST_CASE(TheExitCutsOffNoCall)
{
    BOOST_TEST(!acceptsCalls(4600ms, 6s));
    BOOST_TEST(acceptsCalls(3900ms, 6s));
    BOOST_TEST(!mayExit({ 4900ms, 6s, 1, 1, 1s }));
    BOOST_TEST(!mayExit({ 4900ms, 6s, 0, 1, 10ms }));
    BOOST_TEST(mayExit({ 4900ms, 6s, 0, 1, 1s }));
    BOOST_TEST(mayExit({ 5700ms, 6s, 1, 1, 0ms }));
}

// Guards against a call that is accepted well after the stop signal, waits its whole time for a holder that
// is busy, and is cut off by the exit: one accepted after 3.3 s had until 6.15 s, and the process exited
// after 5.7 s.
BOOST_AUTO_TEST_CASE(EachAcceptedCallIsAnsweredBeforeTheExit)
{
    constexpr auto flush = 200ms;
    for (auto grace : { 3s, 6s, 20s }) {
        for (auto elapsed = 0ms; acceptsCalls(elapsed, grace); elapsed += 50ms) {
            auto answeredBy = elapsed + timeToAnswer(elapsed, grace);
            BOOST_TEST(timeToAnswer(elapsed, grace) >= 1s);
            BOOST_TEST(mustAnswerNow(answeredBy, grace));
            BOOST_TEST(!mayExit({ answeredBy + flush, grace, 1, 1, 0ms }));
        }
        BOOST_TEST(mustAnswerNow(grace - 300ms, grace));
        BOOST_TEST(!mustAnswerNow(0ms, grace));
    }
}

// What came in while a process was late is read before the exit, unless the kill is near.
BOOST_AUTO_TEST_CASE(ALateTickDoesNotExit)
{
    for (auto elapsed : { 3000ms, 5000ms, 5700ms }) {
        BOOST_TEST(mayExit({ elapsed, 6s, 0, 0, 1s, 50ms }));
        BOOST_TEST(!mayExit({ elapsed, 6s, 0, 0, 1s, 300ms }));
    }
    BOOST_TEST(mayExit({ 5900ms, 6s, 1, 1, 0ms, 300ms }));
}

BOOST_AUTO_TEST_CASE(ServesConnectedCallersUntilShortlyBeforeTheKill)
{
    BOOST_TEST(!mayExit({ 1s, 6s, 0, 0, 1s }));
    BOOST_TEST(!mayExit({ 3s, 6s, 0, 2, 1s }));
    BOOST_TEST(mayExit({ 3s, 6s, 0, 0, 1s }));
}

BOOST_AUTO_TEST_SUITE_END()
