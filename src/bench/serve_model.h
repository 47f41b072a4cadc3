#pragma once

#include "core/clock.h"
#include "serve/directory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace fulmar::bench {

// Events in virtual time, run in the order of their times and, at one time, of their making.
class EventQueue {
public:
    void at(TimePoint time, std::function<void()> run);
    // Runs all events up to `end`.
    void runUntil(TimePoint end);
    [[nodiscard]] TimePoint now() const { return m_now; }

private:
    struct Event {
        TimePoint time;
        std::uint64_t serial { 0 };
        std::function<void()> run;
    };
    struct Later {
        bool operator()(const Event& a, const Event& b) const
        {
            return a.time != b.time ? a.time > b.time : a.serial > b.serial;
        }
    };

    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::uint64_t m_lastSerial { 0 };
    TimePoint m_now { std::chrono::seconds(1000) };
};

// One measured case: how much is asked, and what is wrong with the targets.
struct ServeCase {
    std::string name;
    // Demand over the capacity of the sound targets.
    double load { 1 };
    // The first targets, as many as this, answer everything with 503 at once, or run ten times as long.
    std::uint32_t failing { 0 };
    std::uint32_t slow { 0 };
    // Share of the calls that come to the first zone's entry VMs; the rest is spread over the others.
    double firstZoneShare { 1.0 / 3 };
    // Half the time the first zone is cut off from the others: no message passes, and no call.
    bool cut { false };
    // `load` lasts for four seconds of ten; in between a hundredth of it is asked.
    bool bursts { false };
};

// A call of the offered load. The same calls are offered to every version.
struct OfferedCall {
    TimePoint arrival;
    std::size_t entry { 0 };
    std::string caller;
    bool idempotent { false };
    bool isLong { false };
    Duration run {};
};

// What a version did with a case's calls.
struct ServeFigures {
    // Run time of the calls answered well and in time, over what the sound targets can give or, if that is
    // less, over what was asked; second by second where the load comes in bursts.
    double useful { 0 };
    // Run time spent on answers that came too late or twice, over what the sound targets can give.
    double wasted { 0 };
    double lateShare { 0 };
    double refusedShare { 0 };
    double failedShare { 0 };
    // Time from arrival to the start of the run, of in-time answers.
    Duration medianWait {};
    Duration p99Wait {};
    Duration p99ShortWait {};
    std::uint64_t retries { 0 };
    // Most calls at one target at once beyond its slots, per slot.
    double beyondLimit { 0 };
    // Calls sent to the other side of the cut.
    std::uint64_t astray { 0 };
    // Non-idempotent calls that were run more than once.
    std::uint64_t doubled { 0 };
    // The worst caller's useful run time over its max-min fair part of the capacity.
    double fairness { 0 };
    std::uint64_t signature { 0 };
};

// One service on ten targets in three zones, behind six entry VMs.
inline constexpr std::size_t entryCount = 6;
inline constexpr std::size_t targetCount = 10;
inline constexpr std::size_t zoneCount = 3;
inline constexpr std::uint32_t slotsPerTarget = 8;
inline constexpr Duration callTimeout = std::chrono::seconds(2);
inline constexpr Duration runLength = std::chrono::seconds(30);
// Calls that arrive before this do not count.
inline constexpr Duration warmUp = std::chrono::seconds(5);
// When the cut begins, after the first call.
inline constexpr Duration cutAfter = std::chrono::seconds(15);

[[nodiscard]] ZoneId zoneOf(std::size_t index);
[[nodiscard]] serve::ServiceEntry benchService();
// Slots' worth of run time that the targets can give; a slow target gives a tenth.
[[nodiscard]] double capacityInSlots(const ServeCase&);
[[nodiscard]] std::vector<OfferedCall> drawCalls(const ServeCase&, TimePoint start);

// A target as a queue: so many slots, and calls beyond them wait. It does not notice when a caller gives up.
class ModelTarget {
public:
    // `done` gets whether the answer is good, and when the run started.
    using Done = std::function<void(bool good, TimePoint started)>;

    ModelTarget(EventQueue& events, bool failing, bool slow)
        : m_events(events)
        , m_failing(failing)
        , m_slow(slow)
    {
    }

    void arrive(Duration run, Done done);
    [[nodiscard]] std::uint32_t most() const { return m_most; }

private:
    struct Waiting {
        Duration run;
        Done done;
    };

    void startNext();

    EventQueue& m_events;
    bool m_failing;
    bool m_slow;
    std::deque<Waiting> m_waiting;
    std::uint32_t m_running { 0 };
    std::uint32_t m_most { 0 };
};

} // namespace fulmar::bench
