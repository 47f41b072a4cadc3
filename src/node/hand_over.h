#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace fulmar::node {

// How late a process gets to what is due: the lateness of its own timer, averaged over a second. Tells a
// process whose processor is used up, or that is slow, from one that is well.
class LoopLag {
public:
    // A timer that was due at `due` is handled now.
    void observe(TimePoint due, TimePoint now);
    [[nodiscard]] std::chrono::milliseconds average() const;
    // For some time orders and answers have waited for about as long as this process waits for a runner's
    // answer.
    [[nodiscard]] bool isOverloaded() const;

private:
    std::chrono::duration<double, std::milli> m_average { 0 };
    std::optional<TimePoint> m_lateSince;
    TimePoint m_observedAt;
};

// A holder and one of its shards.
struct HolderState {
    // Shards that this process holds.
    std::size_t shardsHeld { 0 };
    bool isOverloaded { false };
    // It has less of a core than a holder needs at the worst load, and a smaller link mostly.
    bool isSmall { false };
    // When it took the shard, or gave its last one up: its load is not yet what it will be.
    TimePoint lastShardChange;
    // Times in a row that the shard was given up by holders that did not cope.
    std::uint32_t consecutiveHandOvers { 0 };
};

// Whether another process, if one is there, may be the better holder.
[[nodiscard]] bool isSuboptimal(const HolderState&);

// Decides when a process begins to give a shard up to others. Load pattern: holders are cut off or stopped,
// and the one process that is left, or a small one, takes their shards; when the others are back it still
// carries them, answers late, and they idle. A process cannot know whether another one is there to take a
// shard, so it tries, and tries less often while nobody better does.
[[nodiscard]] bool isHandOverDue(const HolderState&, TimePoint now);

// A holder that was not strained for this long after it took the shard copes with it.
inline constexpr std::chrono::milliseconds stabilizationTime { 20'000 };

// From the last order for a VM until the shard is given up: the next holder's orders may not come within a
// lease of this one's, and one that was not answered may still be on its way.
inline constexpr std::chrono::milliseconds vmOrderQuiescePeriod { 3'500 };

} // namespace fulmar::node
