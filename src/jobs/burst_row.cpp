#include "jobs/burst_row.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace fulmar::jobs {

namespace {

constexpr int format = 1;
// No pool has as many cores.
constexpr double maxCores = 1e7;
// In the year 5138, well within what a time in microseconds holds.
constexpr std::int64_t maxMillis = 100'000'000'000'000;

double takeNumber(const nlohmann::json& json, const char* key)
{
    auto value = json.at(key).get<double>();
    if (!std::isfinite(value) || value < 0 || value > maxCores)
        throw std::out_of_range(key);
    return value;
}

Millis takeMillis(const nlohmann::json& json, const char* key)
{
    auto value = json.at(key).get<std::int64_t>();
    if (std::abs(value) > maxMillis)
        throw std::out_of_range(key);
    return Millis(value);
}

} // namespace

std::string encodeBurstRow(const BurstRecord& record)
{
    auto pools = nlohmann::json::array();
    for (const auto& each : record.pools)
        pools.push_back({ { "pool", each.pool.value() }, { "period-ms", each.period.count() },
            { "in-ms", each.expected.count() }, { "cores", each.cores }, { "rate", each.rate },
            { "shared", each.isShared }, { "misses", each.misses } });
    return nlohmann::json {
        { "format", format }, { "at", record.writtenAt.time_since_epoch().count() },
        { "pools", std::move(pools) }
    }.dump();
}

std::optional<BurstRecord> decodeBurstRow(std::string_view row)
{
    auto json = nlohmann::json::parse(row, nullptr, false);
    try {
        if (!json.is_object() || json.at("format").get<int>() != format)
            return std::nullopt;
        BurstRecord record { WallTime(takeMillis(json, "at")), {} };
        for (const auto& each : json.at("pools"))
            record.pools.push_back(
                { PoolId(each.at("pool").get<std::string>()), takeMillis(each, "period-ms"),
                    takeMillis(each, "in-ms"), takeNumber(each, "cores"), takeNumber(each, "rate"),
                    each.at("shared").get<bool>(), each.at("misses").get<std::uint32_t>() });
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace fulmar::jobs
