#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "core/verdict.h"

#include <concepts>
#include <string>
#include <vector>

namespace fulmar {

// State of a task on its worker.
enum class TaskPhase : std::uint8_t {
    Running,
    Throttled,
    Finished,
    Failed,
    Stopped,
    // The worker ended the task because its lease was not renewed in time.
    LeaseLapsed,
};

// A worker's report on one task. The usage figures lag behind the actual usage.
struct TaskReport {
    TaskId task;
    OperationId start;
    TaskPhase phase { TaskPhase::Running };
    double processorsUsed { 0 };
    std::uint64_t memoryMbUsed { 0 };
    // Name of the latest checkpoint in the object store; empty if there is none.
    std::string checkpoint;
    std::string detail;

    bool operator==(const TaskReport&) const = default;
};

struct WorkerReport {
    VmId worker;
    PoolId pool;
    ZoneId zone;
    RackId rack;
    double processors { 0 };
    std::uint64_t memoryMb { 0 };
    std::uint32_t accelerators { 0 };
    bool live { true };
    bool leaving { false };
    std::vector<TaskReport> tasks;

    bool operator==(const WorkerReport&) const = default;
};

// A request to start a task. Idempotent: repeated requests with the same operation start the task once. The
// worker ends the task when its lease lapses.
struct TaskStart {
    TaskId task;
    JobId job;
    OperationId operation;
    double processors { 0 };
    std::uint64_t memoryMb { 0 };
    std::uint32_t accelerators { 0 };
    std::chrono::milliseconds lease {};
    // Checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
};

enum class TaskOrder : std::uint8_t {
    Checkpoint,
    Throttle,
    Resume,
    Stop,
};

// Interface to the platform's workers. Calls block, for at most the client's time-out.
template <typename W>
concept WorkerClient = requires(W& workers, const VmId& worker, const TaskStart& start, const TaskId& task,
    const std::vector<TaskId>& tasks, TaskOrder order, const OperationId& operation,
    std::chrono::milliseconds lease) {
    {
        workers.startTask(worker, start)
    } -> std::same_as<Result<void>>;
    {
        workers.renewLeases(worker, tasks, lease)
    } -> std::same_as<Result<void>>;
    {
        workers.orderTask(worker, task, order, operation)
    } -> std::same_as<Result<void>>;
    {
        workers.listWorkers()
    } -> std::same_as<Result<std::vector<WorkerReport>>>;
};

} // namespace fulmar
