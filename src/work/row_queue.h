#pragma once

#include "work/work_state.h"

#include <array>
#include <deque>
#include <vector>

namespace fulmar::work {

// A row as it is to be stored.
struct RowChange {
    TaskRecord record;
    RowUrgency urgency { RowUrgency::Later };
    bool deletes { false };
};

// Tasks whose rows wait to be stored, most pressing first. A task marked twice is stored once, as it is then.
class RowQueue {
public:
    void mark(Task& task, RowUrgency urgency)
    {
        if (task.unstored && *task.unstored <= urgency)
            return;
        task.unstored = urgency;
        m_lanes[std::size_t(urgency)].push_back(task.id());
    }

    // The next task to store; `lookUp` finds a task by id, null if it is gone.
    template <typename LookUp> Task* pop(const LookUp& lookUp)
    {
        for (std::size_t lane = 0; lane < m_lanes.size(); ++lane)
            while (!m_lanes[lane].empty()) {
                auto* task = lookUp(m_lanes[lane].front());
                m_lanes[lane].pop_front();
                if (task && task->unstored == RowUrgency(lane))
                    return task;
            }
        return nullptr;
    }

private:
    std::array<std::deque<TaskId>, 4> m_lanes;
};

} // namespace fulmar::work
