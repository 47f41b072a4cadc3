#pragma once

#include "core/clock.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>

namespace fulmar::fleet {

// Waiting times between tries against a platform that fails: doubling, with full jitter, so that processes
// that failed together do not return together.
class Backoff {
public:
    static constexpr Duration first = std::chrono::milliseconds(100);
    static constexpr Duration limit = std::chrono::seconds(5);

    // Processes with different names draw different waiting times.
    explicit Backoff(const std::string& processName)
        : m_random(std::hash<std::string> {}(processName))
    {
    }

    // How long to wait after one more failure: from half to the whole of the present step.
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

// Names that other slices share.
using fleet::Backoff;

} // namespace fulmar
