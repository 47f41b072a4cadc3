#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "core/verdict.h"
#include "work/resources.h"

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace fulmar::work {

// Life of a task. Starting means that a start may have been sent and its effect is not yet known.
enum class TaskState : std::uint8_t {
    Queued,
    Starting,
    Running,
    Finished,
    Failed,
    Cancelled,
    MayHaveRun,
    CannotRun,
};

// What a caller submits. `size` is the caller's guess.
struct TaskSpec {
    TaskId task;
    PoolId pool;
    TeamId team;
    JobId job;
    Resources size { 1, 1024, 0 };
    std::chrono::seconds expectedRunTime { 60 };
    bool urgent { false };
    bool idempotent { false };

    bool operator==(const TaskSpec&) const = default;
};

// A task's row in the platform's table.
struct TaskRecord {
    TaskSpec spec;
    TaskState state { TaskState::Queued };
    // The caller wants the task to end; it is never started after this is stored.
    bool cancelRequested { false };
    // Operation and worker of the latest start.
    OperationId start;
    VmId worker;
    // Starts so far.
    std::uint32_t starts { 0 };
    // Newest checkpoint known, in the object store.
    std::string checkpoint;
    // For people: why the task is in this state, and whom to ask.
    std::string detail;
    WallTime accepted {};
    WallTime changed {};
};

[[nodiscard]] std::string_view toString(TaskState);
inline std::ostream& operator<<(std::ostream& out, TaskState state) { return out << toString(state); }

// True for states that a task never leaves, but for MayHaveRun, which later evidence can settle.
[[nodiscard]] bool isFinal(TaskState);

// JSON of `POST /v1/tasks`: pool, team, job, processors, memoryMb, accelerators, expectedRunTimeS, urgent,
// idempotent. The entry picks the id. The error (BadInput, NotRun) lists every problem.
[[nodiscard]] Result<TaskSpec> parseSubmission(TaskId, const std::string& body);

// JSON of `GET /v1/tasks/{id}`.
[[nodiscard]] std::string describe(const TaskRecord&);

// JSON of the row's value, and back.
[[nodiscard]] std::string encode(const TaskRecord&);
[[nodiscard]] Result<TaskRecord> decodeTask(const std::string& text);

} // namespace fulmar::work
