#pragma once

#include <chrono>
#include <concepts>
#include <ctime>

namespace fulmar {

using Duration = std::chrono::microseconds;

// A point on this process's monotonic clock. Not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A point on the wall clock, for rows and events that several processes read. Never used to decide safety.
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

// The machine's clock.
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

// The machine's clock, counting the time in which the machine was suspended; leases depend on it.
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

// A clock that stands still until told to advance; for tests and for runs in virtual time.
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
