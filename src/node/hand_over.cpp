#include "node/hand_over.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// A timer of a twentieth of a second: twenty samples are a second.
constexpr double lagWeight = 0.05;
// A quarter of the least time after which an order without an answer is sent again.
constexpr std::chrono::milliseconds overloadLag { 25 };
// A new holder has asked all runners by then.
constexpr std::chrono::milliseconds settleTime { 1'500 };
// A hand-over leaves the shard without a holder for a fraction of a second, and its VMs without moves for
// longer; in vain it should cost no more than a tenth of the time at first, and little later.
constexpr std::chrono::milliseconds firstPause { 5'000 };
constexpr std::uint32_t maxDoublings = 5;
// A small process that copes offers its shard so many times in a row: larger ones may be away at first.
constexpr std::uint32_t offersOfSmall = 2;

std::chrono::milliseconds pauseAfter(std::uint32_t offers)
{
    return offers == 0 ? settleTime : firstPause * (1U << std::min(offers - 1, maxDoublings));
}

} // namespace

void LoopLag::observe(TimePoint due, TimePoint now)
{
    auto late = std::max<std::chrono::duration<double, std::milli>>(
        now - due, std::chrono::duration<double, std::milli>(0));
    m_average += (late - m_average) * lagWeight;
}

std::chrono::milliseconds LoopLag::average() const
{
    return std::chrono::round<std::chrono::milliseconds>(m_average);
}

bool LoopLag::isOverloaded() const { return m_average >= overloadLag; }

bool isStrained(const HolderState& holder)
{
    return holder.held > 1 || holder.isOverloaded || holder.isSmall;
}

bool isHandOverDue(const HolderState& holder, TimePoint now)
{
    // Where all are small, somebody has to hold the shard.
    auto isSettled = holder.held <= 1 && !holder.isOverloaded && holder.offers >= offersOfSmall;
    return isStrained(holder) && !isSettled && now >= holder.changedAt + pauseAfter(holder.offers);
}

} // namespace fulmar::node
