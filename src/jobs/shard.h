#pragma once

#include "jobs/adaptive_timeout.h"
#include "jobs/admission.h"
#include "jobs/burst_forecast.h"
#include "jobs/demand.h"
#include "jobs/job_table.h"
#include "jobs/move_plan.h"
#include "jobs/run_time_model.h"
#include "jobs/runner.h"
#include "jobs/stalled_jobs.h"
#include "jobs/team_quota.h"
#include "jobs/work_order.h"
#include "teams/share_meter.h"
#include "teams/team_config.h"

#include <deque>

namespace fulmar::jobs {

// Times and limits taken from the platform's settings.
struct ShardSettings {
    // Longest lease that a runner grants.
    Millis maxLease { 6'000 };
    // A runner may hold back the answer to a poll this long until a task ends.
    Millis maxPollWait { 1'000 };
    // How long finished jobs can be queried.
    Millis keepFinished { 150'000 };
    std::size_t maxRowBytes { defaultMaxRowBytes };
    // Time from the order of a VM until it works, if bursts are to be forecast.
    std::optional<Millis> vmLeadTimeForBursts;
};

enum class SubmitVerdict : std::uint8_t {
    // The job is already known; the caller is answered once it is stored. If it is over, the time for which
    // it
    // is kept begins anew.
    Known,
    New,
    Rejected,
};

struct SubmitDecision {
    SubmitVerdict verdict { SubmitVerdict::Rejected };
    AdmissionDecision admission;
    PoolLoad load;
    teams::ShareState share { teams::ShareState::NoTeams };
    // Of the job, by its expected run times; work in core-milliseconds.
    double expectedWork { 0 };
    Millis objective { 0 };
};

struct OutgoingStart {
    RunnerAddress runner;
    StartOrder order;
};

struct OutgoingStop {
    RunnerAddress runner;
    StopOrder order;
};

struct OutgoingPoll {
    RunnerAddress runner;
    PollOrder order;
};

// Orders to send now.
struct ShardOrders {
    std::vector<OutgoingStart> starts;
    std::vector<OutgoingStop> stops;
    std::vector<OutgoingPoll> polls;
    // When to plan again if no event comes before.
    TimePoint wakeAt;
};

// Rows to write or remove in one transaction.
struct ShardChange {
    // Job and JobRemoval also write or remove the progress of the job.
    enum class Kind : std::uint8_t { Job, Progress, Runner, JobRemoval, RunnerRemoval } kind;
    std::string key;
    std::string value;
    // Of a Job: the progress row to write; empty to remove one that an earlier job of this id has left.
    std::string progress {};
};

// The state of a shard's jobs and runners while this process holds the shard, and all decisions about them.
// Does no I/O: events come in with their time, and plan() returns the orders.
class Shard {
public:
    Shard(ShardSettings, Epoch);

    // Rows of an earlier holder; called before any other event.
    void restoreJob(Job, const JobProgress&, TimePoint now);
    void restoreRunner(RunnerReport, TimePoint now);

    // The teams of the newest configuration; empty if the deployment has none. Their jobs are spread over
    // `shardCount` shards.
    void setTeams(const std::vector<teams::TeamConfig>&, std::uint32_t shardCount);

    // The complete list of runners in the store.
    void observeRunners(const std::map<RunnerId, RunnerReport>&, TimePoint now);

    [[nodiscard]] SubmitDecision submit(Job, TimePoint now, WallTime wallNow);
    // Counts a job towards its pool's demand. submit() does this itself; the caller does it for jobs that are
    // rejected without submit().
    void recordDemand(Job, TimePoint now);
    void cancel(const JobId&, TimePoint now);
    // The store refuses a change of the job's row. A job that is not stored is forgotten, and any rows of it
    // are removed; a removal is repeated later.
    void onJobRowRefused(const JobId&, TimePoint now);
    [[nodiscard]] JobEntry* find(const JobId& id) { return m_jobTable.find(id); }
    // Stored jobs of the queue of which no task has started.
    [[nodiscard]] std::uint64_t pending(const std::string& queue) const;

    // Prepares a start that waited to be sent. False if it is no longer wanted, or its runner has shrunk
    // below what is reserved.
    [[nodiscard]] bool prepareStart(const RunnerId&, StartOrder&);
    void onStart(const RunnerId&, const StartOrder&, const OrderAnswer&, TimePoint now);
    void onStop(const RunnerId&, const StopOrder&, const OrderAnswer&, TimePoint now);
    // `sent` is when the poll was sent.
    void onPoll(const RunnerId&, const PollOrder&, const PollAnswer&, TimePoint sent, TimePoint now);

    // `mayStart` is false while this process is not sure that it holds the shard. Nothing is started then,
    // and no runner's lease is extended.
    [[nodiscard]] ShardOrders plan(TimePoint now, WallTime wallNow, bool mayStart);

    // Rows to write for the state changes since the last call.
    [[nodiscard]] std::vector<ShardChange> takeChanges(TimePoint now);
    // A change returned by takeChanges() is durable.
    void onStored(const ShardChange&, TimePoint now);
    // The last applied end of each runner that has ends not yet marked as stored. Once all changes that
    // takeChanges() has returned are durable, onEndsStored() lets the runners forget the ends up to these.
    struct AppliedEnds {
        struct Entry {
            RunnerId runner;
            // Incarnation of the runner that numbered the ends.
            std::int64_t incarnation { 0 };
            std::uint64_t lastEnd { 0 };
        };
        std::vector<Entry> entries;
    };
    [[nodiscard]] AppliedEnds appliedEnds() const;
    void onEndsStored(const AppliedEnds&);

    [[nodiscard]] std::map<RunnerId, Runner>& runners() { return m_runners; }
    [[nodiscard]] const std::map<RunnerId, Runner>& runners() const { return m_runners; }
    [[nodiscard]] JobTable& jobTable() { return m_jobTable; }
    [[nodiscard]] TeamQuota& teamQuota() { return m_teamQuota; }
    [[nodiscard]] const TeamQuota& teamQuota() const { return m_teamQuota; }
    // Capacity that the pool's jobs require.
    struct Demand {
        // Millicores.
        double cpu { 0 };
        // Least number of VMs, needed to spread or fit tasks.
        std::uint32_t minVms { 0 };
        Millis meanObjective { 0 };
        // VMs are ordered before the pool's next burst, so it keeps none between bursts.
        bool isBurstForecast { false };
    };
    [[nodiscard]] Demand demandOf(const PoolId&, TimePoint now, WallTime wallNow);
    // Null unless bursts are forecast; its update() is to be called several times a second.
    [[nodiscard]] BurstForecast* burstForecast() { return m_burstForecast ? &*m_burstForecast : nullptr; }
    // Millicores that can join the pool within the time of a VM move.
    void setArriving(const PoolId& pool, std::int64_t cpu) { m_arriving[pool] = cpu; }
    [[nodiscard]] bool hasLongRunningTasks(const RunnerId&);
    // Sets the complete list of cordoned runners.
    void setCordons(const std::map<RunnerId, Cordon>&);
    // Sets the complete list of runners whose VMs are still to be maintained.
    void setMaintenanceDue(const std::set<RunnerId>&);
    // Removes a runner whose incarnation is known to be over; its runs are lost. `isPlanned`: by an order of
    // this process, so that it says nothing about the runs.
    void endRunner(const RunnerId&, bool isPlanned, TimePoint now, std::string_view why);
    // Ends runners that are in neither the store's runner list nor `runnersInVmList`, which comes from a VM
    // list requested at `listRequestedAt`, and that do not answer polls.
    void endUnlistedRunners(
        const std::set<RunnerId>& runnersInVmList, TimePoint listRequestedAt, TimePoint now);
    // Stops the runner's long-running tasks whose disruption budget permits it and for which another runner
    // has capacity. The runner should be cordoned, or tasks may be placed there again.
    void evacuate(const RunnerId&, TimePoint now);
    // For the admission of a new job; `cost`: see costOf(). What the quota of another team holds back is not
    // ahead of it.
    [[nodiscard]] PoolLoad loadOf(const Job&, double cost, TimePoint now, WallTime wallNow) const;
    // See PoolLoad::quotaWait.
    [[nodiscard]] Millis quotaWaitOf(const Job&, double cost, WallTime wallNow) const;
    [[nodiscard]] const StalledJobs& stalledJobs() const { return m_stalledJobs; }
    // All runners of the earlier holder have answered, or their leases have lapsed.
    [[nodiscard]] bool areEarlierRunsResolved(const PoolId&, TimePoint now) const;

private:
    // Both are null if the runner does not have that run.
    struct KnownRun {
        Runner* runner { nullptr };
        Run* run { nullptr };
    };
    // Higher than all that this holder and those before it have used for any runner.
    [[nodiscard]] FencingToken nextFence();
    // An order with that fencing token got no answer and may be carried out later, by this incarnation or the
    // next one: orders from now on have a higher token, and whichever sees one refuses it.
    void onUnanswered(const RunnerId&, FencingToken);
    // Forgets a run. A start order of it that is still in flight is fenced off.
    void removeRun(Runner&, const TaskName&);
    void recordAnswerTime(const OrderAnswer&);
    void recordPredictedDemand(const Job&, TimePoint now);
    void renewRetention(JobEntry&, TimePoint now);
    [[nodiscard]] std::string encodedProgress(const JobEntry&) const;
    void writeRow(Runner&);
    // When a runner's lease has certainly lapsed that another holder, or an order for an earlier incarnation,
    // may have extended until `moment`.
    [[nodiscard]] TimePoint lapseIfExtendedAt(TimePoint moment) const;
    [[nodiscard]] KnownRun findRun(const RunnerId&, const TaskName&, Attempt);
    // Gives up runs that their runner certainly does not have; all of them, those named, or one without a log
    // line.
    void loseRuns(Runner&, TimePoint now, std::string_view why);
    void loseRuns(Runner&, const std::vector<TaskName>&, std::string_view why);
    void loseRun(Runner&, const TaskName&);
    // The runner started again under its id. Gives up the runs that the earlier incarnation had; those that
    // the new one may have wait for its poll.
    void onRestarted(Runner&, std::int64_t incarnation, TimePoint now);
    // The runner's incarnation ended other than by a planned shutdown or an order of this process.
    void onCrash(Runner&, TimePoint now, std::string_view why);
    [[nodiscard]] std::vector<CrashedRun> takeCrashedRuns(const Runner&);
    void onLeaseLapsed(Runner&, TimePoint now);
    void observePollFailure(Runner&, bool isTimedOut, TimePoint now);
    void countCrashOfUnlisted(const RunnerId&, TimePoint now);
    void countCrashes(const std::vector<CrashedRun>&, const RunnerId&, TimePoint now, std::string_view why);
    void clearOfCrashes(const TaskName&, Run&, TimePoint seenAt);
    // Runners of a pool, by the tasks that they take.
    struct PoolRunners {
        std::vector<Runner*> shared;
        std::vector<Runner*> setApart;
        // Of cordoned VMs; only for jobs that have been stalled for long, while the pool is not busy.
        std::vector<Runner*> emptying;
        // Less than half of the pool's processors are in use.
        bool isIdle { false };
        // The job that is to be placed has been stalled for long.
        bool mayShortenIsolation { false };
        // Of the step that is to be placed; does not count for a gang.
        std::optional<std::uint32_t> maxTasks;
    };
    // `wanted`: number of runners to set apart.
    [[nodiscard]] PoolRunners divideRunners(
        const std::vector<Runner*>& usable, std::size_t wanted, TimePoint now);
    void applyEnds(Runner&, const PollAnswer&, TimePoint now);
    void applyEnd(Runner&, const EndedTask&, TimePoint now);
    void onJobStateChange(const JobEntry&, const Runner&, const EndedTask&, TimePoint now);
    void stopRunsOf(const JobId&);
    void applyRunning(Runner&, const PollOrder&, const PollAnswer&, TimePoint sent, TimePoint now);
    void adopt(Runner&, const RunningTask&, TimePoint now);
    void recordTaskOutcome(Runner&, const EndedTask&, TimePoint now);
    void recordRunTime(const Runner&, const TaskName&, const Run&, TimePoint now);
    static void stopRun(Run&);
    [[nodiscard]] bool canInterrupt(JobEntry&, const TaskName&, TimePoint now);
    // Usable VMs of this capacity without long-running tasks that the step needs, if its job is stalled and
    // its tasks fit beside the long-running tasks of no usable VM.
    [[nodiscard]] static std::uint32_t freeVmsForStalled(const JobEntry&, const StepOccurrence&,
        const Resources& capacity, const std::vector<Runner*>& usable, TimePoint now);
    [[nodiscard]] bool hasAlternativeRunner(const Runner&, JobEntry&, const TaskName&, TimePoint now);
    void checkForStalledJobs(TimePoint now, WallTime wallNow, bool mayStart);
    void logUnplaced(const JobEntry&, const StepOccurrence&, TimePoint now);
    void planResends(Runner&, ShardOrders&);
    [[nodiscard]] Millis pollWaitFor(const Runner&, TimePoint now) const;
    void planStops(Runner&, TimePoint now, ShardOrders&);
    void planPoll(Runner&, TimePoint now, bool mayExtendLease, ShardOrders&);
    void placeJobs(TimePoint now, WallTime wallNow, ShardOrders&);
    [[nodiscard]] static Runner* chooseRunnerForIsolation(
        const PoolRunners&, Isolation, const Step&, const TaskName&, TimePoint now);
    void placeStep(JobEntry&, StepOccurrence&, PoolRunners&, TimePoint now, ShardOrders&);
    [[nodiscard]] std::uint32_t noteWaiting(const JobEntry&, const StepOccurrence&);
    void placeStepAsLastResort(JobEntry&, StepOccurrence&, PoolRunners&, TimePoint now, ShardOrders&);
    void placeTasks(JobEntry&, StepOccurrence&, PoolRunners&, TimePoint now, ShardOrders&);
    void orderStart(
        JobEntry&, const TaskName&, Task&, Runner&, Attempt, Isolation, TimePoint now, ShardOrders&);
    [[nodiscard]] std::vector<Runner*> usableRunners(const PoolId&, TimePoint now);
    [[nodiscard]] std::vector<Runner*> emptyingRunners(const PoolId&, TimePoint now);
    [[nodiscard]] Attempt nextAttempt() { return m_attemptBase + ++m_attempts; }

    const ShardSettings m_settings;
    const FencingToken m_lastFenceOfEpoch;
    FencingToken m_lastFence;
    // By then no run of an earlier holder is alive, even one that an order began late.
    TimePoint m_earlierRunsEndBy;
    const Attempt m_attemptBase;
    Attempt m_attempts { 0 };
    JobTable m_jobTable;
    std::map<RunnerId, Runner> m_runners;
    std::vector<ShardChange> m_runnerChanges;
    // Runs that were given up when their runner's lease lapsed, until it shows whether it has crashed.
    std::map<RunnerId, std::vector<CrashedRun>> m_lapsedRuns;
    // When connections to runners broke, the latest last.
    std::deque<BreakOff> m_breakOffs;
    // Jobs whose rows takeChanges() is to write, and ids whose rows it is to remove.
    std::vector<JobId> m_jobsToStore;
    std::vector<JobId> m_jobsToRemove;
    // Incarnations that ended and may still be in the store's list.
    std::set<std::pair<RunnerId, std::int64_t>> m_endedIncarnations;
    AdaptiveTimeout m_answerTimeout;
    RunTimeModel m_runTimes;
    std::map<TeamId, teams::TeamConfig> m_teams;
    teams::ShareMeter m_shares;
    JobWorth m_worth;
    std::uint32_t m_shardCount { 1 };
    TeamQuota m_teamQuota;
    std::map<PoolId, DemandMeter> m_demand;
    std::optional<BurstForecast> m_burstForecast;
    std::map<PoolId, std::int64_t> m_arriving;
    // Pools in which startable tasks wait for capacity.
    std::set<PoolId> m_backloggedPools;
    // VMs needed for long-running tasks that fit on none of the usable VMs.
    std::map<PoolId, std::uint32_t> m_unplacedLongRunning;
    std::map<PoolId, TimePoint> m_nextUnplacedLog;
    StalledJobs m_stalledJobs;
    TimePoint m_nextStallCheck;
};

} // namespace fulmar::jobs
