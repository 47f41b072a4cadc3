#include "operate/work_facts.h"

#include <nlohmann/json.hpp>

namespace fulmar::operate {

namespace {

using Json = nlohmann::json;

Json toJson(const WorkerFact& worker)
{
    return Json { { "vm", worker.vm.value() }, { "pool", worker.pool.value() },
        { "zone", worker.zone.value() }, { "rack", worker.rack.value() }, { "state", worker.state },
        { "tasks", worker.tasks }, { "processors", worker.processors }, { "memoryMb", worker.memoryMb },
        { "reason", worker.reason } };
}

Json toJson(const TaskFact& task)
{
    return Json { { "task", task.task.value() }, { "job", task.job.value() }, { "team", task.team.value() },
        { "pool", task.pool.value() }, { "state", task.state }, { "worker", task.worker.value() },
        { "attempts", task.attempts }, { "sinceMs", task.since.time_since_epoch().count() },
        { "reason", task.reason } };
}

WorkerFact workerFrom(const Json& json)
{
    return { VmId(json.at("vm").get<std::string>()), PoolId(json.at("pool").get<std::string>()),
        ZoneId(json.at("zone").get<std::string>()), RackId(json.at("rack").get<std::string>()),
        json.at("state").get<std::string>(), json.at("tasks").get<std::uint32_t>(),
        json.at("processors").get<double>(), json.at("memoryMb").get<std::uint64_t>(),
        json.at("reason").get<std::string>() };
}

TaskFact taskFrom(const Json& json)
{
    return { TaskId(json.at("task").get<std::string>()), JobId(json.at("job").get<std::string>()),
        TeamId(json.at("team").get<std::string>()), PoolId(json.at("pool").get<std::string>()),
        json.at("state").get<std::string>(), VmId(json.at("worker").get<std::string>()),
        json.at("attempts").get<std::uint32_t>(),
        WallTime(std::chrono::milliseconds(json.at("sinceMs").get<std::int64_t>())),
        json.at("reason").get<std::string>() };
}

} // namespace

std::string encodeWorkFacts(const std::vector<WorkerFact>& workers, const std::vector<TaskFact>& tasks)
{
    auto workerList = Json::array();
    for (const auto& worker : workers)
        workerList.push_back(toJson(worker));
    auto taskList = Json::array();
    for (const auto& task : tasks)
        taskList.push_back(toJson(task));
    return Json { { "workers", std::move(workerList) }, { "tasks", std::move(taskList) } }.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

void addWorkFacts(OperatorView& view, const std::string& text)
try {
    auto json = Json::parse(text);
    for (const auto& worker : json.at("workers"))
        view.workers.push_back(workerFrom(worker));
    for (const auto& task : json.at("tasks"))
        view.tasks.push_back(taskFrom(task));
} catch (const Json::exception&) {
    // A problem in place of a list: the view then has no facts on work.
}

} // namespace fulmar::operate
