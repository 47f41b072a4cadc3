#pragma once

#include "jobs/runner_orders.h"

#include <algorithm>
#include <map>
#include <set>

namespace fulmar::jobs {

enum class RunPhase : std::uint8_t {
    // The start was ordered and not yet answered.
    Starting,
    Running,
    // The start got no answer, or a poll does not list the run: it may be there, or may still begin.
    Unconfirmed,
    // A stop was ordered. The run's resources are free once a poll lists its end, or no longer lists the run
    // after the stop was acknowledged.
    Stopping,
};

// How a run is kept apart from others on its runner; see crash_evidence.h.
enum class Isolation : std::uint8_t {
    None,
    // No other run that would be a suspect of a crash is there.
    Start,
    // No other run that could have caused a crash is there.
    Exclusive,
};

// A run that was on a runner when it crashed.
struct CrashedRun {
    TaskName task;
    Attempt attempt { 0 };
    bool isSuspect { false };
    // It certainly began, apart from others, and no other run is a suspect.
    bool isOnlySuspect { false };
};

// One run of a task on a runner, from the start order to its end.
struct Run {
    Attempt attempt { 0 };
    Resources reserved;
    // Number of the job's team in TeamQuota, and what the task counts with there. The run keeps both if its
    // job is removed.
    std::uint32_t team { 0 };
    Resources full;
    RunPhase phase { RunPhase::Starting };
    TimePoint orderedAt;
    // Runs until its job is cancelled.
    bool isLongRunning { false };
    Isolation isolation { Isolation::None };
    // Runners have crashed under its task.
    bool hasCrashRecord { false };
    // In phase Unconfirmed: a poll that was sent after the last start order was answered or timed out does
    // not list the run.
    bool isMissing { false };
    // When the last start order was answered or timed out.
    TimePoint lastStartSettledAt;
    // Empty if the task is long-running or was started by an earlier holder.
    std::optional<TimePoint> expectedEnd;
    // Start orders that were sent and not answered.
    std::uint32_t unansweredStarts { 0 };
    // Start orders that wait to be sent or to be answered.
    std::uint32_t startsInFlight { 0 };
    // Of the last start order. Once the runner has answered an order with a higher one, the run cannot begin.
    FencingToken fence { 0 };
    // A poll has listed it in the runner's current incarnation.
    bool isConfirmed { false };
    // Counts as a crash under its task if the current incarnation does not have it.
    std::optional<CrashedRun> unsettledCrash;
    // In phase Starting: the start order is to be sent again.
    bool isResendDue { false };
    std::uint32_t unansweredStops { 0 };
    TimePoint stopNotBefore;
    // In phase Unconfirmed or Stopping: when the runner acknowledged the stop; the run cannot begin after
    // that.
    std::optional<TimePoint> stopAcknowledgedAt;
    bool isStopInFlight { false };
    // The run began at a checkpoint of an earlier one.
    bool isResumed { false };
    // Where the task's next run may resume.
    std::string checkpoint;
    // Speed of the task in percent; 100 when working fully.
    std::uint32_t percent { 0 };
};

// What keeps new work from a runner so that its VM can be moved or maintained.
enum class Cordon : std::uint8_t {
    None,
    // Its VM is to become empty; it still takes tasks that find no other place for long.
    Emptying,
    // An order for its VM is under way and ends all that runs there.
    OrderPending,
};

// A healthy runner may fail to answer a single poll.
inline constexpr std::uint32_t failedPollsUntilUnreachable = 2;

// What the holder of the shard knows of a runner: its runs, its lease and its answers.
class Runner {
public:
    Runner(RunnerReport report, FencingToken fence)
        : m_report(std::move(report))
        , m_fence(fence)
    {
    }

    [[nodiscard]] const RunnerReport& report() const { return m_report; }
    [[nodiscard]] RunnerAddress address() const { return { m_report.id, m_report.address }; }
    void update(RunnerReport report)
    {
        m_report = std::move(report);
        isReportOutdated = false;
    }
    // The runner started again under its id: its clock, its lease and the numbers of its ends begin anew. The
    // runs that it still has here are those that the new incarnation may have. `fence` is higher than that of
    // any order sent to the earlier one.
    void beginIncarnation(std::int64_t incarnation, FencingToken fence, TimePoint earliestLapse);
    // The fencing token of orders to this runner. Raised when the runner started again and before anything is
    // done that an order on its way could undo, so that later orders make the runner refuse that one.
    [[nodiscard]] FencingToken fence() const { return m_fence; }
    void raiseFence(FencingToken fence) { m_fence = std::max(m_fence, fence); }

