#include "fleet/command.h"

#include "config/field_reader.h"

#include <limits>

namespace fulmar::fleet {

namespace {

constexpr std::array commandKinds { CommandKind::AssignVm, CommandKind::Move, CommandKind::Drain,
    CommandKind::Undrain, CommandKind::StartWave, CommandKind::PauseWave, CommandKind::StopWave };
constexpr std::array commandStates { CommandState::Pending, CommandState::Waiting, CommandState::Running,
    CommandState::Done, CommandState::Refused, CommandState::Superseded, CommandState::Cancelled };

} // namespace

std::string_view toString(CommandKind kind)
{
    switch (kind) {
    case CommandKind::AssignVm:
        return "assign-vm";
    case CommandKind::Move:
        return "move";
    case CommandKind::Drain:
        return "drain";
    case CommandKind::Undrain:
        return "undrain";
    case CommandKind::StartWave:
        return "start-wave";
    case CommandKind::PauseWave:
        return "pause-wave";
    case CommandKind::StopWave:
        return "stop-wave";
    }
    return "";
}

std::string_view toString(CommandState state)
{
    switch (state) {
    case CommandState::Pending:
        return "pending";
    case CommandState::Waiting:
        return "waiting";
    case CommandState::Running:
        return "running";
    case CommandState::Done:
        return "done";
    case CommandState::Refused:
        return "refused";
    case CommandState::Superseded:
        return "superseded";
    case CommandState::Cancelled:
        return "cancelled";
    }
    return "";
}

std::string commandKey(const OperationId& id) { return keys::commandPrefix + id.value(); }

bool isFinal(CommandState state)
{
    return state != CommandState::Pending && state != CommandState::Waiting && state != CommandState::Running;
}

std::string encode(const CommandRecord& record)
{
    return nlohmann::json {
        { "id", record.id.value() },
        { "basedOn", record.basedOn },
        { "who", record.who },
        { "kind", toString(record.kind) },
        { "vm", record.arguments.vm.value() },
        { "pool", record.arguments.pool.value() },
        { "address", record.arguments.address },
        { "wave", record.arguments.wave.value() },
        { "pools", record.arguments.pools },
        { "state", toString(record.state) },
        { "reason", record.reason },
        { "supersededBy", record.supersededBy.value() },
        { "submittedMs", record.submitted.time_since_epoch().count() },
        { "updatedMs", record.updated.time_since_epoch().count() },
    }
        .dump();
}

} // namespace fulmar::fleet

namespace fulmar {

template <> Result<fleet::CommandRecord> decode(const std::string& text)
{
    constexpr auto maxInteger = std::numeric_limits<std::int64_t>::max();
    FieldReader reader(text);
    fleet::CommandRecord record;
    std::chrono::milliseconds submitted {};
    std::chrono::milliseconds updated {};
    reader.take("id", record.id);
    reader.takeInteger("basedOn", record.basedOn, 0, maxInteger);
    reader.take("who", record.who);
    reader.takeEnum("kind", record.kind, fleet::commandKinds);
    reader.take("vm", record.arguments.vm, false);
    reader.take("pool", record.arguments.pool, false);
    reader.take("address", record.arguments.address);
    reader.take("wave", record.arguments.wave, false);
    reader.take("pools", record.arguments.pools);
    reader.takeEnum("state", record.state, fleet::commandStates);
    reader.take("reason", record.reason);
    reader.take("supersededBy", record.supersededBy, false);
    reader.takeInteger("submittedMs", submitted, 0, maxInteger);
    reader.takeInteger("updatedMs", updated, 0, maxInteger);
    record.submitted = WallTime(submitted);
    record.updated = WallTime(updated);
    return reader.finish(std::move(record));
}

} // namespace fulmar
