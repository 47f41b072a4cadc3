#pragma once

#include <chrono>

namespace fulmar::node {

// Longest transfer of an answer to a caller.
inline constexpr std::chrono::milliseconds denialMargin { 100 };

// Whether a caller may be told that a queue does not exist because the configuration lacks it. `configAge` is
// the time since the store confirmed that configuration. A queue that was added meanwhile must be served once
// `applyTime` has passed, so an older configuration denies nothing: the caller is asked to come back.
[[nodiscard]] constexpr bool mayDenyQueue(
    std::chrono::milliseconds configAge, std::chrono::milliseconds applyTime)
{
    return configAge + denialMargin <= applyTime;
}

} // namespace fulmar::node
