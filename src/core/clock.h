#pragma once

#include <chrono>
#include <concepts>
#include <ctime>

namespace fulmar {

using Duration = std::chrono::microseconds;

// A point on the monotonic clock; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A point on the wall clock, for rows and events that several processes read. Safety never depends on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

template <typename C>
concept Clock = requires(const C& clock) {
    {
        clock.now()
    } -> std::same_as<TimePoint>;
    {
        clock.wallNow()
    } -> std::same_as<WallTime>;
};

class SystemClock {
public:
    [[nodiscard]] TimePoint now() const
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
    [[nodiscard]] WallTime wallNow() const
    {
        return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
    }
};

// Monotonic clock that also counts time in suspension, as leases require.
class BootClock {
public:
    [[nodiscard]] TimePoint now() const
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
    [[nodiscard]] WallTime wallNow() const { return SystemClock().wallNow(); }
};

// A clock that moves only by advance(), for tests and simulations.
class ManualClock {
public:
    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] WallTime wallNow() const
    {
        return WallTime { std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()) };
    }
    void advance(Duration step) { m_now += step; }

private:
    TimePoint m_now { std::chrono::seconds(1000) };
};

static_assert(Clock<SystemClock> && Clock<BootClock> && Clock<ManualClock>);

} // namespace fulmar
