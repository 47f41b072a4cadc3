#pragma once

#include "core/event.h"
#include "platform/workers.h"
#include "work/work_state.h"

#include <string>
#include <vector>

namespace fulmar::work {

struct SchedulerSettings {
    FillLimits fill;
    // Part of each team's quota that counts in this shard, 0 to 1.
    double shardShare { 1 };
    // Lease given to a running task, and how often it is renewed.
    std::chrono::milliseconds lease { 30'000 };
    std::chrono::milliseconds renewInterval { 10'000 };
    // A worker's report may be this old.
    std::chrono::milliseconds reportLag { 10'000 };
    // A worker absent from the list for this long gets no tasks.
    std::chrono::milliseconds missingAfter { 30'000 };
    // An ended task is held in memory for this time, and its row is deleted after the second.
    std::chrono::seconds endedInMemory { 30 };
    std::chrono::seconds retention { 900 };
    // Restarts after failures: average per second, and at once.
    double restartsPerSecond { 50 };
    double restartBurst { 100 };
    // Largest share of a pool held by tasks that are neither urgent nor can be stopped.
    double maxPinnedShare { 0.85 };
    // Room of each pool kept free for urgent tasks, as a share.
    double urgentReserve { 0 };
    // Urgent tasks may displace tasks that can continue from a checkpoint.
    bool preempts { true };
    // Sizes are learned; otherwise the declared ones hold.
    bool learnsSizes { true };
    // Failing workers are quarantined, and failing jobs stopped.
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
