#pragma once

#include "work/task_registry.h"

#include <vector>

namespace fulmar::work {

// Takes running tasks off their workers: a checkpoint first where the task will continue, then a stop,
// ordered again until the worker confirms it.
class Evictor {
public:
    explicit Evictor(TaskRegistry& registry)
        : m_registry(registry)
    {
    }

    // Begins to evict a running task. `beneficiary` is the task that waits for its room; may be empty.
    void evict(Task&, Eviction, const TaskId& beneficiary, Moment);

    // The worker has reported the stop, or has confirmed it long enough ago.
    void onStopped(Task&, Moment);
    void onOrderResult(const OrderAction&, const Result<void>&, TimePoint now);

    // Orders what is due and lets tasks start whose room has become free.
    void step(Moment);

private:
    struct Entry {
        TaskId task;
        OperationId start;
        std::string checkpointBefore;
        TaskId beneficiary;
    };

    // False once the task has left its worker.
    bool advance(const Entry&, Moment);
    void unblockBeneficiary(const Entry&);

    TaskRegistry& m_registry;
    std::vector<Entry> m_entries;
};

} // namespace fulmar::work
