#include "node/request_schedule.h"

#include <algorithm>
#include <cassert>

namespace fulmar::node {

namespace {

constexpr std::chrono::milliseconds answerTimeout { 1'500 };
// All nodes retry after an outage; a few calls per second from each stay well below the store's rate limit.
constexpr std::chrono::milliseconds retryPause { 250 };

} // namespace

RequestSchedule::Plan RequestSchedule::plan(std::chrono::milliseconds wait) const
{
    return m_attempts == 0 ? Plan { wait, false } : Plan { std::chrono::milliseconds(0), true };
}

void RequestSchedule::onSent(TimePoint now, const Plan& plan)
{
    ++m_attempts;
    m_nextSend = now + plan.wait + answerPatience;
}

void RequestSchedule::onProgress(TimePoint now)
{
    if (m_nextSend)
        m_nextSend = std::max(*m_nextSend, now + answerPatience);
}

void RequestSchedule::onAnswer(TimePoint now, std::chrono::milliseconds pause)
{
    m_attempts = 0;
    m_nextSend = now + pause;
}

void RequestSchedule::onFailure(TimePoint now)
{
    m_nextSend = std::min(m_nextSend.value_or(TimePoint::max()), now + retryPause);
}

std::chrono::milliseconds feedWaitFor(std::chrono::milliseconds maxAge)
{
    assert(maxAge >= minNewsAge);
    return std::min(maxFeedWait, maxAge - answerPatience - transferTime);
}

TimePoint confirmedTime(TimePoint sent, std::chrono::milliseconds wait, TimePoint received)
{
    return received <= sent + wait + answerPatience ? received : sent;
}

std::chrono::milliseconds requestTimeout(std::chrono::milliseconds wait) { return wait + answerTimeout; }

} // namespace fulmar::node
