#include "node/call_retry.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(call_retry)

BOOST_AUTO_TEST_CASE(AnUnknownOutcomeIsAskedForAgainWhileThereIsTime)
{
    BOOST_TEST(bool(decideRetry(JobVerdict::Uncertain, false, 2s) == RetryStep::Retry));
    BOOST_TEST(bool(decideRetry(JobVerdict::Uncertain, true, 2s) == RetryStep::Retry));
    BOOST_TEST(bool(decideRetry(JobVerdict::Uncertain, false, 250ms) == RetryStep::AnswerUncertain));
}

// A refusal says nothing of an earlier try, which may have been stored or may still be handled: to say that
// the job does not run would be untrue.
BOOST_AUTO_TEST_CASE(NotRunIsNeverSaidAfterAnUnknownOutcome)
{
    for (auto verdict : { JobVerdict::NotHolder, JobVerdict::Rejected, JobVerdict::Unavailable }) {
        BOOST_TEST(bool(decideRetry(verdict, false, 2s) == RetryStep::Answer));
        BOOST_TEST(bool(decideRetry(verdict, true, 2s) == RetryStep::Retry));
        BOOST_TEST(bool(decideRetry(verdict, true, 100ms) == RetryStep::AnswerUncertain));
    }
}

// A shard that was given up has a holder again within a fraction of a second: its callers wait that long,
// those of a shard that was lost are told at once to come back.
BOOST_AUTO_TEST_CASE(OnlyAShardThatChangesHandsIsWaitedFor)
{
    BOOST_TEST(isBetweenHolders(noHolderReply(true)));
    BOOST_TEST(!isBetweenHolders(noHolderReply(false)));
    BOOST_TEST(!isBetweenHolders(unknownJobReply(false)));
    BOOST_TEST(!isBetweenHolders({ JobVerdict::Rejected, {}, 0, handOverTime, "overload" }));
    BOOST_TEST(!isBetweenHolders({ JobVerdict::Uncertain, {}, 0, handOverTime, "shard-lost" }));
}

BOOST_AUTO_TEST_CASE(SureRepliesArePassedOn)
{
    for (auto verdict : { JobVerdict::Done, JobVerdict::UnknownJob })
        for (auto wasUncertain : { false, true })
            BOOST_TEST(bool(decideRetry(verdict, wasUncertain, 2s) == RetryStep::Answer));
}

BOOST_AUTO_TEST_SUITE_END()
