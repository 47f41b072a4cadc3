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

// Starting: the start may have been sent and its outcome is not known yet.
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

// A submission. `size` is the caller's estimate.
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
    // The caller asked for the task to end. Once this is stored, the task is never started.
    bool cancelRequested { false };
    // Operation and worker of the latest start.
    OperationId start;
    VmId worker;
    // Starts so far.
    std::uint32_t starts { 0 };
    // Name of the newest known checkpoint in the object store.
    std::string checkpoint;
    // For operators: why the task is in this state, and which team to contact.
    std::string detail;
    WallTime accepted {};
    WallTime changed {};
};

[[nodiscard]] std::string_view toString(TaskState);
inline std::ostream& operator<<(std::ostream& out, TaskState state) { return out << toString(state); }

// True for final states. Only MayHaveRun can still change, to Finished by a late report.
[[nodiscard]] bool isFinal(TaskState);

// JSON of `POST /v1/tasks`: pool, team, job, processors, memoryMb, accelerators, expectedRunTimeS, urgent,
// idempotent. The entry assigns the id. The error (BadInput, NotRun) lists every problem.
[[nodiscard]] Result<TaskSpec> parseSubmission(TaskId, const std::string& body);

// JSON of `GET /v1/tasks/{id}`.
[[nodiscard]] std::string describe(const TaskRecord&);

// Encodes and decodes the JSON value of the task's row.
[[nodiscard]] std::string encode(const TaskRecord&);
[[nodiscard]] Result<TaskRecord> decodeTask(const std::string& text);

} // namespace fulmar::work
