#pragma once

#include "core/clock.h"

#include <cstddef>

namespace fulmar::node {

// Decides when a process gives a shard up to others. Load pattern: holders are cut off or stopped, and the
// one process that is left takes their shards too; when the others are back it still carries them all,
// answers late, and they idle. A process cannot know whether another one is there to take a shard, so it
// tries, and tries less often while nobody does.
class HandOverPlan {
public:
    // `held`: shards that this process holds; `newestSince`: when it took the last of them.
    [[nodiscard]] bool isDue(std::size_t held, TimePoint newestSince, TimePoint now);
    // A hand-over begins.
    void onBegun(TimePoint now);

private:
    std::chrono::milliseconds m_pause { 0 };
    TimePoint m_notBefore;
};

// From the last order for a VM until the shard is given up: the next holder's orders may not come within a
// lease of this one's, and one that was not answered may still be on its way.
inline constexpr std::chrono::milliseconds quietBeforeHandOver { 3'500 };

} // namespace fulmar::node
