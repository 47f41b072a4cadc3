#pragma once

#include "work/task_registry.h"

#include <vector>

namespace fulmar::work {

// Evicts running tasks from their workers. Orders a checkpoint first unless the task is cancelled, then a
// stop, which it repeats until the worker confirms it.
class Evictor {
public:
    explicit Evictor(TaskRegistry& registry)
        : m_registry(registry)
    {
    }

    // Begins to evict a running task. `beneficiary` is the task placed in its stead; may be empty.
    void evict(Task&, Eviction, const TaskId& beneficiary, Moment);

    // Handles a task that has stopped: its worker reported it, or confirmed the stop order and a grace period
    // has passed.
    void onStopped(Task&, Moment);
    void onOrderResult(const OrderAction&, const Result<void>&, TimePoint now);

    // Sends orders that are due and unblocks beneficiaries of completed evictions.
    void step(Moment);

private:
    struct Entry {
        TaskId task;
        OperationId start;
        std::string checkpointBefore;
        TaskId beneficiary;
    };

    // Returns false once the task has left its worker.
    bool advance(const Entry&, Moment);
    void unblockBeneficiary(const Entry&);

    TaskRegistry& m_registry;
    std::vector<Entry> m_entries;
};

} // namespace fulmar::work
