#include "node/request_schedule.h"

namespace fulmar::node {

namespace {

constexpr std::chrono::milliseconds answerTimeout { 1'500 };
// All nodes retry after an outage; a few calls per second from each stay well below the store's rate limit.
constexpr std::chrono::milliseconds retryPause { 250 };

} // namespace

void RequestSchedule::onSent(TimePoint, std::chrono::milliseconds) { m_nextSend.reset(); }

void RequestSchedule::onAnswer(TimePoint now, std::chrono::milliseconds pause) { m_nextSend = now + pause; }

void RequestSchedule::onFailure(TimePoint now) { m_nextSend = now + retryPause; }

std::chrono::milliseconds requestTimeout(std::chrono::milliseconds wait) { return wait + answerTimeout; }

} // namespace fulmar::node
