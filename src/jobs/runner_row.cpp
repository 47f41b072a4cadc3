#include "jobs/runner_row.h"

#include <nlohmann/json.hpp>

namespace fulmar::jobs {

std::string encodeRunnerRow(const RunnerReport& runner)
{
    return nlohmann::json {
        { "address", runner.address }, { "pool", runner.pool.value() }, { "born", runner.incarnation }
    }.dump();
}

std::optional<RunnerReport> decodeRunnerRow(const std::string& id, std::string_view row)
{
    auto json = nlohmann::json::parse(row, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        RunnerReport runner;
        runner.id = RunnerId(id);
        runner.address = json.at("address").get<std::string>();
        runner.pool = PoolId(json.at("pool").get<std::string>());
        runner.incarnation = json.at("born").get<std::int64_t>();
        return runner;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace fulmar::jobs
