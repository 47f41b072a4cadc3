#pragma once

#include "core/clock.h"

#include <cstdint>

namespace fulmar::serve {

// Passive health check of one target, from the results of its calls. A target whose calls mostly fail or take
// many times their expected run time is ejected. The ejection time doubles with each ejection. Afterwards the
// target is on probation and gets one call at a time.
class OutlierDetector {
public:
    // `relativeRunTime`: the call's run time divided by the expected one.
    void onSuccess(double relativeRunTime, TimePoint now);
    void onFailure(TimePoint now);

    // The target should be ejected, whether or not ejectionCap() allows it.
    [[nodiscard]] bool isOutlier() const;
    void eject(TimePoint now);

    [[nodiscard]] bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    // The target was ejected and has not yet completed its probation calls; it gets one call at a time.
    [[nodiscard]] bool isOnProbation(TimePoint now) const
    {
        return m_probationCallsLeft > 0 && !isEjected(now);
    }

    // 1 without data.
    [[nodiscard]] double meanRelativeRunTime() const { return m_meanRelativeRunTime; }

private:
    void decay(TimePoint now);

    double m_failures { 0 };
    double m_successes { 0 };
    double m_meanRelativeRunTime { 1 };
    TimePoint m_decayedAt;
    TimePoint m_ejectedUntil;
    std::uint32_t m_ejections { 0 };
    std::uint32_t m_probationCallsLeft { 0 };
};

// How many of `serving` targets may be ejected at the same time.
[[nodiscard]] std::uint32_t ejectionCap(std::uint32_t serving);

// Too few targets are healthy, so ejections are ignored: the cause is probably not the targets themselves.
[[nodiscard]] bool isPanic(std::uint32_t healthy, std::uint32_t all);

} // namespace fulmar::serve
