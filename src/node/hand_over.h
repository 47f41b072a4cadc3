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
    // The average lag has been, for some time, comparable to the time-out of an order to a runner.
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
    // Consecutive hand-overs of the shard by holders that were never stable with it.
    std::uint32_t consecutiveHandOvers { 0 };
};

// Whether another process, if there is one, may be a better holder.
[[nodiscard]] bool isSuboptimal(const HolderState&);

// Decides when a process starts to hand a shard over. Load pattern: holders are partitioned or stopped, and a
// single remaining or small process takes their shards; once the others are back it still holds them and
// answers late while they are idle. A process cannot know whether a better holder exists, so it hands the
// shard over on trial, with exponential back-off while no better one keeps it.
[[nodiscard]] bool isHandOverDue(const HolderState&, TimePoint now);

// A holder that is not suboptimal this long after it acquired the shard is stable.
inline constexpr std::chrono::milliseconds stabilizationTime { 20'000 };

// No VM orders are sent in this time before a hand-over: the next holder's orders must come at least one
// lease after the last of this holder, and an unanswered order may still be in flight.
inline constexpr std::chrono::milliseconds vmOrderQuiescePeriod { 3'500 };

} // namespace fulmar::node
