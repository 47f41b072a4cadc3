#include "node/call_retry.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// A holder answers within 50 ms normally, and within 1 s when the store is slow.
constexpr std::chrono::milliseconds minTryTimeout { 200 };
constexpr std::chrono::milliseconds maxTryTimeout { 1'200 };

} // namespace

RetryStep decideRetry(JobVerdict verdict, bool wasUncertain, std::chrono::milliseconds left)
{
    // An earlier attempt may still be processed after this one was refused.
    auto saysNotRun = verdict == JobVerdict::NotHolder || verdict == JobVerdict::Rejected
        || verdict == JobVerdict::Unavailable;
    auto isUncertain = verdict == JobVerdict::Uncertain || (saysNotRun && wasUncertain);
    if (!isUncertain)
        return RetryStep::Answer;
    return left > retryInterval + minTryTimeout ? RetryStep::Retry : RetryStep::AnswerUncertain;
}

JobReply noHolderReply(bool isChangingHands)
{
    JobReply reply;
    reply.verdict = JobVerdict::NotHolder;
    reply.retryAfter = isChangingHands ? handOverTime : noHolderRetryAfter;
    reply.reason = isChangingHands ? "changing-hands" : "no-holder";
    return reply;
}

bool isBetweenHolders(const JobReply& reply)
{
    return reply.verdict == JobVerdict::NotHolder && reply.retryAfter > std::chrono::milliseconds(0)
        && reply.retryAfter <= handOverTime;
}

std::chrono::milliseconds tryTimeout(std::chrono::milliseconds left)
{
    return std::clamp(left, minTryTimeout, maxTryTimeout);
}

} // namespace fulmar::node
