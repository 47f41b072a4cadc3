#pragma once

#include "core/clock.h"

#include <chrono>
#include <optional>

namespace fulmar::node {

// Decides when a follower of a store table sends its next request. The follower takes a step with each
// answer: it reads the next page of a snapshot, or the next changes. A request may be lost without a sign of
// it: in an outage, or on a dead connection. So an overdue request is not waited for: others are sent beside
// it, and the first answer counts. How long a follower is without news then depends on the wait of
// its polls and answerPatience, not on time-outs.
class RequestSchedule {
public:
    // How the next request of the current step is to be sent.
    struct Plan {
        // How long the store may hold back the answer.
        std::chrono::milliseconds wait { 0 };
        // Not on an idle connection, which may be dead as well.
        bool opensConnection { false };
    };
    // `wait` is how long the store may hold back the answer if nothing suggests that it is away.
    [[nodiscard]] Plan plan(std::chrono::milliseconds wait) const;

    // A request was sent as planned.
    void onSent(TimePoint now, const Plan&);
    // A part of an answer arrived.
    void onProgress(TimePoint now);
    // The first answer of the current step arrived; the next step begins after `pause`.
    void onAnswer(TimePoint now, std::chrono::milliseconds pause);
    // The store refused a request of the current step, or did not answer it within its time-out.
    void onFailure(TimePoint now);

    // When to send the next request; empty before the first one.
    [[nodiscard]] std::optional<TimePoint> nextSend() const { return m_nextSend; }
    // Requests of the current step that were sent.
    [[nodiscard]] int attempts() const { return m_attempts; }

private:
    int m_attempts { 0 };
    std::optional<TimePoint> m_nextSend;
};

// How long the store may hold back the answer to a feed poll.
inline constexpr std::chrono::milliseconds maxFeedWait { 1'500 };
// An answer that is this late is overdue.
inline constexpr std::chrono::milliseconds answerPatience { 400 };
// Longest exchange with a store that answers at once.
inline constexpr std::chrono::milliseconds transferTime { 100 };
// Least bound that a follower can keep.
inline constexpr std::chrono::milliseconds minNewsAge { 600 };

// The wait with which the rows of a follower are at most `maxAge` old, even if a poll is lost and another
// request has to be sent. `maxAge` is at least minNewsAge.
[[nodiscard]] std::chrono::milliseconds feedWaitFor(std::chrono::milliseconds maxAge);

// The time that an answer confirms: what the store held then, the follower knows. An overdue answer may have
// been given at any time since its request was sent, as the process may have been suspended.
[[nodiscard]] TimePoint confirmedTime(TimePoint sent, std::chrono::milliseconds wait, TimePoint received);

// Time-out of a request whose answer the store may hold back for `wait`.
[[nodiscard]] std::chrono::milliseconds requestTimeout(std::chrono::milliseconds wait);

} // namespace fulmar::node
