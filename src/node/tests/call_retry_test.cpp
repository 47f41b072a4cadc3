#include "node/call_retry.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(call_retry)

BOOST_AUTO_TEST_CASE(RetriesAnUnknownOutcomeWhileTimeIsLeft)
{
    BOOST_TEST(bool(decideRetry(JobVerdict::Uncertain, false, 2s) == RetryStep::Retry));
    BOOST_TEST(bool(decideRetry(JobVerdict::Uncertain, true, 2s) == RetryStep::Retry));
    BOOST_TEST(bool(decideRetry(JobVerdict::Uncertain, false, 250ms) == RetryStep::AnswerUncertain));
}

// A refusal proves nothing about an earlier attempt, which may have been stored or may still be processed, so
// the caller must not be told that the job will not run.
BOOST_AUTO_TEST_CASE(NeverReportsNotRunAfterAnUnknownOutcome)
{
    for (auto verdict : { JobVerdict::NotHolder, JobVerdict::Rejected, JobVerdict::Unavailable,
             JobVerdict::UnknownKey, JobVerdict::OtherTeam }) {
        BOOST_TEST(bool(decideRetry(verdict, false, 2s) == RetryStep::Answer));
        BOOST_TEST(bool(decideRetry(verdict, true, 2s) == RetryStep::Retry));
        BOOST_TEST(bool(decideRetry(verdict, true, 100ms) == RetryStep::AnswerUncertain));
    }
}

// A released shard has a new holder within a fraction of a second, so its callers wait. Callers of a lost
// shard are refused immediately, with a retry-after.
BOOST_AUTO_TEST_CASE(WaitsForTheNextHolderOnlyAfterARelease)
{
    BOOST_TEST(isRefusedAfterRelease(noHolderReply(true)));
    BOOST_TEST(!isRefusedAfterRelease(noHolderReply(false)));
    BOOST_TEST(!isRefusedAfterRelease(unknownJobReply(false)));
    BOOST_TEST(!isRefusedAfterRelease({ JobVerdict::Rejected, {}, 0, acquireTimeAfterRelease, "overload" }));
    BOOST_TEST(
        !isRefusedAfterRelease({ JobVerdict::Uncertain, {}, 0, acquireTimeAfterRelease, "shard-lost" }));
}

BOOST_AUTO_TEST_CASE(PassesOnDefiniteReplies)
{
    for (auto verdict : { JobVerdict::Done, JobVerdict::UnknownJob })
        for (auto wasUncertain : { false, true })
            BOOST_TEST(bool(decideRetry(verdict, wasUncertain, 2s) == RetryStep::Answer));
}

BOOST_AUTO_TEST_SUITE_END()
