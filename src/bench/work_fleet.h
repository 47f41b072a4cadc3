#pragma once

#include "platform/workers.h"
#include "work/resources.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::bench::longwork {

using namespace fulmar::work;

// What a task really needs and does, unknown to the scheduler.
struct TrueTask {
    Resources size;
    // Run time on a worker with room to spare.
    Duration runTime {};
    bool fails { false };
    bool idempotent { true };
    bool cancelled { false };
};

// Processor-seconds, by what became of them.
struct WorkDone {
    double useful { 0 };
    double thrownAway { 0 };
};

// Workers in virtual time. Processors in short supply slow every task on the worker; memory in short supply
// ends the largest task; some workers fail everything. Reports are as old as the platform's lag.
class VirtualFleet {
public:
    explicit VirtualFleet(Duration reportLag);

    void addWorker(WorkerReport, bool failsEverything);
    void addTask(const TaskId&, const TrueTask&);

    void start(const VmId&, const TaskStart&, TimePoint now);
    void order(const VmId&, const TaskId&, TaskOrder, TimePoint now);

    // The caller no longer wants the task: its work is neither useful nor thrown away.
    void onCancelled(const TaskId&);

    void advance(TimePoint now, Duration step);
    // Takes a snapshot of all workers, to be seen after the lag.
    void snapshot(TimePoint now);
    // The newest snapshot old enough to be seen; empty if there is none that is new.
    [[nodiscard]] std::vector<WorkerReport> reports(TimePoint now);

    // Work so far; tasks still running count with what they would keep.
    [[nodiscard]] WorkDone workDone() const;
    [[nodiscard]] std::size_t startsOf(const TaskId&) const;
    // Workers on which more memory was needed than there is, so far.
    [[nodiscard]] std::size_t memoryKills() const { return m_memoryKills; }

private:
    struct Run {
        TaskReport report;
        const TrueTask* task { nullptr };
        TimePoint startedAt {};
        TimePoint checkpointedAt {};
        TimePoint endedAt {};
        // Seconds of run time done, and those in the newest checkpoint.
        double progress { 0 };
        double saved { 0 };
        bool throttled { false };

        [[nodiscard]] bool isActive() const
        {
            return report.phase == TaskPhase::Running || report.phase == TaskPhase::Throttled;
        }
    };

    struct Machine {
        WorkerReport worker;
        bool failsEverything { false };
        std::vector<Run> runs;
    };

    void advance(Machine&, TimePoint now, Duration step);
    void end(Run&, TaskPhase, std::string detail, TimePoint now);
    static Resources usage(const Run&, TimePoint now);

    const Duration m_reportLag;
    std::vector<Machine> m_machines;
    std::unordered_map<VmId, std::size_t> m_index;
    std::unordered_map<TaskId, TrueTask> m_tasks;
    std::unordered_map<TaskId, double> m_checkpoints;
    std::unordered_map<TaskId, std::size_t> m_starts;
    std::deque<std::pair<TimePoint, std::vector<WorkerReport>>> m_snapshots;
    WorkDone m_done;
    std::size_t m_memoryKills { 0 };
};

} // namespace fulmar::bench::longwork
