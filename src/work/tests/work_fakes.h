#pragma once

#include "memory_table.h"
#include "work/work_duty.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace fulmar::test {

using namespace fulmar::work;

// Defects injected on purpose to prove that the tests detect them.
enum class Defect {
    None,
    // A new owner reads started tasks as queued.
    ForgetsStarts,
    // The table confirms some commits without applying them.
    DropsWrites,
    // A new owner reads cancelled tasks as queued.
    ForgetsCancels,
    // The platform lists workers with twice their processors.
    InflatesWorkers,
};

// The platform's table with injected outages and lost replies.
struct FakePlatform {
    Result<Version> commit(const Transaction& transaction)
    {
        if (!available || injectsFault())
            return notRun(Reason::StoreUnavailable, "injected table outage");
        if (defect == Defect::DropsWrites && ++commits % 3 == 0)
            return table.version();
        auto result = table.commit(transaction);
        if (result)
            rowWrites += transaction.writes.size();
        if (loseNextReplies > 0) {
            --loseNextReplies;
            return mayHaveRun(Reason::StoreUnavailable, "the reply was lost");
        }
        if (injectsFault())
            return mayHaveRun(Reason::StoreUnavailable, "the reply was lost");
        return result;
    }

    Result<Changes> read(const std::string& prefix, Version since) const
    {
        if (!available)
            return notRun(Reason::StoreUnavailable, "injected table outage");
        auto changes = table.read(prefix, since);
        for (auto& row : changes.rows)
            row.value = tamper(row.value);
        return changes;
    }

    [[nodiscard]] std::string tamper(const std::string& value) const
    {
        auto record = decodeTask(value);
        if (!record)
            return value;
        auto wasCancelled = record->state == TaskState::Cancelled || record->cancelRequested;
        auto wasStarted = record->state == TaskState::Starting || record->state == TaskState::Running;
        if ((defect == Defect::ForgetsCancels && wasCancelled)
            || (defect == Defect::ForgetsStarts && wasStarted)) {
            record->state = TaskState::Queued;
            record->cancelRequested = false;
        }
        return encode(*record);
    }

    Result<void> putObject(const std::string&, const std::string&) { return {}; }
    Result<std::string> getObject(const std::string&)
    {
        return notRun(Reason::NotFound, "no objects in this fake");
    }
    Result<std::vector<ListedVm>> listVms() { return std::vector<ListedVm> {}; }
    Result<void> rebootVm(const VmId&, const OperationId&) { return {}; }

    bool injectsFault()
    {
        return random && std::uniform_real_distribution<>(0, 1)(*random) < faultProbability;
    }

    standin::MemoryTable table;
    bool available { true };
    int loseNextReplies { 0 };
    std::mt19937_64* random { nullptr };
    double faultProbability { 0 };
    std::size_t rowWrites { 0 };
    Defect defect { Defect::None };
    int commits { 0 };
};

// Workers that run tasks until a test ends them, and end tasks whose lease lapses.
struct FakeWorkers {
    struct Run {
        TaskReport report;
        VmId worker;
        TimePoint leaseUntil;
        Resources size;
    };

    Result<void> startTask(const VmId& worker, const TaskStart& start)
    {
        if (injectsFault())
            return notRun(Reason::TargetFailed, "refused");
        if (!runs.contains(start.operation)) {
            ++starts[start.task];
            if (onStart)
                onStart(worker, start);
            runs[start.operation] = Run { { start.task, start.operation, TaskPhase::Running, 0, 0, "", "" },
                worker, clock.now() + start.lease,
                { start.processors, double(start.memoryMb), double(start.accelerators) } };
        }
        if (loseNextReplies > 0 || injectsFault()) {
            loseNextReplies = std::max(0, loseNextReplies - 1);
            return mayHaveRun(Reason::DeadlineExceeded, "the reply was lost");
        }
        return {};
    }

    Result<void> renewLeases(
        const VmId& worker, const std::vector<TaskId>& tasks, std::chrono::milliseconds lease)
    {
        for (auto& [operation, run] : runs)
            if (run.worker == worker && isActive(run)
                && std::count(tasks.begin(), tasks.end(), run.report.task))
                run.leaseUntil = clock.now() + lease;
        return {};
    }

    Result<void> orderTask(const VmId& worker, const TaskId& task, TaskOrder order, const OperationId&)
    {
        if (injectsFault())
            return mayHaveRun(Reason::DeadlineExceeded, "the reply was lost");
        for (auto& [operation, run] : runs) {
            if (run.worker != worker || run.report.task != task || !isActive(run))
                continue;
            orders.emplace_back(task, order);
            if (order == TaskOrder::Stop)
                run.report.phase = TaskPhase::Stopped;
            if (order == TaskOrder::Throttle)
                run.report.phase = TaskPhase::Throttled;
            if (order == TaskOrder::Resume)
                run.report.phase = TaskPhase::Running;
            if (order == TaskOrder::Checkpoint)
                run.report.checkpoint
                    = task.value() + "@" + std::to_string(clock.now().time_since_epoch().count());
        }
        return {};
    }

