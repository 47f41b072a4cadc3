#pragma once

#include "platform/workers.h"
#include "work/size_model.h"
#include "work/task.h"

#include <map>
#include <optional>
#include <vector>

namespace fulmar::work {

struct Worker;

// Progress of the latest start of a task.
enum class StartStep : std::uint8_t {
    None,
    // The row that names the start operation is not stored yet.
    Unstored,
    // The row is stored; the worker may be called.
    Stored,
    // The worker was called and has not confirmed the start.
    Uncertain,
    // The worker confirmed the start, by its reply or in a report.
    Confirmed,
};

// Order in which changed rows are stored, highest priority first.
enum class RowPriority : std::uint8_t {
    // Starts of urgent tasks.
    Urgent,
    // Starts, which are sent only once stored, and cancellations, whose callers wait.
    Awaited,
    // Ends of tasks.
    Ended,
    // State that a new owner can also learn from the workers.
    Deferrable,
};

// Why a running task is evicted from its worker.
enum class Eviction : std::uint8_t {
    None,
    Cancelled,
    // Its resources are needed for a task that has precedence.
    Preempted,
    // Its worker is short of processors or memory.
    Overloaded,
};

// A task's row and the in-memory state that the shard's owner keeps with it.
struct Task {
    TaskRecord record;
    StartStep startStep { StartStep::None };
    Eviction eviction { Eviction::None };
    Worker* worker { nullptr };
    // Learned usage of the job's tasks.
    JobUsage* usage { nullptr };
    // Resources reserved on the worker for this task.
    Resources reserved;
    // Latest reported usage.
    Resources used;
    TimePoint queuedAt {};
    // When the start was sent; before that, when the task was placed; under a new owner, when its row was
    // loaded.
    TimePoint startedAt {};
    // When the latest checkpoint of this start was reported; without one, when the task was placed or loaded.
    TimePoint checkpointAt {};
    // When the row was last queued for storage because of a new checkpoint, or the task was placed.
    TimePoint checkpointStoredAt {};
    // Lease expiry: the worker ends the task at this time unless the lease is renewed.
    TimePoint leaseUntil {};
    // Time of the latest report of the task, or of the call that started it.
    TimePoint reportedAt {};
    TimePoint evictionStartedAt {};
    // Time of the latest stop order or, once stopConfirmed, of the confirmation; empty if no stop was
    // ordered.
    std::optional<TimePoint> stopUpdatedAt;
    bool stopConfirmed { false };
    // Evicted tasks that must leave the worker before this task starts.
    std::vector<TaskId> awaitedEvictions;
    // Workers on which the task failed, with the time of the failure.
    std::map<VmId, TimePoint> failedOn;
    std::uint32_t preemptions { 0 };
    bool throttled { false };
    // In the TaskQueue. A delayed task is in state Queued but not in the TaskQueue.
    bool inQueue { false };
    // Its resources count in its team's usage and on its worker.
    bool placed { false };
    // Priority of a row change that waits to be written; empty if there is none.
    std::optional<RowPriority> pendingWrite;
    bool writeInFlight { false };

    [[nodiscard]] const TaskId& id() const { return record.spec.task; }
};

// A worker as last listed by the platform, with the tasks placed on it.
struct Worker {
    VmId id;
    PoolId pool;
    ZoneId zone;
    RackId rack;
    Resources capacity;
    Resources reserved;
    Resources used;
    bool live { true };
    bool leaving { false };
    // The VM's row has a state other than Serving; the worker gets no new tasks.
    bool withdrawn { false };
    // Start of the next maintenance step that includes the worker.
    std::optional<TimePoint> maintenanceAt;
    TimePoint listedAt {};
    TimePoint renewedAt {};
    std::vector<Task*> tasks;
};

// Shares of a worker's capacity that may be reserved.
struct FillLimits {
    double processors { 1.0 };
    double memory { 0.95 };
};

[[nodiscard]] inline Resources usableCapacity(const Worker& worker, const FillLimits& limits)
{
    return { worker.capacity.processors * limits.processors, worker.capacity.memoryMb * limits.memory,
        worker.capacity.accelerators };
}

[[nodiscard]] inline Resources freeCapacity(const Worker& worker, const FillLimits& limits)
{
    return usableCapacity(worker, limits) - worker.reserved;
}

} // namespace fulmar::work
