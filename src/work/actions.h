#pragma once

#include "core/event.h"
#include "platform/workers.h"
#include "work/work_state.h"

#include <string>
#include <vector>

namespace fulmar::work {

struct SchedulerSettings {
    FillLimits fill;
    // Fraction of each team's quota that applies in this shard, 0 to 1.
    double shardShare { 1 };
    // Lease duration of a running task and the interval of its renewals.
    std::chrono::milliseconds lease { 30'000 };
    std::chrono::milliseconds renewInterval { 10'000 };
    // Maximum delay of a worker's report. A listed worker's task counts as lost this long after lease expiry.
    std::chrono::milliseconds reportLag { 10'000 };
    // A worker that is absent from the platform's list for longer gets no tasks.
    std::chrono::milliseconds missingAfter { 30'000 };
    // Times after its end when a task leaves memory and when its row is deleted.
    std::chrono::seconds endedInMemory { 30 };
    std::chrono::seconds retention { 900 };
    // Token bucket that limits restarts after failures.
    double restartsPerSecond { 50 };
    double restartBurst { 100 };
    // Largest share of a pool reserved for pinned tasks, which are neither urgent nor idempotent.
    double maxPinnedShare { 0.85 };
    // Share of each worker that is kept free for urgent tasks.
    double urgentReserve { 0 };
    // Tasks of teams within their quota may evict tasks that can continue from a checkpoint.
    bool preempts { true };
    // Learned sizes replace the declared ones.
    bool learnsSizes { true };
    // Quarantines failing workers and stops failing jobs.
    bool detectsFaults { true };
};

struct StartAction {
    VmId worker;
    TaskStart start;
};

struct RenewAction {
    VmId worker;
    std::vector<TaskId> tasks;
};

struct OrderAction {
    VmId worker;
    TaskId task;
    TaskOrder order { TaskOrder::Stop };
    OperationId operation;
};

struct WorkEvent {
    std::string kind;
    std::vector<EventField> fields;
};

} // namespace fulmar::work
