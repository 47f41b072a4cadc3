#pragma once

#include "jobs/runner_orders.h"

#include <map>
#include <set>

namespace fulmar::jobs {

enum class RunPhase : std::uint8_t {
    // The start was ordered and not yet answered.
    Starting,
    Running,
    // No answer to the start: the run may be there, or may come to be there.
    Unconfirmed,
    // A stop was ordered; what it holds is free once its end is listed.
    Stopping,
};

// One run of a task on a runner, from the order to the end.
struct Run {
    Attempt attempt { 0 };
    Resources reserved;
    RunPhase phase { RunPhase::Starting };
    // When the order to start was given.
    TimePoint orderedAt;
    // It runs until its job is cancelled.
    bool isLongRunning { false };
    // Doubtful: an answer to a look that was sent after all orders to start it does not list it.
    bool isMissing { false };
    // When the last order to start it was answered, or given up.
    TimePoint lastStartSettledAt;
    // When the task is expected to end; empty if it lasts, or an earlier holder started it.
    std::optional<TimePoint> expectedEnd;
    // Orders to start that were sent, and that got no answer.
    std::uint32_t unansweredStarts { 0 };
    // Starting: the order is to be sent once more.
    bool isResendDue { false };
    std::uint32_t unansweredStops { 0 };
    TimePoint stopNotBefore;
    // Doubtful and Stopping: when the runner acknowledged the stop, after which the run cannot begin there.
    std::optional<TimePoint> stopAcknowledgedAt;
    bool isStopInFlight { false };
    // Where the task's next run may resume.
    std::string checkpoint;
    // Share at which it works; 100 when at work.
    std::uint32_t percent { 0 };
};

// Looks without an answer after which a runner counts as silent.
inline constexpr std::uint32_t failedPollsUntilUnreachable = 2;

// A runner as the holder of the shard knows it: what may run there, until when, and what was heard.
class Runner {
public:
    explicit Runner(RunnerReport report)
        : m_report(std::move(report))
    {
    }

    [[nodiscard]] const RunnerReport& report() const { return m_report; }
    [[nodiscard]] RunnerAddress address() const { return { m_report.id, m_report.address }; }
    void update(RunnerReport report) { m_report = std::move(report); }

    // Records what the runner's clock showed at a moment of ours.
    void observeClock(RunnerTime shown, TimePoint at);
    // The runner's clock now, or less: it may be slow. Empty before the first answer.
    [[nodiscard]] std::optional<RunnerTime> minClock(TimePoint now) const;
    // End of a lease of the given length, to be sent with an order. Remembers the latest.
    RunnerTime extendLease(TimePoint now, Millis length);
    // The latest end of a lease that was sent.
    [[nodiscard]] RunnerTime leaseUntil() const { return m_leaseUntil; }
    // Nothing that was ordered before can run there any more.
    [[nodiscard]] bool hasLeaseLapsed(TimePoint now) const;
    void forbidLapseBefore(TimePoint moment) { m_lapseNotBefore = moment; }

    Run& addRun(const TaskName&, Run);
    void removeRun(const TaskName&);
    [[nodiscard]] Run* find(const TaskName&);
    [[nodiscard]] std::map<TaskName, Run>& runs() { return m_runs; }
    [[nodiscard]] const std::map<TaskName, Run>& runs() const { return m_runs; }
    // Several looks in a row had no answer; a single one may be lost on a runner that is well.
    [[nodiscard]] bool isUnreachable() const { return failedPolls >= failedPollsUntilUnreachable; }
    // Tasks of one step that are here.
    [[nodiscard]] std::uint32_t countOfStep(const TaskName&) const;
    [[nodiscard]] const Resources& reserved() const { return m_reserved; }
    [[nodiscard]] Resources room() const;
    // It has told this holder what runs there, answers, nothing does, and the ends that it told are stored:
    // with its life its list of ends is gone.
    [[nodiscard]] bool isKnownEmpty() const
    {
        return isFenced && failedPolls == 0 && m_runs.empty() && endsStored == endsApplied;
    }

    // The store's list names it.
    bool isListed { true };
    TimePoint unlistedSince;
    // It answered a look of this epoch, so that it refuses orders of earlier ones.
    bool isFenced { false };
    // Its row is stored, so that the next holder of the shard will ask it too.
    bool isRecorded { false };
    // An order to move it or to maintain it is on its way.
    bool isReserved { false };

    // Its VM is still to be maintained in a wave: lasting tasks placed there would have to leave again.
    bool isMaintenanceDue { false };

    bool isPollInFlight { false };
    TimePoint nextPoll;
    // When the last look that was answered had been sent: what is known of its runs is no older.
    TimePoint statusAsOf;
    // Looks in a row without an answer.
    std::uint32_t failedPolls { 0 };

    // Highest numbered end that was taken into account, and that is stored.
    std::uint64_t endsApplied { 0 };
    std::uint64_t endsStored { 0 };
    std::uint64_t endsAcknowledged { 0 };

    // Jobs that failed here since the last task that was done here.
    std::set<JobId> failedJobs;
    TimePoint avoidUntil;
    // Since when nothing runs here.
    TimePoint idleSince;

private:
    RunnerReport m_report;
    std::optional<RunnerTime> m_clock;
    TimePoint m_clockAt;
    RunnerTime m_leaseUntil { 0 };
    TimePoint m_lapseNotBefore;
    std::map<TaskName, Run> m_runs;
    Resources m_reserved;
};

} // namespace fulmar::jobs
