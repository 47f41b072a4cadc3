#pragma once

#include "core/clock.h"

#include <chrono>
#include <optional>

namespace fulmar::node {

// Decides when a follower of a store table sends its next request. The follower takes a step with each
// answer: it reads the next page of a snapshot, or the next changes.
class RequestSchedule {
public:
    // A request was sent whose answer the store may hold back for `wait`.
    void onSent(TimePoint now, std::chrono::milliseconds wait);
    // The first answer of the current step arrived; the next step begins after `pause`.
    void onAnswer(TimePoint now, std::chrono::milliseconds pause);
    // The store refused a request of the current step, or did not answer it within its time-out.
    void onFailure(TimePoint now);

    // When to send the next request; empty while only an answer or a failure can bring one.
    [[nodiscard]] std::optional<TimePoint> nextSend() const { return m_nextSend; }

private:
    std::optional<TimePoint> m_nextSend;
};

// How long the store may hold back the answer to a feed poll.
inline constexpr std::chrono::milliseconds feedWait { 1'500 };

// Time-out of a request whose answer the store may hold back for `wait`.
[[nodiscard]] std::chrono::milliseconds requestTimeout(std::chrono::milliseconds wait);

} // namespace fulmar::node
