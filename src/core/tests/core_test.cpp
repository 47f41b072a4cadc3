#include "core/event.h"
#include "core/log.h"
#include "core/log_limit.h"
#include "core/ring.h"
#include "core/verdict.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace fulmar;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Core)

BOOST_AUTO_TEST_CASE(FullRingDoesNotConsumeTheItem)
{
    BoundedRing<std::unique_ptr<int>> ring(1);
    BOOST_TEST(ring.tryPush(std::make_unique<int>(1)));
    auto second = std::make_unique<int>(2);
    BOOST_TEST(!ring.tryPush(std::move(second)));
    BOOST_TEST(second != nullptr); // NOLINT(bugprone-use-after-move): a refused item must stay intact.
    BOOST_TEST(**ring.tryPop() == 1);
    ring.close();
    BOOST_TEST(!ring.popFor(1h).has_value());
}

BOOST_AUTO_TEST_CASE(StampsNeverDecrease)
{
    EventLog log(ProcessId("a"), 2);
    log.record(WallTime(10ms), "one", {});
    log.observe({ WallTime(50ms), 3 });
    log.record(WallTime(11ms), "two", {});
    log.record(WallTime(60ms), "three", { { "vm", "v 1" } });
    auto events = log.snapshot();
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST((events[0].stamp == EventStamp { WallTime(50ms), 4 }));
    BOOST_TEST((events[1].stamp == EventStamp { WallTime(60ms), 0 }));
    BOOST_TEST(formatEvent(events[1]) == "ts=60.0 process=a event=three vm=\"v 1\"");
}

BOOST_AUTO_TEST_CASE(NotRunFailureHasOutcomeNotRun)
{
    Result<int> refused = notRun(Reason::Overloaded, "queue full");
    BOOST_TEST(refused.error().outcome == Outcome::NotRun);
    BOOST_TEST(toString(Outcome::MayHaveRun) == "may-have-run");
}

BOOST_AUTO_TEST_CASE(LogLinesBeyondTheLimitAreCounted)
{
    LogLimit limit;
    TimePoint now { std::chrono::seconds(100) };
    int admitted = 0;
    for (int i = 0; i < 1'000; ++i)
        admitted += limit.admit("admission", now) ? 1 : 0;
    BOOST_TEST(admitted == 200);
    BOOST_TEST(limit.admit("answer", now));
    BOOST_TEST(limit.takeOmitted(now).empty());
    now += std::chrono::seconds(1);
    auto omitted = limit.takeOmitted(now);
    BOOST_REQUIRE_EQUAL(omitted.size(), 1U);
    BOOST_TEST(omitted[0].second == 800U);
    BOOST_TEST(limit.admit("admission", now));
}

BOOST_AUTO_TEST_SUITE_END()