    Result<std::vector<WorkerReport>> listWorkers()
    {
        std::map<VmId, WorkerReport> reports;
        for (const auto& [id, worker] : machines) {
            reports[id] = worker;
            reports[id].processors *= defect == Defect::InflatesWorkers ? 2 : 1;
        }
        for (auto& [operation, run] : runs) {
            if (isActive(run) && run.leaseUntil < clock.now())
                run.report.phase = TaskPhase::LeaseLapsed;
            if (auto position = reports.find(run.worker); position != reports.end() && position->second.live)
                position->second.tasks.push_back(run.report);
        }
        std::vector<WorkerReport> list;
        list.reserve(reports.size());
        for (auto& [id, report] : reports)
            list.push_back(std::move(report));
        return list;
    }

    static bool isActive(const Run& run)
    {
        return run.report.phase == TaskPhase::Running || run.report.phase == TaskPhase::Throttled;
    }

    void endAll(TaskPhase phase)
    {
        for (auto& [operation, run] : runs)
            if (isActive(run))
                run.report.phase = phase;
    }
    void finishAll() { endAll(TaskPhase::Finished); }

    int startsOf(const std::string& task) const
    {
        auto position = starts.find(TaskId(task));
        return position == starts.end() ? 0 : position->second;
    }

    bool injectsFault()
    {
        return random && std::uniform_real_distribution<>(0, 1)(*random) < faultProbability;
    }

    const ManualClock& clock;
    std::map<VmId, WorkerReport> machines;
    std::map<OperationId, Run> runs;
    std::map<TaskId, int> starts;
    std::vector<std::pair<TaskId, TaskOrder>> orders;
    std::function<void(const VmId&, const TaskStart&)> onStart;
    int loseNextReplies { 0 };
    std::mt19937_64* random { nullptr };
    double faultProbability { 0 };
    Defect defect { Defect::None };
};

// A lease on the shard; a test sets whether it is held.
struct FakeLease {
    [[nodiscard]] bool held(TimePoint) const { return isHeld; }
    [[nodiscard]] Condition condition() const { return { "lease/work/0", version }; }

    bool isHeld { true };
    Version version { 0 };
};

inline TaskSpec taskSpec(const std::string& id, double processors = 1, bool idempotent = false)
{
    TaskSpec spec;
    spec.task = TaskId(id);
    spec.pool = PoolId("p");
    spec.team = TeamId("team");
    spec.job = JobId("job");
    spec.size = { processors, 1024, 0 };
    spec.idempotent = idempotent;
    return spec;
}

// A table, workers and successive owners of the shard, in virtual time.
struct TestCluster {
    explicit TestCluster(int workerCount, WorkSettings workSettings = {})
        : settings(std::move(workSettings))
        , workers { clock, {}, {}, {}, {}, {}, 0, nullptr, 0, Defect::None }
        , events(ProcessId("test"), 1'000)
    {
        addWorkers(workerCount);
        changeOwner();
    }

    using Reply = std::shared_ptr<std::optional<Result<TaskRecord>>>;

    Reply submit(TaskSpec spec)
    {
        auto reply = std::make_shared<std::optional<Result<TaskRecord>>>();
        duty->submit({ std::move(spec), clock.now() + std::chrono::seconds(10),
            [reply](Result<TaskRecord> result) { *reply = std::move(result); } });
        return reply;
    }

    Reply cancel(const std::string& id)
    {
        auto reply = std::make_shared<std::optional<Result<TaskRecord>>>();
        duty->cancel({ TaskId(id), clock.now() + std::chrono::seconds(10),
            [reply](Result<TaskRecord> result) { *reply = std::move(result); } });
        return reply;
    }

    void addWorkers(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto number = workers.machines.size();
            VmId id("w" + std::to_string(number));
            workers.machines[id] = WorkerReport { id, PoolId("p"), ZoneId("z" + std::to_string(number % 3)),
                RackId("r" + std::to_string(number / 4)), 16, 32'768, 0, true, false, {} };
        }
    }

    // Starts a new owner. The lease row is rewritten, so that writes of the earlier owner fail. The earlier
    // owner is paused and still believes that it holds the lease.
    void changeOwner()
    {
        if (pausedDuty)
            pausedDuty->shutDown();
        pausedDuty = std::move(duty);
        pausedLease = std::move(lease);
        Transaction take { OperationId("take"), {}, { { "lease/work/0", "owner", false } } };
        lease = std::make_unique<FakeLease>();
        lease->version = *platform.table.commit(take);
        duty = std::make_unique<Duty>(
            settings, ProcessId("c" + std::to_string(++owners)), platform, workers, clock, *lease, events);
        duty->step();
    }

    void run(Duration time)
    {
        for (auto end = clock.now() + time; clock.now() < end; clock.advance(std::chrono::milliseconds(100)))
            duty->step();
    }

    std::string stateOf(const std::string& id)
    {
        auto record = duty->status(TaskId(id));
        return record ? std::string(toString(record->state)) : std::string(toString(record.error().reason));
    }

    using Duty = WorkDuty<FakePlatform, FakeWorkers, ManualClock, FakeLease>;

    WorkSettings settings;
    ManualClock clock;
    FakePlatform platform;
    FakeWorkers workers;
    EventLog events;
    std::unique_ptr<FakeLease> lease;
    std::unique_ptr<FakeLease> pausedLease;
    std::unique_ptr<Duty> duty;
    std::unique_ptr<Duty> pausedDuty;
    int owners { 0 };
};

} // namespace fulmar::test
