#include "serve/attempt_verdict.h"

namespace fulmar::serve {

namespace {

bool isWhole(const TransferFacts& facts)
{
    if (facts.stop != TransferStop::Finished || !facts.status)
        return false;
    switch (facts.framing) {
    case BodyFraming::None:
        return true;
    case BodyFraming::ContentLength:
        return facts.bodyBytes == facts.contentLength;
    case BodyFraming::Chunked:
        return facts.lastChunkSeen;
    case BodyFraming::UntilClose:
        return false;
    }
    return false;
}

Reason reasonOf(const TransferFacts& facts)
{
    if (facts.stop == TransferStop::TimedOut)
        return Reason::DeadlineExceeded;
    if (facts.stop == TransferStop::Cancelled)
        return Reason::Cancelled;
    return facts.status ? Reason::Truncated : Reason::TargetFailed;
}

} // namespace

AttemptEnd classifyTransfer(const TransferFacts& facts)
{
    AttemptEnd end { Outcome::MayHaveRun, {}, reasonOf(facts), facts.targetLeaving, facts.responseStarted,
        {} };
    // A response that arrives before any byte of the request was sent belongs to some other request. It is
    // not forwarded and proves nothing.
    if (facts.requestBytesSent == 0) {
        end.outcome = facts.status ? Outcome::MayHaveRun : Outcome::NotRun;
        return end;
    }
    if (isWhole(facts)) {
        end.outcome = Outcome::Ran;
        end.status = facts.status;
        end.bufferedBytes = facts.bufferedBytes;
    }
    return end;
}

} // namespace fulmar::serve
