#pragma once

#include "core/clock.h"

#include <cstdint>

namespace fulmar::serve {

// Health of one target as its calls show it. A target that fails most calls, or runs them many times as long
// as expected, is ejected for a while that doubles each time; then it gets one call at a time until it has
// proved itself.
class OutlierDetector {
public:
    // `slowness` is the call's run time over the expected one.
    void onSuccess(double slowness, TimePoint now);
    void onFailure(TimePoint now);

    // Looks bad enough to be ejected, whether or not the cap allows it.
    [[nodiscard]] bool isOutlier() const;
    void eject(TimePoint now);

    [[nodiscard]] bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    // Ejected before, and not proved since: to be sent one call at a time.
    [[nodiscard]] bool isOnProbation(TimePoint now) const
    {
        return m_probationCallsLeft > 0 && !isEjected(now);
    }

    // Mean run time over the expected one; 1 without data.
    [[nodiscard]] double slowness() const { return m_slowness; }

private:
    void decay(TimePoint now);

    double m_failures { 0 };
    double m_successes { 0 };
    double m_slowness { 1 };
    TimePoint m_decayed;
    TimePoint m_ejectedUntil;
    std::uint32_t m_ejections { 0 };
    std::uint32_t m_probationCallsLeft { 0 };
};

// How many of `serving` targets may be ejected at once.
[[nodiscard]] std::uint32_t ejectionCap(std::uint32_t serving);

// With so few targets left, ejections are ignored: the fault is then not the targets' own.
[[nodiscard]] bool isPanic(std::uint32_t healthy, std::uint32_t all);

} // namespace fulmar::serve
