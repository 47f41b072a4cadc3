#include "config/model.h"

#include "config/field_reader.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace fulmar {

namespace {

using Json = nlohmann::json;

constexpr std::array vmStates { VmState::Serving, VmState::Leaving, VmState::Maintenance, VmState::Failed };
constexpr std::uint32_t maxSlots = 1'000;
constexpr std::uint32_t maxConnections = 10'000;
constexpr std::uint32_t maxQueue = 100'000;
constexpr std::int64_t maxTimeoutMs = 24LL * 3600 * 1000;
constexpr double maxProcessors = 1'000'000;

} // namespace

std::string_view toString(VmState state)
{
    switch (state) {
    case VmState::Serving:
        return "serving";
    case VmState::Leaving:
        return "leaving";
    case VmState::Maintenance:
        return "maintenance";
    case VmState::Failed:
        return "failed";
    }
    return "failed";
}

std::string encode(const ServiceConfig& config)
{
    return Json {
        { "service", config.service.value() },
        { "pool", config.pool.value() },
        { "idempotentMethods", config.idempotentMethods },
        { "slotsPerTarget", config.slotsPerTarget },
        { "connectionsPerTarget", config.connectionsPerTarget },
        { "queueLimit", config.queueLimit },
        { "defaultTimeoutMs", config.defaultTimeout.count() },
        { "retryShare", config.retryShare },
    }
        .dump();
}

template <> Result<ServiceConfig> decode(const std::string& text)
{
    FieldReader reader(text);
    ServiceConfig config;
    reader.take("service", config.service);
    reader.take("pool", config.pool);
    reader.take("idempotentMethods", config.idempotentMethods);
    reader.takeInteger("slotsPerTarget", config.slotsPerTarget, 1, maxSlots);
    reader.takeInteger("connectionsPerTarget", config.connectionsPerTarget, 1, maxConnections);
    reader.takeInteger("queueLimit", config.queueLimit, 0, maxQueue);
    reader.takeInteger("defaultTimeoutMs", config.defaultTimeout, 1, maxTimeoutMs);
    reader.take("retryShare", config.retryShare, 0, 1);
    return reader.finish(std::move(config));
}

std::string encode(const PoolConfig& config)
{
    return Json {
        { "pool", config.pool.value() },
        { "unavailableShare", config.unavailableShare },
        { "unavailableSharePerRack", config.unavailableSharePerRack },
        { "unavailableSharePerZone", config.unavailableSharePerZone },
        { "isSpare", config.isSpare },
    }
        .dump();
}

template <> Result<PoolConfig> decode(const std::string& text)
{
    FieldReader reader(text);
    PoolConfig config;
    reader.take("pool", config.pool);
    reader.take("unavailableShare", config.unavailableShare, 0, 1);
    reader.take("unavailableSharePerRack", config.unavailableSharePerRack, 0, 1);
    reader.take("unavailableSharePerZone", config.unavailableSharePerZone, 0, 1);
    reader.take("isSpare", config.isSpare);
    return reader.finish(std::move(config));
}

std::string encode(const TeamConfig& config)
{
    return Json {
        { "team", config.team.value() },
        { "processors", config.processors },
        { "memoryMb", config.memoryMb },
        { "accelerators", config.accelerators },
    }
        .dump();
}

template <> Result<TeamConfig> decode(const std::string& text)
{
    FieldReader reader(text);
    TeamConfig config;
    reader.take("team", config.team);
    reader.take("processors", config.processors, 0, maxProcessors);
    reader.takeInteger("memoryMb", config.memoryMb, 0, std::numeric_limits<std::int64_t>::max());
    reader.takeInteger("accelerators", config.accelerators, 0, std::numeric_limits<std::uint32_t>::max());
    return reader.finish(std::move(config));
}

std::string encode(const JobConfig& config)
{
    return Json {
        { "job", config.job.value() },
        { "pool", config.pool.value() },
        { "team", config.team.value() },
        { "processors", config.processors },
        { "memoryMb", config.memoryMb },
        { "accelerators", config.accelerators },
        { "expectedRunTimeS", config.expectedRunTime.count() },
        { "idempotent", config.idempotent },
        { "urgent", config.urgent },
    }
        .dump();
}

template <> Result<JobConfig> decode(const std::string& text)
{
    FieldReader reader(text);
    JobConfig config;
    reader.take("job", config.job);
    reader.take("pool", config.pool);
    reader.take("team", config.team);
    reader.take("processors", config.processors, 0, maxProcessors);
    reader.takeInteger("memoryMb", config.memoryMb, 0, std::numeric_limits<std::int64_t>::max());
    reader.takeInteger("accelerators", config.accelerators, 0, std::numeric_limits<std::uint32_t>::max());
    reader.takeInteger(
        "expectedRunTimeS", config.expectedRunTime, 1, std::chrono::seconds(std::chrono::days(365)).count());
    reader.take("idempotent", config.idempotent);
    reader.take("urgent", config.urgent);
    return reader.finish(std::move(config));
}

std::string encode(const VmRecord& record)
{
    return Json {
        { "vm", record.vm.value() },
        { "pool", record.pool.value() },
        { "state", toString(record.state) },
        { "address", record.address },
        { "region", record.region.value() },
        { "zone", record.zone.value() },
        { "rack", record.rack.value() },
        { "epoch", record.epoch },
        { "cause", record.cause },
        { "sinceMs", record.since.time_since_epoch().count() },
        { "lastMaintainedMs", record.lastMaintained.time_since_epoch().count() },
    }
        .dump();
}

template <> Result<VmRecord> decode(const std::string& text)
{
    constexpr auto maxWhole = std::numeric_limits<std::int64_t>::max();
    FieldReader reader(text);
    VmRecord record;
    std::chrono::milliseconds since {};
    std::chrono::milliseconds lastMaintained {};
    reader.take("vm", record.vm);
    reader.take("pool", record.pool);
    reader.takeEnum("state", record.state, vmStates);
    reader.take("address", record.address);
    reader.take("region", record.region, false);
    reader.take("zone", record.zone);
    reader.take("rack", record.rack, false);
    reader.takeInteger("epoch", record.epoch, 0, maxWhole);
    reader.take("cause", record.cause);
    reader.takeInteger("sinceMs", since, 0, maxWhole);
    reader.takeInteger("lastMaintainedMs", lastMaintained, 0, maxWhole);
    record.since = WallTime(since);
    record.lastMaintained = WallTime(lastMaintained);
    return reader.finish(std::move(record));
}

} // namespace fulmar
