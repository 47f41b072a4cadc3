#include "fleet/records.h"

#include "config/field_reader.h"

#include <limits>

namespace fulmar::fleet {

namespace {

constexpr std::array goals { IntentGoal::Drain, IntentGoal::Move, IntentGoal::Maintain };
constexpr std::array phases { IntentPhase::Draining, IntentPhase::Parked, IntentPhase::Rebooting,
    IntentPhase::Returning };
constexpr std::array waveStates { WaveState::Running, WaveState::Paused, WaveState::Stopped,
    WaveState::Done };
constexpr auto maxInteger = std::numeric_limits<std::int64_t>::max();

} // namespace

std::string_view toString(IntentGoal goal)
{
    switch (goal) {
    case IntentGoal::Drain:
        return "drain";
    case IntentGoal::Move:
        return "move";
    case IntentGoal::Maintain:
        return "maintain";
    }
    return "";
}

std::string_view toString(IntentPhase phase)
{
    switch (phase) {
    case IntentPhase::Draining:
        return "draining";
    case IntentPhase::Parked:
        return "parked";
    case IntentPhase::Rebooting:
        return "rebooting";
    case IntentPhase::Returning:
        return "returning";
    }
    return "";
}

std::string_view toString(WaveState state)
{
    switch (state) {
    case WaveState::Running:
        return "running";
    case WaveState::Paused:
        return "paused";
    case WaveState::Stopped:
        return "stopped";
    case WaveState::Done:
        return "done";
    }
    return "";
}

std::string vmKey(const VmId& vm) { return keys::vmPrefix + vm.value(); }
std::string intentKey(const VmId& vm) { return keys::intentPrefix + vm.value(); }
std::string waveKey(const WaveId& wave) { return keys::wavePrefix + wave.value(); }
std::string budgetKey(const PoolId& pool) { return keys::budgetPrefix + pool.value(); }

std::string encode(const IntentRecord& record)
{
    return nlohmann::json {
        { "operation", record.operation.value() },
        { "vm", record.vm.value() },
        { "goal", toString(record.goal) },
        { "phase", toString(record.phase) },
        { "toPool", record.toPool.value() },
        { "command", record.command.value() },
        { "wave", record.wave.value() },
        { "validForMs", record.rebootRequestWindow.count() },
    }
        .dump();
}

std::string encode(const WaveRecord& record)
{
    return nlohmann::json {
        { "wave", record.wave.value() },
        { "pools", record.pools },
        { "state", toString(record.state) },
        { "reason", record.reason },
        { "command", record.command.value() },
        { "startedMs", record.started.time_since_epoch().count() },
    }
        .dump();
}

} // namespace fulmar::fleet

namespace fulmar {

template <> Result<fleet::IntentRecord> decode(const std::string& text)
{
    FieldReader reader(text);
    fleet::IntentRecord record;
    reader.take("operation", record.operation);
    reader.take("vm", record.vm);
    reader.takeEnum("goal", record.goal, fleet::goals);
    reader.takeEnum("phase", record.phase, fleet::phases);
    reader.take("toPool", record.toPool, false);
    reader.take("command", record.command, false);
    reader.take("wave", record.wave, false);
    reader.takeInteger("validForMs", record.rebootRequestWindow, 1, fleet::maxInteger);
    return reader.finish(std::move(record));
}

template <> Result<fleet::WaveRecord> decode(const std::string& text)
{
    FieldReader reader(text);
    fleet::WaveRecord record;
    std::chrono::milliseconds started {};
    reader.take("wave", record.wave);
    reader.take("pools", record.pools);
    reader.takeEnum("state", record.state, fleet::waveStates);
    reader.take("reason", record.reason);
    reader.take("command", record.command, false);
    reader.takeInteger("startedMs", started, 0, fleet::maxInteger);
    record.started = WallTime(started);
    return reader.finish(std::move(record));
}

} // namespace fulmar
