#pragma once

#include "platform/workers.h"
#include "work/size_model.h"
#include "work/task.h"

#include <map>
#include <optional>
#include <vector>

namespace fulmar::work {

struct Worker;

// How far the latest start of a task has come.
enum class StartStep : std::uint8_t {
    None,
    // The row with the start's operation is not stored yet.
    Unstored,
    // Stored; the worker may be called.
    Stored,
    // The worker was called and its reply is lost.
    Uncertain,
    // The worker has confirmed, by its reply or in a report.
    Confirmed,
};

// Which rows are stored first when many have changed.
enum class RowPriority : std::uint8_t {
    // Starts of urgent tasks.
    First,
    // Starts and cancellations: something waits for the row.
    Now,
    // Ends of tasks.
    Soon,
    // What a new owner could also learn otherwise.
    Later,
};

// Why a running task is being taken off its worker.
enum class Eviction : std::uint8_t {
    None,
    Cancelled,
    // Its room is needed for a task that goes first.
    Preempted,
    // Its worker runs hot.
    Overloaded,
};

// A task and what the owner of its shard knows beyond the row.
struct Task {
    TaskRecord record;
    StartStep step { StartStep::None };
    Eviction eviction { Eviction::None };
    Worker* worker { nullptr };
    // What the tasks of its job have been seen to use.
    JobUsage* usage { nullptr };
    // Held on the worker for this task.
    Resources reserved;
    // Latest reported usage.
    Resources used;
    TimePoint queuedAt {};
    TimePoint startedAt {};
    TimePoint checkpointAt {};
    // When the row with the newest stored checkpoint was marked.
    TimePoint checkpointStoredAt {};
    // The worker ends the task by itself at this time unless the lease is renewed.
    TimePoint leaseUntil {};
    // When a report last showed the task, or its start was sent.
    TimePoint reportedAt {};
    TimePoint evictionStartedAt {};
    // When a stop was last ordered, and whether the worker confirmed the order.
    std::optional<TimePoint> stopOrderedAt;
    bool stopConfirmed { false };
    // Evicted tasks whose room this start waits for.
    std::vector<TaskId> awaitedEvictions;
    // Workers on which the task has failed, and when.
    std::map<VmId, TimePoint> failedOn;
    std::uint32_t preemptions { 0 };
    bool throttled { false };
    // In the queue. A task may also be queued with a delay, outside it.
    bool inQueue { false };
    // Counted in its team's usage and on its worker.
    bool placed { false };
    // Urgency of storing the row; none if it is stored as it is, or on its way.
    std::optional<RowPriority> pendingWrite;
    bool writeInFlight { false };

    [[nodiscard]] const TaskId& id() const { return record.spec.task; }
};

// A worker as last listed, with what has been placed on it.
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
    // Its VM's row says that it gets no new work.
    bool withdrawn { false };
    // The next maintenance step takes the worker at this time.
    std::optional<TimePoint> maintenanceAt;
    TimePoint listedAt {};
    TimePoint renewedAt {};
    std::vector<Task*> tasks;
};

// Quantities by which a worker may be filled, as shares of its capacity.
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
