#pragma once

#include "jobs/runner.h"

#include <deque>
#include <vector>

namespace fulmar::jobs {

// Finds the task that crashes the runners that start it, among the tasks that run beside it. Load pattern: a
// tenth of a queue's jobs have such a task; tasks are packed, so a crash ends twenty innocent runs, and the
// runner is away for seconds.
//
// A task that crashes runners mostly does so at its start, so the runs that began just before a crash are its
// suspects. Suspects start again one at a time on runners set apart, so that the next crash has one suspect.
// A task under which a second runner crashed starts where nothing else could have caused the next crash.
//
// Runners crash for other causes too. One that falls silent says nothing about its runs, as a crash breaks
// connections. Runners that break off together have a common cause if one of them had no suspect; otherwise
// their suspects may have crashed each of them, but not the runs that began earlier.

// A run whose start was answered at most this long before the crash is a suspect of it.
inline constexpr Millis crashWindow { 150 };
// A run that is older when its runner crashes did not cause it, and one that gets older is cleared.
inline constexpr Millis crashMemory { 5'000 };

// Whether the run had certainly begun more than `age` before `at`.
[[nodiscard]] bool isOlderThan(const Run&, Millis age, TimePoint at);

// The connections to a runner broke.
struct BreakOff {
    RunnerId runner;
    TimePoint at;
    bool hasSuspects { false };
};

// The runs that may have caused the crash of a runner which broke off, if no other runner did at that time.
[[nodiscard]] std::vector<CrashedRun> youngRunsOf(const Runner&);
[[nodiscard]] bool hasSuspects(const std::vector<CrashedRun>&);

// The runs of a crashed runner that may have caused the crash. `breakOffs`: those of all runners about then.
[[nodiscard]] std::vector<CrashedRun> crashedRunsOf(const Runner&, const std::deque<BreakOff>& breakOffs);

// Whether a task is to be given up after these crashes, the last of which had it as its only suspect or not.
// Two crashes are the fewest after which a task may be given up. Its starts are bounded in any case: three
// starts after the third crash are too many.
[[nodiscard]] bool isConvicted(const std::vector<CrashRecord>&, bool wasOnlySuspect);

// How a task with this record is to be started next.
[[nodiscard]] Isolation isolationFor(const std::vector<CrashRecord>&, bool isSuspect);

// Whether a task can be started with this isolation on a runner that is set apart.
[[nodiscard]] bool canIsolate(const Runner&, Isolation, TimePoint now);

// Whether another start on the runner would spoil the isolation of a run there.
[[nodiscard]] bool isObserving(const Runner&, TimePoint now);

// Number of runners to set apart of `usable` ones in a pool in which `waiting` tasks wait to be isolated. A
// pool's only runner is set apart for tasks that have waited for long.
[[nodiscard]] std::size_t runnersToSetApart(std::size_t waiting, std::size_t usable, bool haveWaitedLong);

} // namespace fulmar::jobs
