#pragma once

#include "core/clock.h"

#include <deque>
#include <optional>
#include <utility>

namespace fulmar::jobs {

// Finds the bursts in a pool's arrivals: some seconds of several times the rate that surrounds them. A burst
// counts once it is significant against that rate, and only if its begin was observed: a burst that was in
// progress when the observation began is none, and neither is a steady load.
class BurstDetector {
public:
    struct EndedBurst {
        TimePoint begin;
        Duration length { 0 };
        // Mean number of cores that its work kept busy or would have.
        double cores { 0 };
        // Arrivals per second.
        double rate { 0 };
    };

    BurstDetector() = default;
    // Of a pool from which nothing has arrived since `since`, known until `now`.
    BurstDetector(TimePoint since, TimePoint now);

    // `work` is in core-milliseconds.
    void recordArrival(double work, TimePoint now);
    // Called several times a second. After a longer pause, what is in progress is of unknown begin.
    void update(TimePoint now);

    // Begin of the burst in progress, before or after it is confirmed.
    [[nodiscard]] std::optional<TimePoint> begin() const { return m_isActive ? m_begin : std::nullopt; }
    // Begin of a burst that was confirmed since the last call.
    [[nodiscard]] std::optional<TimePoint> takeConfirmed() { return std::exchange(m_confirmed, {}); }
    [[nodiscard]] std::optional<EndedBurst> takeEnded() { return std::exchange(m_ended, {}); }
    // The pool has arrivals, and they are no steady load: it may have bursts of which none was seen so far.
    [[nodiscard]] bool mayHaveUnseenBursts(TimePoint now) const;

private:
    struct Arrival {
        TimePoint at;
        double work { 0 };
    };
    void restart(TimePoint now);
    void beginBurst(TimePoint now);
    void updateActive(TimePoint now);
    void endActivity(TimePoint now);
    void addToQuiet(double arrivals, double seconds);
    void setBegin(TimePoint);
    void forgetArrivals(TimePoint until);
    [[nodiscard]] std::size_t arrivalsSince(TimePoint) const;
    [[nodiscard]] TimePoint changePoint(TimePoint now, TimePoint from, std::size_t minArrivals) const;
    // Arrivals per second.
    [[nodiscard]] double windowRate() const;
    [[nodiscard]] double quietRate() const;
    [[nodiscard]] bool isSignificant(TimePoint now) const;

    // Arrivals of the last seconds, and how many of them count for the rate.
    std::deque<Arrival> m_history;
    std::size_t m_inWindow { 0 };
    TimePoint m_updatedAt;
    // Arrivals are at burst level, or at a steady one. Without a begin: in progress since before m_since.
    bool m_isActive { false };
    TimePoint m_since;
    std::optional<TimePoint> m_begin;
    bool m_isConfirmed { false };
    double m_arrivals { 0 };
    double m_work { 0 };
    // Highest rate, decaying.
    double m_peakRate { 0 };
    // Arrivals outside bursts, and in how many seconds.
    double m_quietArrivals { 0 };
    double m_quietSeconds { 0 };
    std::optional<TimePoint> m_confirmed;
    std::optional<EndedBurst> m_ended;
};

} // namespace fulmar::jobs
