#include "node/hand_over.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// Weight of one sample of the 50 ms timer: averages over 20 samples, which is 1 s.
constexpr double lagWeight = 0.05;
// A quarter of the shortest time-out of an order to a runner (100 ms).
constexpr std::chrono::milliseconds overloadLag { 25 };
// Restoring a shard of 1,000 jobs takes a quarter of a core for 1 s and must not count as overload.
constexpr std::chrono::milliseconds overloadTime { 2'000 };
// By this time a new holder has polled all runners.
constexpr std::chrono::milliseconds settleTime { 1'500 };
// A hand-over leaves the shard without a holder for a fraction of a second, and its VMs without moves for
// longer. With this back-off, a shard for which there is no better holder is without a holder for at most a
// tenth of the time at first, and for less as the back-off doubles.
constexpr std::chrono::milliseconds firstHandOverBackoff { 5'000 };
constexpr std::uint32_t maxBackoffDoublings = 5;
// After this many consecutive hand-overs, by any holders, a small holder that is not overloaded keeps its
// only shard; after fewer, larger processes may still be unreachable.
constexpr std::uint32_t handOversUntilSmallHolderKeeps = 2;

std::chrono::milliseconds handOverBackoff(std::uint32_t consecutiveHandOvers)
{
    return consecutiveHandOvers == 0
        ? settleTime
        : firstHandOverBackoff * (1U << std::min(consecutiveHandOvers - 1, maxBackoffDoublings));
}

} // namespace

void LoopLag::observe(TimePoint due, TimePoint now)
{
    auto late = std::max<std::chrono::duration<double, std::milli>>(
        now - due, std::chrono::duration<double, std::milli>(0));
    m_average += (late - m_average) * lagWeight;
    if (m_average < overloadLag)
        m_lateSince.reset();
    else if (!m_lateSince)
        m_lateSince = now;
    m_observedAt = now;
}

std::chrono::milliseconds LoopLag::average() const
{
    return std::chrono::round<std::chrono::milliseconds>(m_average);
}

bool LoopLag::isOverloaded() const { return m_lateSince && m_observedAt >= *m_lateSince + overloadTime; }

bool isSuboptimal(const HolderState& holder)
{
    return holder.shardsHeld > 1 || holder.isOverloaded || holder.isSmall;
}

bool isHandOverDue(const HolderState& holder, TimePoint now)
{
    // If all processes are small, one of them has to keep the shard.
    auto isBetterElsewhere = holder.shardsHeld > 1
        || (holder.isSmall && holder.consecutiveHandOvers < handOversUntilSmallHolderKeeps);
    auto backoff = handOverBackoff(holder.consecutiveHandOvers);
    if (isBetterElsewhere)
        return now >= holder.lastShardChange + backoff;
    return holder.isOverloaded && now >= holder.lastShardChange + std::max(backoff, firstHandOverBackoff);
}

} // namespace fulmar::node
