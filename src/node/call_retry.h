#pragma once

#include "node/job_call.h"

namespace fulmar::node {

// How to proceed after a holder's reply to a call.
enum class RetryStep : std::uint8_t {
    // Pass the reply to the caller.
    Answer,
    // Repeat the call. Holders identify a job by its id, so a call with an unknown outcome can be repeated to
    // the same holder, or to the next one, which has restored what the last one stored.
    Retry,
    // Tell the caller that the outcome is unknown.
    AnswerUncertain,
};

// `wasUncertain`: an earlier attempt of this call may have taken effect, so a refusal no longer proves that
// the job will not run. `left` is the time until the caller's deadline.
[[nodiscard]] RetryStep decideRetry(JobVerdict, bool wasUncertain, std::chrono::milliseconds left);

// Time-out of one attempt, by the time left until the caller's deadline.
[[nodiscard]] std::chrono::milliseconds attemptTimeout(std::chrono::milliseconds left);

// Pause before the next attempt.
inline constexpr std::chrono::milliseconds retryInterval { 100 };

// Retry-after for a caller when the shard has no holder: another process acquires the shard once its lease of
// 3 s expires, or sooner.
inline constexpr std::chrono::milliseconds noHolderRetryAfter { 1'000 };
// A released shard is acquired within about acquireTimeAfterRelease, so calls are retried rather than
// refused, for maxWaitForNextHolder at most.
inline constexpr std::chrono::milliseconds acquireTimeAfterRelease { 300 };
inline constexpr std::chrono::milliseconds maxWaitForNextHolder { 1'000 };

// The reply of a process that does not hold the shard. `isReleased`: the shard has been or is being released,
// and the next holder is about to acquire it.
[[nodiscard]] JobReply noHolderReply(bool isReleased);
// Whether the call was refused only because the shard was released and is not acquired yet.
[[nodiscard]] bool isRefusedAfterRelease(const JobReply&);

} // namespace fulmar::node
