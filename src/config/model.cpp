#include "config/model.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace fulmar {

namespace {

using Json = nlohmann::json;

constexpr std::array vmStates { VmState::Serving, VmState::Leaving, VmState::Maintenance, VmState::Failed };
constexpr std::uint32_t maxSlots = 1'000;
constexpr std::uint32_t maxConnections = 10'000;
constexpr std::uint32_t maxQueue = 100'000;
constexpr std::int64_t maxTimeoutMs = 24LL * 3600 * 1000;
constexpr double maxProcessors = 1'000'000;

// Takes typed fields out of a JSON object and collects everything that is wrong with it.
class FieldReader {
public:
    explicit FieldReader(const std::string& text)
        : m_object(Json::parse(text, nullptr, false))
    {
        if (!m_object.is_object())
            m_problems.emplace_back("not a JSON object");
    }

    void take(const char* name, std::string& field, bool required = false)
    {
        if (const auto* value = find(name, required); value && expect(name, value->is_string(), "a string"))
            field = value->get<std::string>();
    }

    template <typename Tag> void take(const char* name, Id<Tag>& field, bool required = true)
    {
        std::string text;
        take(name, text, required);
        if (required && text.empty())
            m_problems.push_back(fmt::format("{} must not be empty", name));
        field = Id<Tag>(std::move(text));
    }

    void take(const char* name, bool& field)
    {
        if (const auto* value = find(name, false);
            value && expect(name, value->is_boolean(), "true or false"))
            field = value->get<bool>();
    }

    void take(const char* name, std::vector<std::string>& field)
    {
        const auto* value = find(name, false);
        if (!value || !expect(name, value->is_array(), "a list of strings"))
            return;
        for (const auto& item : *value)
            if (expect(name, item.is_string(), "a list of strings"))
                field.push_back(item.get<std::string>());
    }

    void take(const char* name, double& field, double low, double high)
    {
        const auto* value = find(name, false);
        if (!value || !expect(name, value->is_number(), "a number"))
            return;
        auto number = value->get<double>();
        if (expect(name, number >= low && number <= high, fmt::format("from {} to {}", low, high)))
            field = number;
    }

    template <typename Whole>
    void takeWhole(const char* name, Whole& field, std::int64_t low, std::int64_t high)
    {
        const auto* value = find(name, false);
        if (!value || !expect(name, value->is_number_integer(), "a whole number"))
            return;
        auto number = value->get<std::int64_t>();
        if (expect(name, number >= low && number <= high, fmt::format("from {} to {}", low, high)))
            field = Whole(number);
    }

    void take(const char* name, VmState& field)
    {
        std::string text;
        take(name, text, true);
        const auto* state = std::find_if(
            vmStates.begin(), vmStates.end(), [&](VmState each) { return toString(each) == text; });
        if (expect(name, state != vmStates.end(), "serving, leaving, maintenance or failed"))
            field = *state;
    }

    template <typename T> Result<T> finish(T value)
    {
        if (m_object.is_object())
            for (const auto& [name, ignored] : m_object.items())
                if (!m_known.contains(name))
                    m_problems.push_back(fmt::format("{} is not a known field", name));
        if (!m_problems.empty())
            return notRun(Reason::BadInput, fmt::format("{}", fmt::join(m_problems, "; ")));
        return value;
    }

private:
    const Json* find(const char* name, bool required)
    {
        m_known.insert(name);
        if (m_object.is_object())
            if (auto position = m_object.find(name); position != m_object.end())
                return &*position;
        if (required)
            m_problems.push_back(fmt::format("{} is missing", name));
        return nullptr;
    }

    bool expect(const char* name, bool holds, const std::string& expectation)
    {
        if (!holds)
            m_problems.push_back(fmt::format("{} must be {}", name, expectation));
        return holds;
    }

    Json m_object;
    std::set<std::string> m_known;
    std::vector<std::string> m_problems;
};

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
    reader.takeWhole("slotsPerTarget", config.slotsPerTarget, 1, maxSlots);
    reader.takeWhole("connectionsPerTarget", config.connectionsPerTarget, 1, maxConnections);
    reader.takeWhole("queueLimit", config.queueLimit, 0, maxQueue);
    reader.takeWhole("defaultTimeoutMs", config.defaultTimeout, 1, maxTimeoutMs);
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
    reader.takeWhole("memoryMb", config.memoryMb, 0, std::numeric_limits<std::int64_t>::max());
    reader.takeWhole("accelerators", config.accelerators, 0, std::numeric_limits<std::uint32_t>::max());
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
    reader.takeWhole("memoryMb", config.memoryMb, 0, std::numeric_limits<std::int64_t>::max());
    reader.takeWhole("accelerators", config.accelerators, 0, std::numeric_limits<std::uint32_t>::max());
    reader.takeWhole(
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
    reader.take("state", record.state);
    reader.take("address", record.address);
    reader.take("region", record.region, false);
    reader.take("zone", record.zone);
    reader.take("rack", record.rack, false);
    reader.takeWhole("epoch", record.epoch, 0, maxWhole);
    reader.take("cause", record.cause);
    reader.takeWhole("sinceMs", since, 0, maxWhole);
    reader.takeWhole("lastMaintainedMs", lastMaintained, 0, maxWhole);
    record.since = WallTime(since);
    record.lastMaintained = WallTime(lastMaintained);
    return reader.finish(std::move(record));
}

} // namespace fulmar
