#include "jobs/runner.h"

#include <algorithm>
#include <utility>

namespace fulmar::jobs {

namespace {

// A runner's steady clock may run 2% slow. 3% is assumed, as this process's own clock may be off as well.
constexpr double minRunnerClockRate = 0.97;

} // namespace

void Runner::beginIncarnation(std::int64_t incarnation, FencingToken fence, TimePoint earliestLapse)
{
    raiseFence(fence);
    m_report.incarnation = incarnation;
    isReportOutdated = true;
    isRowOutdated = true;
    m_clock.reset();
    m_leaseUntil = RunnerTime(0);
    m_earliestLapse = std::max(m_earliestLapse, earliestLapse);
    lastAppliedEnd = 0;
    areEndsKnownFromFirst = true;
    lastStoredEnd = 0;
    lastAcknowledgedEnd = 0;
    hasAnsweredThisEpoch = false;
    isPollInFlight = false;
    failedPolls = 0;
    avoidUntil = {};
    jobsWithFailures.clear();
    m_isSilent = false;
    m_brokeOffAt.reset();
    for (auto& [task, run] : m_runs) {
        run.isConfirmed = false;
        // Only the runner's current incarnation can confirm a stop.
        run.stopAcknowledgedAt.reset();
        run.isStopInFlight = false;
        if (std::exchange(run.isResendDue, false) && run.phase == RunPhase::Starting)
            run.phase = RunPhase::Unconfirmed;
    }
}

void Runner::observeClock(RunnerTime reading, TimePoint receivedAt)
{
    m_clock = reading;
    m_clockAt = receivedAt;
}

std::optional<RunnerTime> Runner::minClock(TimePoint now) const
{
    if (!m_clock)
        return std::nullopt;
    auto elapsed = std::chrono::duration_cast<std::chrono::duration<double, std::milli>>(now - m_clockAt);
    return *m_clock + RunnerTime(std::int64_t(elapsed.count() * minRunnerClockRate));
}

RunnerTime Runner::extendLease(TimePoint now, Millis length)
{
    // Before the first answer the runner's clock is unknown, and the lease cannot be extended.
    if (auto clock = minClock(now))
        m_leaseUntil = std::max(m_leaseUntil, *clock + length);
    return m_leaseUntil;
}

bool Runner::hasLeaseLapsed(TimePoint now) const
{
    auto clock = minClock(now);
    return now >= m_earliestLapse && (!clock || *clock > m_leaseUntil);
}

void Runner::observeAnswer(TimePoint now)
{
    m_lastHeardAt = now;
    m_isSilent = false;
    m_brokeOffAt.reset();
}

void Runner::observePollFailure(bool isTimedOut, TimePoint now)
{
    if (m_isSilent || m_brokeOffAt)
        return;
    if (isTimedOut)
        m_isSilent = true;
    else
        m_brokeOffAt = now;
}

Run& Runner::addRun(const TaskName& task, Run run)
{
    m_reserved += run.reserved;
    return m_runs.insert_or_assign(task, std::move(run)).first->second;
}

void Runner::removeRun(const TaskName& task)
{
    if (auto found = m_runs.find(task); found != m_runs.end()) {
        m_reserved -= found->second.reserved;
        m_runs.erase(found);
    }
}

Run* Runner::find(const TaskName& task)
{
    auto found = m_runs.find(task);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool Runner::hasLongRunningRuns() const
{
    return std::any_of(
        m_runs.begin(), m_runs.end(), [](const auto& each) { return each.second.isLongRunning; });
}

std::uint32_t Runner::countOfStep(const TaskName& task) const
{
    auto first = m_runs.lower_bound({ task.job, task.occurrence, task.step, 0 });
    std::uint32_t count = 0;
    for (; first != m_runs.end(); ++first, ++count) {
        const auto& name = first->first;
        if (name.job != task.job || name.occurrence != task.occurrence || name.step != task.step)
            break;
    }
    return count;
}

Resources Runner::room() const
{
    auto room = m_report.capacity;
    room -= m_reserved;
    return room;
}

} // namespace fulmar::jobs
