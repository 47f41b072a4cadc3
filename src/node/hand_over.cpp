#include "node/hand_over.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// A new holder has asked all runners by then.
constexpr std::chrono::milliseconds settleTime { 1'500 };
// A hand-over leaves the shard without a holder for a fraction of a second, and its VMs without moves for
// longer; in vain it should cost no more than a tenth of the time at first, and little later.
constexpr std::chrono::milliseconds firstPause { 10'000 };
constexpr std::chrono::milliseconds longestPause { 160'000 };

} // namespace

bool HandOverPlan::isDue(std::size_t held, TimePoint newestSince, TimePoint now)
{
    if (held > 1)
        return now >= m_notBefore && now >= newestSince + settleTime;
    // Somebody took it: the next time is a first one again.
    if (now >= m_notBefore)
        m_pause = {};
    return false;
}

void HandOverPlan::onBegun(TimePoint now)
{
    m_pause = m_pause.count() == 0 ? firstPause : std::min(m_pause * 2, longestPause);
    m_notBefore = now + m_pause;
}

} // namespace fulmar::node
