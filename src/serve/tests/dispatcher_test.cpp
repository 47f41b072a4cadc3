#include "serve/dispatcher.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::serve;
using namespace std::chrono_literals;

namespace {

const TimePoint t0 { 1000s };

DirectoryChange directoryOf(std::size_t targets)
{
    ServiceEntry entry;
    entry.config.service = ServiceId("plans");
    entry.config.pool = PoolId("p");
    entry.config.queueLimit = 4;
    for (std::size_t i = 0; i < targets; ++i)
        entry.targets.push_back({ VmId("vm" + std::to_string(i)), "127.0.0.1:1", ZoneId("a"),
            RackId("r" + std::to_string(i)), true, 1 });
    DirectoryChange directory;
    directory.changed.push_back(entry);
    return directory;
}

Dispatcher makeDispatcher(std::size_t targets)
{
    DispatcherSettings settings;
    settings.zone = ZoneId("a");
    settings.process = ProcessId("e1");
    settings.incarnation = 7;
    Dispatcher dispatcher(settings);
    std::ignore = dispatcher.applyDirectory(directoryOf(targets), t0);
    std::ignore = dispatcher.setEntryVms({ { ProcessId("e1"), ZoneId("a") } }, t0);
    return dispatcher;
}

CallInfo callOf(const std::string& method)
{
    CallInfo call;
    call.service = ServiceId("plans");
    call.method = method;
    call.caller = "crew";
    return call;
}

template <typename T> const T* only(const Actions& actions)
{
    return actions.size() == 1 ? std::get_if<T>(&actions.front()) : nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DispatcherCalls)

BOOST_AUTO_TEST_CASE(AResponseIsForwardedToItsCaller)
{
    auto dispatcher = makeDispatcher(2);
    auto started = dispatcher.onCall(1, callOf("POST"), t0);
    const auto* start = only<StartAttempt>(started);
    BOOST_REQUIRE(start);
    auto ended = dispatcher.onAttemptEnd(start->attempt, { Outcome::Ran, 200, {}, false, false, {} }, t0);
    const auto* forward = only<ForwardResponse>(ended);
    BOOST_REQUIRE(forward);
    BOOST_TEST(forward->request == 1U);
    BOOST_TEST(dispatcher.isIdle());
    auto counts = dispatcher.counts(t0);
    BOOST_TEST(counts.calls == 1U);
    BOOST_TEST(counts.attempts == 1U);
    BOOST_TEST(counts.answered == 1U);
    BOOST_TEST(counts.inFlight == 0U);
}

BOOST_AUTO_TEST_CASE(ANonIdempotentCallIsRetriedOnlyIfProvenNotRun)
{
    for (auto outcome : { Outcome::NotRun, Outcome::MayHaveRun }) {
        auto dispatcher = makeDispatcher(2);
        auto started = dispatcher.onCall(1, callOf("POST"), t0);
        const auto* first = only<StartAttempt>(started);
        BOOST_REQUIRE(first);
        auto ended = dispatcher.onAttemptEnd(
            first->attempt, { outcome, {}, Reason::TargetFailed, false, false, {} }, t0);
        auto later = dispatcher.onTick(t0 + 1s);
        if (outcome == Outcome::NotRun) {
            const auto* second = only<StartAttempt>(later);
            BOOST_REQUIRE(second);
            BOOST_TEST(second->target != first->target);
        } else {
            const auto* refuse = only<Refuse>(ended);
            BOOST_REQUIRE(refuse);
            BOOST_TEST(refuse->failure.outcome == Outcome::MayHaveRun);
            BOOST_TEST(later.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(ALeavingTargetGetsNoNewCall)
{
    auto dispatcher = makeDispatcher(1);
    dispatcher.onTargetLeaving(VmId("vm0"), t0);
    auto refused = dispatcher.onCall(1, callOf("GET"), t0);
    const auto* refuse = only<Refuse>(refused);
    BOOST_REQUIRE(refuse);
    BOOST_TEST(refuse->failure.outcome == Outcome::NotRun);
    BOOST_TEST(refuse->failure.reason == Reason::NoTarget);

    // A row with the same epoch as the report changes nothing; a row with a higher epoch that says Serving
    // clears it.
    std::ignore = dispatcher.applyDirectory(directoryOf(1), t0);
    BOOST_TEST(only<Refuse>(dispatcher.onCall(2, callOf("GET"), t0)));
    auto newer = directoryOf(1);
    newer.changed.front().targets.front().epoch = 2;
    std::ignore = dispatcher.applyDirectory(newer, t0);
    BOOST_TEST(only<StartAttempt>(dispatcher.onCall(3, callOf("GET"), t0)));
}

BOOST_AUTO_TEST_CASE(APeersReportOfALeavingTargetIsApplied)
{
    auto first = makeDispatcher(1);
    auto second = makeDispatcher(1);
    first.onTargetListed(VmId("vm0"), true);
    std::ignore = second.onPeerLoad(ProcessId("e0"), first.loadFor(ProcessId("e1"), t0), t0);
    BOOST_TEST(only<Refuse>(second.onCall(1, callOf("GET"), t0)));
}

BOOST_AUTO_TEST_CASE(AKeyIsClaimedBeforeItIsSentAndItsResponseStored)
{
    auto dispatcher = makeDispatcher(1);
    auto call = callOf("POST");
    call.idempotencyKey = "k1";
    auto claimed = dispatcher.onCall(1, call, t0);
    BOOST_REQUIRE(only<ClaimKey>(claimed));
    auto started = dispatcher.onClaim(1, ClaimWon {}, t0);
    const auto* start = only<StartAttempt>(started);
    BOOST_REQUIRE(start);
    auto ended = dispatcher.onAttemptEnd(start->attempt, { Outcome::Ran, 200, {}, false, false, 10 }, t0);
    BOOST_TEST(ended.size() == 2U);
    BOOST_TEST(only<ForwardStoredResponse>(dispatcher.onCall(2, call, t0)));
}

BOOST_AUTO_TEST_SUITE_END()
