#include "work/task.h"
#include "config/field_reader.h"

#include <array>
#include <limits>

namespace fulmar::work {

namespace {

constexpr std::array taskStates { TaskState::Queued, TaskState::Starting, TaskState::Running,
    TaskState::Finished, TaskState::Failed, TaskState::Cancelled, TaskState::MayHaveRun,
    TaskState::CannotRun };
constexpr double maxProcessors = 1'000'000;
constexpr double maxMemoryMb = 1e12;
constexpr double maxAccelerators = 100'000;
constexpr std::int64_t maxRunTimeS = std::chrono::seconds(std::chrono::days(365)).count();
constexpr auto maxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t maxIdLength = 200;

// Reads the fields that submissions and rows have in common.
void readSpec(FieldReader& reader, TaskSpec& spec)
{
    reader.take("pool", spec.pool);
    reader.take("team", spec.team);
    reader.take("job", spec.job);
    reader.take("processors", spec.size.processors, 0, maxProcessors);
    reader.take("memoryMb", spec.size.memoryMb, 0, maxMemoryMb);
    reader.take("accelerators", spec.size.accelerators, 0, maxAccelerators);
    reader.takeInteger("expectedRunTimeS", spec.expectedRunTime, 1, maxRunTimeS);
    reader.take("urgent", spec.urgent);
    reader.take("idempotent", spec.idempotent);
}

nlohmann::json toJson(const TaskRecord& record)
{
    const auto& spec = record.spec;
    return {
        { "task", spec.task.value() },
        { "pool", spec.pool.value() },
        { "team", spec.team.value() },
        { "job", spec.job.value() },
        { "processors", spec.size.processors },
        { "memoryMb", spec.size.memoryMb },
        { "accelerators", spec.size.accelerators },
        { "expectedRunTimeS", spec.expectedRunTime.count() },
        { "urgent", spec.urgent },
        { "idempotent", spec.idempotent },
        { "state", toString(record.state) },
        { "cancelRequested", record.cancelRequested },
        { "start", record.start.value() },
        { "worker", record.worker.value() },
        { "starts", record.starts },
        { "checkpoint", record.checkpoint },
        { "detail", record.detail },
        { "acceptedMs", record.accepted.time_since_epoch().count() },
        { "changedMs", record.changed.time_since_epoch().count() },
    };
}

} // namespace

std::string_view toString(TaskState state)
{
    switch (state) {
    case TaskState::Queued:
        return "queued";
    case TaskState::Starting:
        return "starting";
    case TaskState::Running:
        return "running";
    case TaskState::Finished:
        return "finished";
    case TaskState::Failed:
        return "failed";
    case TaskState::Cancelled:
        return "cancelled";
    case TaskState::MayHaveRun:
        return "may-have-run";
    case TaskState::CannotRun:
        return "cannot-run";
    }
    return "may-have-run";
}

bool isFinal(TaskState state)
{
    return state != TaskState::Queued && state != TaskState::Starting && state != TaskState::Running;
}

Result<TaskSpec> parseSubmission(TaskId task, const std::string& body)
{
    if (task.empty() || task.value().size() > maxIdLength || task.value().find('/') != std::string::npos)
        return notRun(Reason::BadInput, "the task id must be 1 to 200 characters without a slash");
    FieldReader reader(body);
    TaskSpec spec;
    spec.task = std::move(task);
    readSpec(reader, spec);
    return reader.finish(std::move(spec));
}

std::string describe(const TaskRecord& record)
{
    auto json = toJson(record);
    json.erase("start");
    return json.dump();
}

// Omits fields with default values to keep rows small.
std::string encode(const TaskRecord& record)
{
    auto json = toJson(record);
    std::erase_if(json.get_ref<nlohmann::json::object_t&>(), [](const auto& field) {
        const auto& value = field.second;
        return value == "" || value == false || (field.first == "starts" && value == 0);
    });
    return json.dump();
}

Result<TaskRecord> decodeTask(const std::string& text)
{
    FieldReader reader(text);
    TaskRecord record;
    std::chrono::milliseconds accepted {};
    std::chrono::milliseconds changed {};
    reader.take("task", record.spec.task);
    readSpec(reader, record.spec);
    reader.takeEnum("state", record.state, taskStates);
    reader.take("cancelRequested", record.cancelRequested);
    reader.take("start", record.start, false);
    reader.take("worker", record.worker, false);
    reader.takeInteger("starts", record.starts, 0, std::numeric_limits<std::uint32_t>::max());
    reader.take("checkpoint", record.checkpoint);
    reader.take("detail", record.detail);
    reader.takeInteger("acceptedMs", accepted, 0, maxInteger);
    reader.takeInteger("changedMs", changed, 0, maxInteger);
    record.accepted = WallTime(accepted);
    record.changed = WallTime(changed);
    return reader.finish(std::move(record));
}

} // namespace fulmar::work
