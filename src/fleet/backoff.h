#pragma once

#include "core/clock.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>

namespace fulmar::fleet {

// Delays between retries while the platform fails: exponential back-off with jitter, so that processes that
// failed at the same time do not retry at the same time.
class Backoff {
public:
    static constexpr Duration first = std::chrono::milliseconds(100);
    static constexpr Duration limit = std::chrono::seconds(5);

    // Processes with different names draw different delays.
    explicit Backoff(const std::string& processName)
        : m_random(std::hash<std::string> {}(processName))
    {
    }

    // Returns a random delay between half the current step and the whole step, and doubles the step up to
    // `limit`.
    [[nodiscard]] Duration failed()
    {
        auto step = m_step;
        m_step = std::min(m_step * 2, limit);
        std::uniform_int_distribution<Duration::rep> wait(step.count() / 2, step.count());
        return Duration(wait(m_random));
    }

    void succeeded() { m_step = first; }

private:
    std::mt19937_64 m_random;
    Duration m_step { first };
};

} // namespace fulmar::fleet

namespace fulmar {

// Names that other modules use unqualified.
using fleet::Backoff;

} // namespace fulmar
