#include "jobs/crash_evidence.h"

#include <algorithm>

namespace fulmar::jobs {

namespace {

// Counts of crashes of which the task was a suspect.
constexpr std::size_t suspicionsToConvictOnlySuspect = 2;
constexpr std::size_t suspicionsToConvict = 3;
// Counts all crashes. Those of other causes may hit a run at any age, so each of these tells less.
constexpr std::size_t crashesToConvict = 5;
// After this many, a task starts where nothing else could cause the next one.
constexpr std::size_t crashesUntilExclusive = 2;
// A broken connection is noticed within this time. A process that has used up its CPU quota is suspended for
// up to 100 ms.
constexpr Millis noticeTime { 200 };
// Runners that break off within this time of each other may have a common cause.
constexpr Millis commonCauseWindow { 1'000 };
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

std::vector<CrashedRun> youngRunsOf(const Runner& runner)
{
    std::vector<CrashedRun> young;
    auto brokeOffAt = runner.brokeOffAt();
    if (!brokeOffAt)
        return young;
    auto crashedAt = std::max(runner.lastHeardAt(), *brokeOffAt - noticeTime);
    const Run* lastSuspect = nullptr;
    std::size_t suspects = 0;
    for (const auto& [task, run] : runner.runs()) {
        if (isOlderThan(run, crashMemory, crashedAt))
            continue;
        auto isSuspect = !isOlderThan(run, crashWindow, crashedAt);
        young.push_back({ task, run.attempt, isSuspect, false });
        if (isSuspect) {
            ++suspects;
            lastSuspect = &run;
        }
    }
    if (suspects == 1 && lastSuspect->isolation != Isolation::None && !isUnsettled(*lastSuspect))
        for (auto& run : young)
            run.isOnlySuspect = run.isSuspect;
    return young;
}

bool hasSuspects(const std::vector<CrashedRun>& runs)
{
    return std::any_of(runs.begin(), runs.end(), [](const CrashedRun& run) { return run.isSuspect; });
}

std::vector<CrashedRun> crashedRunsOf(const Runner& runner, const std::deque<BreakOff>& breakOffs)
{
    auto crashed = youngRunsOf(runner);
    if (crashed.empty())
        return crashed;
    auto isAlone = true;
    auto isExplained = true;
    for (const auto& other : breakOffs) {
        auto isSameTime = other.at + commonCauseWindow >= *runner.brokeOffAt()
            && other.at <= *runner.brokeOffAt() + commonCauseWindow;
        if (other.runner == runner.report().id || !isSameTime)
            continue;
        isAlone = false;
        isExplained &= other.hasSuspects;
    }
    std::erase_if(crashed, [=](const CrashedRun& run) { return run.isSuspect ? !isExplained : !isAlone; });
    return crashed;
}

bool isConvicted(const std::vector<CrashRecord>& crashes, bool wasOnlySuspect)
{
    auto suspected = std::size_t(std::count_if(
        crashes.begin(), crashes.end(), [](const CrashRecord& crash) { return crash.wasSuspect; }));
    return crashes.size() >= crashesToConvict || suspected >= suspicionsToConvict
        || (wasOnlySuspect && suspected >= suspicionsToConvictOnlySuspect);
}

Isolation isolationFor(const std::vector<CrashRecord>& crashes, bool isSuspect)
{
    if (crashes.size() >= crashesUntilExclusive)
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

std::size_t runnersToSetApart(std::size_t waiting, std::size_t usable, bool haveWaitedLong)
{
    if (waiting == 0 || usable == 0 || (usable == 1 && !haveWaitedLong))
        return 0;
    auto wanted = (waiting + suspectsPerRunner - 1) / suspectsPerRunner;
    return std::min(wanted, std::max<std::size_t>(1, usable / poolPerRunnerSetApart));
}

} // namespace fulmar::jobs
