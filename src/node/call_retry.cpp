#include "node/call_retry.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// At least four times the normal answer time of a holder (50 ms), and at most a little more than its answer
// time while the store is slow (1 s).
constexpr std::chrono::milliseconds minAttemptTimeout { 200 };
constexpr std::chrono::milliseconds maxAttemptTimeout { 1'200 };

} // namespace

RetryStep decideRetry(JobVerdict verdict, bool wasUncertain, std::chrono::milliseconds left)
{
    // An earlier attempt may still be processed after this one was refused.
    auto saysNotRun = verdict == JobVerdict::NotHolder || verdict == JobVerdict::Rejected
        || verdict == JobVerdict::Unavailable || verdict == JobVerdict::UnknownKey
        || verdict == JobVerdict::OtherTeam;
    auto isUncertain = verdict == JobVerdict::Uncertain || (saysNotRun && wasUncertain);
    if (!isUncertain)
        return RetryStep::Answer;
    return left > retryInterval + minAttemptTimeout ? RetryStep::Retry : RetryStep::AnswerUncertain;
}

JobReply noHolderReply(bool isReleased)
{
    JobReply reply;
    reply.verdict = JobVerdict::NotHolder;
    reply.retryAfter = isReleased ? acquireTimeAfterRelease : noHolderRetryAfter;
    reply.reason = isReleased ? "changing-hands" : "no-holder";
    return reply;
}

// Of all NotHolder replies, only noHolderReply() for a released shard has such a short retry-after.
bool isRefusedAfterRelease(const JobReply& reply)
{
    return reply.verdict == JobVerdict::NotHolder && reply.retryAfter > std::chrono::milliseconds(0)
        && reply.retryAfter <= acquireTimeAfterRelease;
}

std::chrono::milliseconds attemptTimeout(std::chrono::milliseconds left)
{
    return std::clamp(left, minAttemptTimeout, maxAttemptTimeout);
}

} // namespace fulmar::node
