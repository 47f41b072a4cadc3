#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace fulmar::node {

// Event-loop lag: the lateness of a periodic timer, averaged over about 1 s. Detects a process that is short
// of processor time.
class LoopLag {
public:
    // Records that the timer due at `due` is handled at `now`.
    void observe(TimePoint due, TimePoint now);
    [[nodiscard]] std::chrono::milliseconds average() const;
    // The average lag has been at least 25 ms for 2 s.
    [[nodiscard]] bool isOverloaded() const;

private:
    std::chrono::duration<double, std::milli> m_average { 0 };
    std::optional<TimePoint> m_lateSince;
    TimePoint m_observedAt;
};

// Load of a holder, and the history of the shard that it may hand over.
struct HolderState {
    // Shards that this process holds.
    std::size_t shardsHeld { 0 };
    bool isOverloaded { false };
    // It has less of a core than a holder needs at peak load, and usually a smaller link as well.
    bool isSmall { false };
    // When it took this shard or last gave one up; its load takes time to settle after that.
    TimePoint lastShardChange;
    // As in LeaseOwner (shard_lease.h).
    std::uint32_t consecutiveHandOvers { 0 };
};

// Whether another process, if there is one, may be a better holder.
[[nodiscard]] bool isSuboptimal(const HolderState&);

// Decides when a process starts to hand a shard over. Load pattern: some holders are partitioned or stopped,
// and one remaining or small process acquires their shards. When the other processes are back, this process
// still holds the shards and answers late, while the other processes are idle. A process cannot know whether
// a better holder exists, so it releases the shard speculatively, with an exponential back-off over
// consecutive hand-overs.
[[nodiscard]] bool isHandOverDue(const HolderState&, TimePoint now);

// A holder that still suits the shard (see isSuboptimal()) this long after acquiring it counts as stable.
inline constexpr std::chrono::milliseconds stabilizationTime { 20'000 };

// No VM orders are sent in this time before a hand-over. The first order of the next holder must come at
// least one lease length (3 s) after the last order of this holder; the remaining time is for an order that
// is still in flight.
inline constexpr std::chrono::milliseconds vmOrderQuiescePeriod { 3'500 };

} // namespace fulmar::node
