#pragma once

#include "work/work_state.h"

#include <array>
#include <deque>
#include <vector>

namespace fulmar::work {

// A task's row to write or delete.
struct RowChange {
    TaskRecord record;
    RowPriority priority { RowPriority::Deferrable };
    bool deletes { false };
};

// Tasks with unstored row changes, in order of priority. A task marked repeatedly is stored once, in its
// state at that time.
class RowQueue {
public:
    void mark(Task& task, RowPriority priority)
    {
        if (task.pendingWrite && *task.pendingWrite <= priority)
            return;
        task.pendingWrite = priority;
        m_queues[std::size_t(priority)].push_back(task.id());
    }

    // The next task to store; null if there is none. `lookUp` returns the task with an id, null if it is
    // gone.
    template <typename LookUp> Task* pop(const LookUp& lookUp)
    {
        for (std::size_t priority = 0; priority < m_queues.size(); ++priority)
            while (!m_queues[priority].empty()) {
                auto* task = lookUp(m_queues[priority].front());
                m_queues[priority].pop_front();
                if (task && task->pendingWrite == RowPriority(priority))
                    return task;
            }
        return nullptr;
    }

private:
    std::array<std::deque<TaskId>, 4> m_queues;
};

} // namespace fulmar::work
