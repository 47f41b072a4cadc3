#pragma once

#include "core/clock.h"
#include "platform/workers.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmar::standin {

// What a job's tasks really do, as opposed to what was declared.
struct JobTruth {
    Duration runTime { std::chrono::seconds(10) };
    double processors { 1 };
    std::uint64_t memoryMb { 1024 };
    bool fails { false };
};

struct WorkerSeed {
    VmId worker;
    PoolId pool;
    ZoneId zone;
    RackId rack;
    double processors { 16 };
    std::uint64_t memoryMb { 32'768 };
    std::uint32_t accelerators { 0 };
    bool failsEverything { false };
};

using ObjectStore = std::map<std::string, std::string>;

// The platform's workers: they run tasks under leases, report usage with a lag, and obey orders. Time passes
// only as told by `now`.
class WorkerFleet {
public:
    WorkerFleet(ObjectStore& objects, Duration usageLag);

    void add(WorkerSeed);
    void setTruth(const JobId&, JobTruth);
    void markLeaving(const VmId&);
    // The worker is down until `until`; its tasks end as failed.
    void takeDown(TimePoint now, const VmId&, TimePoint until);

    [[nodiscard]] Result<void> start(TimePoint now, const VmId&, const TaskStart&);
    // Leases of tasks that have ended are left as they are.
    [[nodiscard]] Result<void> renew(
        TimePoint now, const VmId&, const std::vector<TaskId>&, std::chrono::milliseconds lease);
    [[nodiscard]] Result<void> order(
        TimePoint now, const VmId&, const TaskId&, TaskOrder, const OperationId&);
    [[nodiscard]] std::vector<WorkerReport> report(TimePoint now);

    // The reports that changed after `since`; all of them if `since` is not a version of this fleet.
    struct Changes {
        std::vector<WorkerReport> reports;
        Version version { 0 };
        bool complete { false };
    };
    [[nodiscard]] Changes changesSince(TimePoint now, Version since);

    // Starts made so far of each task, for checks of at-most-once.
    [[nodiscard]] const std::map<TaskId, std::uint32_t>& starts() const { return m_starts; }
    // Tasks that ran to their end, with the number of times each did.
    [[nodiscard]] const std::map<TaskId, std::uint32_t>& finishes() const { return m_finishes; }

private:
    struct Task {
        TaskStart start;
        JobTruth truth;
        TaskPhase phase { TaskPhase::Running };
        TimePoint startedAt;
        TimePoint advancedTo;
        TimePoint leaseUntil;
        Duration done {};
        std::string checkpoint;
        std::uint32_t checkpoints { 0 };
    };
    struct Worker {
        WorkerSeed seed;
        bool leaving { false };
        TimePoint downUntil {};
        // The newest start of each task; ended tasks stay until another start replaces them.
        std::map<TaskId, Task> tasks;
        std::set<OperationId> operations;
        // The report as last told, and the version at which it became so.
        WorkerReport told;
        Version changed { 0 };
    };

    Worker* find(const VmId&);
    void advance(TimePoint now, Worker&);
    void advance(TimePoint now, Task&);
    void finish(Task&, TaskPhase);
    void saveCheckpoint(Task&);
    [[nodiscard]] Duration progressOf(const std::string& checkpoint) const;
    [[nodiscard]] TaskReport reportOf(TimePoint now, const Task&) const;
    [[nodiscard]] WorkerReport reportOf(TimePoint now, const Worker&) const;

    ObjectStore& m_objects;
    Duration m_usageLag;
    std::map<VmId, Worker> m_workers;
    Version m_version { 0 };
    std::map<JobId, JobTruth> m_truths;
    std::map<TaskId, std::uint32_t> m_starts;
    std::map<TaskId, std::uint32_t> m_finishes;
};

} // namespace fulmar::standin
