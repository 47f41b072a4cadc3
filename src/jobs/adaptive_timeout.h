#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace fulmar::jobs {

// How long to wait for a runner's answer before the order is sent again. Load pattern: runners that are well
// leave some orders without an answer and carry them out seconds later; a job of a dozen tasks meets one of
// them more often than not, and its objective is over if that takes a fixed second and a half to show.
// Follows the answers' usual time and its spread, as TCP's retransmission timer does (RFC 6298), so that a
// holder that is slow itself does not send everything twice.
class AdaptiveTimeout {
public:
    using Millis = std::chrono::milliseconds;

    // An order was answered after this time.
    void observe(Duration took);
    // For a try after `earlierAttempts` that were not answered; doubles with each.
    [[nodiscard]] Millis timeout(std::uint32_t earlierAttempts) const;

private:
    bool m_hasSample { false };
    std::chrono::duration<double, std::milli> m_mean { 0 };
    std::chrono::duration<double, std::milli> m_deviation { 0 };
};

} // namespace fulmar::jobs