    // Records the runner's clock from an answer that arrived at `receivedAt`.
    void observeClock(RunnerTime reading, TimePoint receivedAt);
    // Lower bound of the runner's clock now, as it may run slow. Empty before the first answer.
    [[nodiscard]] std::optional<RunnerTime> minClock(TimePoint now) const;
    // Returns the lease end to send with an order, `length` from now, and remembers the latest.
    RunnerTime extendLease(TimePoint now, Millis length);
    // The latest lease end that was sent.
    [[nodiscard]] RunnerTime leaseUntil() const { return m_leaseUntil; }
    // All leases sent have ended, even if the runner's clock is slow, and the earliest lapse has passed. No
    // run ordered so far can be alive then. No lease is sent before the runner's first answer.
    [[nodiscard]] bool hasLeaseLapsed(TimePoint now) const;
    // The lease does not count as lapsed before this time: it may have been extended by an earlier holder, or
    // by an order that was meant for an earlier incarnation.
    void setEarliestLapse(TimePoint moment) { m_earliestLapse = moment; }

    Run& addRun(const TaskName&, Run);
    void removeRun(const TaskName&);
    [[nodiscard]] Run* find(const TaskName&);
    [[nodiscard]] std::map<TaskName, Run>& runs() { return m_runs; }
    [[nodiscard]] const std::map<TaskName, Run>& runs() const { return m_runs; }
    // Several polls in a row had no answer.
    [[nodiscard]] bool isUnreachable() const { return failedPolls >= failedPollsUntilUnreachable; }
    // Tasks of the same step on this runner.
    [[nodiscard]] std::uint32_t countOfStep(const TaskName&) const;
    [[nodiscard]] bool hasLongRunningRuns() const;
    [[nodiscard]] const Resources& reserved() const { return m_reserved; }
    [[nodiscard]] Resources room() const;
    // The capacity has shrunk below what is reserved.
    [[nodiscard]] bool isOvercommitted() const { return !m_reserved.fitsIn(m_report.capacity); }
    // The runner has reported to this holder, is reachable, runs nothing, and its reported ends are stored:
    // they would be lost with its incarnation.
    [[nodiscard]] bool isKnownEmpty() const
    {
        return hasAnsweredThisEpoch && failedPolls == 0 && m_runs.empty() && lastStoredEnd == lastAppliedEnd;
    }

    // It is in the store's list of runners.
    bool isListed { true };
    // The list still describes an earlier incarnation, which may have had another capacity and other labels.
    bool isReportOutdated { false };
    TimePoint unlistedSince;
    // This incarnation has answered a poll of this epoch, and so refuses orders of earlier epochs and those
    // that were sent before it was known.
    bool hasAnsweredThisEpoch { false };
    // Its row is stored, so that the next holder of the shard will poll it too.
    bool isStored { false };
    // Its row is stored, or is being written.
    bool mayHaveRow { false };
    // The stored row, if there is one, is that of an earlier incarnation.
    bool isRowOutdated { false };
    Cordon cordon { Cordon::None };

    // Takes only tasks that are to be isolated; see crash_evidence.h.
    bool isSetApart { false };

    // Its VM is still to be maintained in a wave: long-running tasks placed there would have to leave again.
    bool isMaintenanceDue { false };

    bool isPollInFlight { false };
    TimePoint nextPoll;
    // When the last answered poll was sent: the status of the runs is no older.
    TimePoint statusAsOf;
    // Unanswered polls in a row.
    std::uint32_t failedPolls { 0 };
    // This incarnation answered.
    void observeAnswer(TimePoint now);
    // A poll failed. `isTimedOut`: nothing came back, so when the runner fell silent is not known.
    void observePollFailure(bool isTimedOut, TimePoint now);
    // When this incarnation last answered.
    [[nodiscard]] TimePoint lastHeardAt() const { return m_lastHeardAt; }
    // When its connections broke, if it has not answered since: its process ended about then.
    [[nodiscard]] std::optional<TimePoint> brokeOffAt() const { return m_brokeOffAt; }

    // Numbers of the last ends that were applied, stored, and acknowledged to the runner.
    std::uint64_t lastAppliedEnd { 0 };
    // No earlier holder has acknowledged ends of this incarnation.
    bool areEndsKnownFromFirst { false };
    std::uint64_t lastStoredEnd { 0 };
    std::uint64_t lastAcknowledgedEnd { 0 };

    // Jobs of which a task has failed here since a task last completed here.
    std::set<JobId> jobsWithFailures;
    TimePoint avoidUntil;
    TimePoint idleSince;

private:
    RunnerReport m_report;
    FencingToken m_fence;
    std::optional<RunnerTime> m_clock;
    TimePoint m_clockAt;
    RunnerTime m_leaseUntil { 0 };
    TimePoint m_earliestLapse;
    TimePoint m_lastHeardAt;
    bool m_isSilent { false };
    std::optional<TimePoint> m_brokeOffAt;
    std::map<TaskName, Run> m_runs;
    Resources m_reserved;
};

} // namespace fulmar::jobs
