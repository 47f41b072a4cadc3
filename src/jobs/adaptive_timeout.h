#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace fulmar::jobs {

// How long to wait for a runner's answer before an order is sent again. Healthy runners leave some orders
// unanswered and carry them out seconds later. For a job of a dozen tasks, one such order is likely, and a
// fixed timeout of 1.5 s would make the job miss its objective. The timeout follows the mean and deviation of
// answer times like TCP's retransmission timer (RFC 6298), so that a slow holder does not send every order
// twice.
class AdaptiveTimeout {
public:
    using Millis = std::chrono::milliseconds;

    // Records the time from an order to its answer.
    void observe(Duration took);
    // Timeout of an order that was sent `unanswered` times without an answer before; doubles with each.
    [[nodiscard]] Millis timeout(std::uint32_t unanswered) const;

private:
    bool m_hasSample { false };
    std::chrono::duration<double, std::milli> m_mean { 0 };
    std::chrono::duration<double, std::milli> m_deviation { 0 };
};

} // namespace fulmar::jobs
