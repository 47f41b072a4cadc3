#pragma once

#include "jobs/adaptive_timeout.h"
#include "jobs/admission.h"
#include "jobs/demand.h"
#include "jobs/job_table.h"
#include "jobs/move_plan.h"
#include "jobs/runner.h"

#include <deque>

namespace fulmar::jobs {

// Times that the platform's settings give.
struct ShardSettings {
    // Longest lease that a runner grants.
    Millis maxLease { 6'000 };
    // A runner's answer to a look may wait this long for an end.
    Millis maxPollWait { 1'000 };
    // Longest time for which finished jobs can be asked for.
    Millis keepFinished { 150'000 };
};

enum class SubmitVerdict : std::uint8_t {
    // Stored before, or stored now; answer once it is durable.
    Known,
    New,
    Rejected,
};

struct SubmitDecision {
    SubmitVerdict verdict { SubmitVerdict::Rejected };
    AdmissionDecision admission;
    PoolLoad load;
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

// What to send now.
struct ShardOrders {
    std::vector<OutgoingStart> starts;
    std::vector<OutgoingStop> stops;
    std::vector<OutgoingPoll> polls;
    // When the next look is due, if no event comes before.
    TimePoint wakeAt;
};

// What has to be stored, and what to tell the shard when it is.
struct ShardChange {
    enum class Kind : std::uint8_t { Job, Progress, Runner, JobRemoval, RunnerRemoval } kind;
    std::string key;
    std::string value;
};

// The state of a shard's jobs and runners while this process holds the shard, and all decisions about them.
// Free of input and output: events come in with their time, orders go out by plan().
class Shard {
public:
    Shard(ShardSettings, Epoch);

    // Rows of an earlier holder; before any other event.
    void restoreJob(Job, const JobProgress&, TimePoint now);
    void restoreRunner(RunnerReport, TimePoint now);

    // The whole list of runners as the store has it now.
    void observeRunners(const std::map<RunnerId, RunnerReport>&, TimePoint now);

    [[nodiscard]] SubmitDecision submit(const Job&, TimePoint now, WallTime wallNow);
    // A job that was refused before it came here: its pool is asked for all the same.
    void recordDemand(const Job&, TimePoint now);
    void cancel(const JobId&, TimePoint now);
    [[nodiscard]] JobEntry* find(const JobId& id) { return m_jobTable.find(id); }
    // Jobs of the queue that are stored and of which no task has started.
    [[nodiscard]] std::uint64_t pending(const std::string& queue) const;

    // A start that waited to be sent is still wanted.
    [[nodiscard]] bool mayStillStart(const RunnerId&, const StartOrder&);
    void onStart(const RunnerId&, const StartOrder&, const OrderAnswer&, TimePoint now);
    void onStop(const RunnerId&, const StopOrder&, const OrderAnswer&, TimePoint now);
    // `sent` is when the look was sent.
    void onPoll(const RunnerId&, const PollOrder&, const PollAnswer&, TimePoint sent, TimePoint now);

    // Orders to send now; `mayStart` is false while this process is not sure that it holds the shard.
    [[nodiscard]] ShardOrders plan(TimePoint now, WallTime wallNow, bool mayStart);

    // Rows to write. All changes of the state up to now are in it.
    [[nodiscard]] std::vector<ShardChange> takeChanges(TimePoint now);
    // A change that takeChanges returned is durable.
    void onStored(const ShardChange&, TimePoint now);
    // Everything that takeChanges returned up to now is durable: the runners may forget these ends.
    struct EndsMark {
        struct Ends {
            RunnerId runner;
            // Life of the runner that counts them.
            std::int64_t incarnation { 0 };
            std::uint64_t number { 0 };
        };
        std::vector<Ends> ends;
    };
    [[nodiscard]] EndsMark endsMark() const;
    void onEndsStored(const EndsMark&);

    [[nodiscard]] std::map<RunnerId, Runner>& runners() { return m_runners; }
    [[nodiscard]] const std::map<RunnerId, Runner>& runners() const { return m_runners; }
    [[nodiscard]] JobTable& jobTable() { return m_jobTable; }
    // What the pool's demand asks for.
    struct Demand {
        // Thousandths of a core.
        double cpu { 0 };
        // VMs over which a step wants to be spread, whatever room they have.
        std::uint32_t minVms { 0 };
        Millis meanObjective { 0 };
    };
    [[nodiscard]] Demand demandOf(const PoolId&, TimePoint now, WallTime wallNow);
    // Cores (thousandths) that the pool can get within the time of a move.
    void setArriving(const PoolId& pool, std::int64_t cpu) { m_arriving[pool] = cpu; }
    [[nodiscard]] bool hasLongRunningTasks(const RunnerId&);
    // Keeps new work away from a runner that is to be taken away, or lets it come again.
    void reserve(const RunnerId&, bool);
    // All runners whose VMs are still to be maintained.
    void setMaintenanceDue(const std::set<RunnerId>&);
    // The runner's life is known to be over: nothing of it runs any more.
    void endRunner(const RunnerId&, TimePoint now, std::string_view why);
    // Runners that neither the store lists nor live on any VM, by a list of VMs asked for at a moment.
    void endUnlistedRunners(const std::set<RunnerId>& living, TimePoint listRequestedAt, TimePoint now);
    // Stops lasting tasks of a reserved runner as far as their steps can spare them.
    void evacuate(const RunnerId&, TimePoint now);
    [[nodiscard]] PoolLoad loadOf(
        const PoolId&, std::int32_t priority, TimePoint now, WallTime wallNow) const;
    // All runners of the earlier holder have answered or can run nothing of it any more.
    [[nodiscard]] bool areEarlierRunsResolved(const PoolId&, TimePoint now) const;

private:
    // Both null if that run is not known there.
    struct KnownRun {
        Runner* runner { nullptr };
        Run* run { nullptr };
    };
    void observe(const OrderAnswer&);
    [[nodiscard]] KnownRun findRun(const RunnerId&, const TaskName&, Attempt);
    void loseRuns(Runner&, TimePoint now, std::string_view why);
    void applyEnds(Runner&, const PollAnswer&, TimePoint now);
    void applyEnd(Runner&, const EndedTask&, TimePoint now);
    void onJobState(const JobEntry&, const Runner&, const EndedTask&, TimePoint now);
    void stopRunsOf(const JobId&);
    void applyRunning(Runner&, const PollAnswer&, TimePoint sent, TimePoint now);
    void adopt(Runner&, const RunningTask&, TimePoint now);
    void recordTaskOutcome(Runner&, const EndedTask&, TimePoint now);
    static void stopRun(Run&);
    [[nodiscard]] bool canInterrupt(JobEntry&, const TaskName&, TimePoint now);
    [[nodiscard]] bool hasAlternativeRunner(const Runner&, JobEntry&, const TaskName&, TimePoint now);
    void logUnplaced(const JobEntry&, const StepRun&, TimePoint now);
    void planResends(Runner&, ShardOrders&);
    [[nodiscard]] Millis pollWaitFor(const Runner&, TimePoint now) const;
    void planStops(Runner&, TimePoint now, ShardOrders&);
    void planPoll(Runner&, TimePoint now, ShardOrders&);
    void placeJobs(TimePoint now, WallTime wallNow, ShardOrders&);
    void placeStep(JobEntry&, StepRun&, std::vector<Runner*>&, TimePoint now, ShardOrders&);
    void placeTasks(JobEntry&, StepRun&, std::vector<Runner*>&, TimePoint now, ShardOrders&);
    void order(JobEntry&, const TaskName&, Task&, Runner&, Attempt, TimePoint now, ShardOrders&);
    [[nodiscard]] std::vector<Runner*> usableRunners(const PoolId&, TimePoint now);
    [[nodiscard]] Attempt nextAttempt() { return m_attemptBase + ++m_attempts; }

    const ShardSettings m_settings;
    const Epoch m_epoch;
    const Attempt m_attemptBase;
    Attempt m_attempts { 0 };
    JobTable m_jobTable;
    std::map<RunnerId, Runner> m_runners;
    std::vector<ShardChange> m_runnerChanges;
    std::vector<JobId> m_newJobs;
    // Lives that ended while the store may still list them.
    std::set<std::pair<RunnerId, std::int64_t>> m_endedIncarnations;
    AdaptiveTimeout m_answerTimeout;
    std::map<PoolId, DemandMeter> m_demand;
    std::map<PoolId, std::int64_t> m_arriving;
    // Pools in which startable tasks wait for room.
    std::set<PoolId> m_backloggedPools;
    // VMs that lasting tasks want beside the usable ones, none of which has a place for them.
    std::map<PoolId, std::uint32_t> m_unplacedLongRunning;
    std::map<PoolId, TimePoint> m_nextUnplacedLog;
};

} // namespace fulmar::jobs
