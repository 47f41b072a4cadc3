#pragma once

#include "jobs/burst_forecast.h"
#include "jobs/demand.h"
#include "jobs/move_plan.h"

#include <random>

namespace fulmar::jobs::test {

using namespace std::chrono_literals;

// Pools whose demand comes in turns.
struct TurnLoad {
    std::uint32_t pools { 4 };
    Millis period { 20'000 };
    Millis length { 5'000 };
    // Each begin differs from the schedule by up to this much.
    Millis jitter { 0 };
    // Turns begin at random times instead, as often.
    bool isIrregular { false };
    Millis day { 56'000 };
    std::uint64_t seed { 1 };
};

// Begins of the turns of each pool.
[[nodiscard]] std::vector<std::vector<TimePoint>> turnsOf(const TurnLoad&);

struct ReplayCost {
    std::uint32_t jobs { 0 };
    std::uint32_t late { 0 };
    double vmSeconds { 0 };
    std::uint32_t moves { 0 };
    BurstForecast::Counts bursts;

    // In VM-seconds; a move costs about as much as one.
    [[nodiscard]] double total(double lateJob) const { return late * lateJob + vmSeconds + moves; }
    void operator+=(const ReplayCost&);
};

// Plays a day of one shard in virtual time: jobs of some dozens of tasks, VMs of 32 cores that take 2 s to
// move, and the decisions on demand and moves of the real code. Without admission, faults or long-running
// tasks.
[[nodiscard]] ReplayCost replayTurns(const TurnLoad&, bool isForecast);

} // namespace fulmar::jobs::test
