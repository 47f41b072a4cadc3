#include "serve/claim_batch.h"
#include "serve/keyed_calls.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::serve;
using namespace std::chrono_literals;

// One test for each row of the outage table in docs/design/at-most-once.md.

namespace {

const TimePoint t0 { 1000s };
const std::string key = "s k1";
const KeyOwner self { ProcessId("e1"), 11 };
const KeyOwner peer { ProcessId("e2"), 22 };

std::string mintedBy(const KeyOwner& owner) { return "s " + formatMintedKey({ ZoneId("a"), owner, t0, 1 }); }

template <typename T> const T* only(const KeyedStep& step)
{
    return step.actions.size() == 1 ? std::get_if<T>(&step.actions.front()) : nullptr;
}

void expectRefusal(const KeyedStep& step, Outcome outcome, Reason reason)
{
    const auto* refuse = only<Refuse>(step);
    BOOST_REQUIRE(refuse);
    BOOST_TEST(refuse->failure.outcome == outcome);
    BOOST_TEST(refuse->failure.reason == reason);
    BOOST_TEST(!step.proceed.has_value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeyOutages)

BOOST_AUTO_TEST_CASE(WithoutTheTableACallersKeyIsNotSent)
{
    KeyedCalls calls(self, {});
    BOOST_REQUIRE(only<ClaimKey>(calls.onCall(1, key, 7, t0)));
    expectRefusal(calls.onClaim(1, key, ClaimUnknown {}), Outcome::MayHaveRun, Reason::StoreUnavailable);
    // The table is available again. The claim that was committed although its reply was lost is recognized as
    // ours and unused.
    auto step = calls.onCall(2, key, 7, t0);
    const auto* claim = only<ClaimKey>(step);
    BOOST_REQUIRE(claim);
    auto earlier = claim->claim;
    --earlier.grant.serial;
    BOOST_TEST(calls.onClaim(2, key, ClaimHeld { earlier }).proceed.value_or(0) == 2U);
}

BOOST_AUTO_TEST_CASE(AForgottenKeyIsNotSentAgainUnderItsOldClaim)
{
    KeyRegistryLimits limits;
    limits.keys = 1;
    KeyedCalls calls(self, limits);
    auto step = calls.onCall(1, key, 7, t0);
    auto claim = only<ClaimKey>(step)->claim;
    BOOST_TEST(calls.onClaim(1, key, ClaimWon {}).proceed.has_value());
    calls.onSent(key);
    std::ignore = calls.onResponse(key, 1, 10);
    std::ignore = calls.onCall(2, "s other", 7, t0);
    BOOST_REQUIRE(only<ClaimKey>(calls.onCall(3, key, 7, t0)));
    expectRefusal(calls.onClaim(3, key, ClaimHeld { claim }), Outcome::MayHaveRun, Reason::KeyUnknown);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatIsGoneOrUnreachableMeansMayHaveRun)
{
    for (auto knowledge : { KeyKnowledge::Gone, KeyKnowledge::Unreachable, KeyKnowledge::MayHaveRun }) {
        KeyedCalls calls(self, {});
        std::ignore = calls.onCall(1, key, 7, t0);
        auto asked = calls.onClaim(1, key, ClaimHeld { { { peer, 5 }, 7 } });
        const auto* ask = only<AskKeyOwner>(asked);
        BOOST_REQUIRE(ask);
        BOOST_TEST((ask->question.holder == KeyGrant { peer, 5 }));
        expectRefusal(calls.onOwnerReply(1, key, { knowledge, {} }), Outcome::MayHaveRun, Reason::KeyUnknown);
    }
}

BOOST_AUTO_TEST_CASE(AMintedKeyNeedsNoTable)
{
    auto minted = mintedBy(self);
    KeyedCalls calls(self, {});
    BOOST_TEST(calls.onCall(1, minted, 7, t0).proceed.value_or(0) == 1U);
    calls.onSent(minted);
    std::ignore = calls.onResponse(minted, 1, 10);
    BOOST_TEST(only<ForwardStoredResponse>(calls.onCall(2, minted, 7, t0)));
    // At another entry VM the owner is asked instead of the table.
    KeyedCalls elsewhere(peer, {});
    BOOST_TEST(only<AskKeyOwner>(elsewhere.onCall(1, minted, 7, t0)));
}

BOOST_AUTO_TEST_CASE(AMintedKeyOfAnEarlierIncarnationIsNotSent)
{
    KeyOwner nextIncarnation { self.process, self.incarnation + 1 };
    auto minted = mintedBy(self);
    KeyedCalls elsewhere(peer, {});
    auto asked = elsewhere.onCall(1, minted, 7, t0);
    KeyedCalls next(nextIncarnation, {});
    auto reply = next.onKeyQuestion(only<AskKeyOwner>(asked)->question, t0);
    BOOST_TEST((reply.knowledge == KeyKnowledge::Gone));
    // The next incarnation asks its own process, which has no memory of the key.
    auto own = next.onCall(1, minted, 7, t0);
    const auto* ask = only<AskKeyOwner>(own);
    BOOST_REQUIRE(ask);
    BOOST_TEST((next.onKeyQuestion(ask->question, t0).knowledge == KeyKnowledge::Gone));
}

BOOST_AUTO_TEST_CASE(AMintedKeyPastItsRetentionIsNotSent)
{
    KeyedCalls calls(self, {});
    expectRefusal(calls.onCall(1, mintedBy(self), 7, t0 + 2h), Outcome::MayHaveRun, Reason::KeyUnknown);
}

BOOST_AUTO_TEST_CASE(AnUnsentKeyIsHandedOverOnce)
{
    auto minted = mintedBy(self);
    KeyedCalls owner(self, {});
    KeyedCalls elsewhere(peer, {});
    auto asked = elsewhere.onCall(1, minted, 7, t0);
    auto question = only<AskKeyOwner>(asked)->question;
    BOOST_TEST((owner.onKeyQuestion(question, t0).knowledge == KeyKnowledge::HandedOver));
    // The reply is lost. The next question shows that the right was transferred to the asker, which never
    // used it.
    expectRefusal(elsewhere.onOwnerReply(1, minted, { KeyKnowledge::Unreachable, {} }), Outcome::MayHaveRun,
        Reason::KeyUnknown);
    auto again = elsewhere.onCall(2, minted, 7, t0);
    auto reply = owner.onKeyQuestion(only<AskKeyOwner>(again)->question, t0);
    BOOST_TEST((reply.knowledge == KeyKnowledge::Moved));
    BOOST_TEST(elsewhere.onOwnerReply(2, minted, reply).proceed.value_or(0) == 2U);
    // The owner itself no longer runs the key.
    BOOST_TEST(only<AskKeyOwner>(owner.onCall(1, minted, 7, t0)));
}

BOOST_AUTO_TEST_CASE(AKeyReusedForAnotherRequestIsBadInput)
{
    KeyedCalls calls(self, {});
    std::ignore = calls.onCall(1, key, 7, t0);
    expectRefusal(calls.onCall(2, key, 8, t0), Outcome::NotRun, Reason::BadInput);
    auto held = calls.onClaim(1, key, ClaimHeld { { { peer, 5 }, 9 } });
    expectRefusal(held, Outcome::NotRun, Reason::BadInput);
}

BOOST_AUTO_TEST_CASE(AResendWaitsForTheRunAndGetsItsResponse)
{
    KeyedCalls calls(self, {});
    std::ignore = calls.onCall(1, key, 7, t0);
    std::ignore = calls.onClaim(1, key, ClaimWon {});
    calls.onSent(key);
    BOOST_TEST(calls.onCall(2, key, 7, t0).actions.empty());
    // The first caller disconnects; the run continues for the resend.
    BOOST_TEST(calls.onRequestGone(1, key).actions.empty());
    auto step = calls.onResponse(key, 5, 10);
    BOOST_REQUIRE(step.actions.size() == 2U);
    BOOST_TEST(std::get<StoreResponse>(step.actions[0]).attempt == 5U);
    BOOST_TEST(std::get<ForwardStoredResponse>(step.actions[1]).request == 2U);
}

BOOST_AUTO_TEST_CASE(AKeyWithoutStoredResponseIsReportedAsRan)
{
    auto minted = mintedBy(self);
    KeyedCalls calls(self, {});
    std::ignore = calls.onCall(1, minted, 7, t0);
    calls.onSent(minted);
    BOOST_TEST(only<ForwardResponse>(calls.onResponse(minted, 5, {})));
    expectRefusal(calls.onCall(2, minted, 7, t0), Outcome::Ran, Reason::KeyUnknown);
    KeyQuestion question { minted, 7, { self, 0 }, { peer, 1 } };
    BOOST_TEST((calls.onKeyQuestion(question, t0).knowledge == KeyKnowledge::RanAnswerLost));
}

BOOST_AUTO_TEST_CASE(ClaimsShareATransactionAndAConflictAffectsOnlyItsOwnClaim)
{
    ClaimBatch batch;
    KeyClaim mine { { self, 1 }, 7 };
    KeyClaim theirs { { peer, 1 }, 7 };
    batch.add({ 1, "s a", mine });
    batch.add({ 2, "s b", mine });
    auto transaction = batch.next(OperationId("o1"), WallTime {});
    BOOST_REQUIRE(transaction);
    BOOST_TEST(transaction->writes.size() == 2U);
    BOOST_TEST(batch.onCommit(notRun(Reason::Conflict, "")).empty());
    auto row = claimRowKey("s a");
    auto held = batch.onRead(row, Changes { { { row, encodeClaim(theirs, {}), 3, {}, false } }, 3 });
    BOOST_REQUIRE(held.size() == 1U);
    BOOST_TEST((std::get<ClaimHeld>(held[0].result).claim == theirs));
    BOOST_TEST(batch.onRead(claimRowKey("s b"), Changes { {}, 3 }).empty());
    auto second = batch.next(OperationId("o2"), WallTime {});
    BOOST_REQUIRE(second);
    BOOST_TEST(second->writes.size() == 1U);
    auto done = batch.onCommit(Version(4));
    BOOST_REQUIRE(done.size() == 1U);
    BOOST_TEST(std::holds_alternative<ClaimWon>(done[0].result));
    BOOST_TEST(batch.isIdle());
}

BOOST_AUTO_TEST_SUITE_END()
