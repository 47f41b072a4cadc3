#pragma once

#include "node/job_call.h"

namespace fulmar::node {

// What to do with a holder's reply to a call.
enum class RetryStep : std::uint8_t {
    // Pass the reply on.
    Answer,
    // Ask again: holders know a job by its id, so that a call whose outcome is unknown can be made once more,
    // to
    // the same holder or to the next one, which has read what the last one stored.
    Retry,
    // The outcome stays unknown.
    AnswerUncertain,
};

// `wasUncertain`: an earlier try of this call may have taken effect, so that "not done" can no longer be said
// for sure. `left` is the time until the caller's deadline.
[[nodiscard]] RetryStep decideRetry(JobVerdict, bool wasUncertain, std::chrono::milliseconds left);

// Time for one try with that much left.
[[nodiscard]] std::chrono::milliseconds tryTimeout(std::chrono::milliseconds left);

// Pause before the next try.
inline constexpr std::chrono::milliseconds retryInterval { 100 };

// When a caller may come back that found no holder: others take a lost shard after its lease of three
// seconds, or sooner.
inline constexpr std::chrono::milliseconds noHolderRetryAfter { 1'000 };
// A shard that was given up is taken within about this time, so that a call is tried again rather than
// refused; for this long at most.
inline constexpr std::chrono::milliseconds handOverTime { 300 };
inline constexpr std::chrono::milliseconds maxHandOverWait { 1'000 };

// The reply of a process that does not hold the shard; it may be between two holders.
[[nodiscard]] JobReply noHolderReply(bool isChangingHands);
// Nothing was done, and the next holder is about to take the shard.
[[nodiscard]] bool isBetweenHolders(const JobReply&);

} // namespace fulmar::node
