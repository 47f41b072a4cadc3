#include "jobs/crash_evidence.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

constexpr std::size_t crashesToConvictOnlySuspect = 2;
constexpr std::size_t crashesToConvict = 3;
// A runner that is set apart clears this many suspects within a second.
constexpr std::size_t suspectsPerRunner = 4;
// At most this part of a pool is set apart, as every conviction costs a runner for seconds.
constexpr std::size_t poolPerRunnerSetApart = 4;

// The start may have been carried out at any time up to now.
bool isUnsettled(const Run& run)
{
    return run.phase == RunPhase::Starting || run.phase == RunPhase::Unconfirmed;
}

// How long other starts keep away from a run: until it is no suspect, or cannot have caused a crash.
Millis isolationTime(Isolation isolation)
{
    return isolation == Isolation::Exclusive ? crashMemory : crashWindow;
}

// Latest time at which the run began, unless it is unsettled.
TimePoint latestBegin(const Run& run) { return std::max(run.orderedAt, run.lastStartSettledAt); }

} // namespace

bool isOlderThan(const Run& run, Millis age, TimePoint at)
{
    return !isUnsettled(run) && latestBegin(run) + age < at;
}

std::vector<CrashedRun> crashedRunsOf(const Runner& runner)
{
    std::vector<CrashedRun> crashed;
    const Run* lastSuspect = nullptr;
    std::size_t suspects = 0;
    for (const auto& [task, run] : runner.runs()) {
        if (isOlderThan(run, crashMemory, runner.lastHeardAt))
            continue;
        auto isSuspect = !isOlderThan(run, crashWindow, runner.lastHeardAt);
        crashed.push_back({ task, run.attempt, isSuspect, false });
        if (isSuspect) {
            ++suspects;
            lastSuspect = &run;
        }
    }
    if (suspects == 1 && lastSuspect->isolation != Isolation::None && !isUnsettled(*lastSuspect))
        for (auto& run : crashed)
            run.isOnlySuspect = run.isSuspect;
    return crashed;
}

bool isConvicted(std::size_t crashes, bool wasOnlySuspect)
{
    return crashes >= crashesToConvict || (wasOnlySuspect && crashes >= crashesToConvictOnlySuspect);
}

Isolation isolationFor(std::size_t crashes, bool isSuspect)
{
    if (crashes >= crashesToConvictOnlySuspect)
        return Isolation::Exclusive;
    return isSuspect ? Isolation::Start : Isolation::None;
}

bool isObserving(const Runner& runner, TimePoint now)
{
    return std::any_of(runner.runs().begin(), runner.runs().end(), [now](const auto& each) {
        const auto& run = each.second;
        return run.isolation != Isolation::None && !isOlderThan(run, isolationTime(run.isolation), now);
    });
}

bool canIsolate(const Runner& runner, Isolation isolation, TimePoint now)
{
    if (isObserving(runner, now))
        return false;
    return std::all_of(runner.runs().begin(), runner.runs().end(),
        [=](const auto& each) { return isOlderThan(each.second, isolationTime(isolation), now); });
}

std::size_t runnersToSetApart(std::size_t waiting, std::size_t usable)
{
    if (waiting == 0 || usable < 2)
        return 0;
    auto wanted = (waiting + suspectsPerRunner - 1) / suspectsPerRunner;
    return std::min(wanted, std::max<std::size_t>(1, usable / poolPerRunnerSetApart));
}

} // namespace fulmar::jobs
