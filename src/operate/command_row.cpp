#include "operate/command_row.h"

#include "config/field_reader.h"

#include <limits>

namespace fulmar::operate {

namespace {

constexpr std::array commandStates { fleet::CommandState::Pending, fleet::CommandState::Waiting,
    fleet::CommandState::Running, fleet::CommandState::Done, fleet::CommandState::Refused,
    fleet::CommandState::Superseded, fleet::CommandState::Cancelled };

// A command as the fleet duty reads it; kinds that it does not execute have none.
struct FleetOrder {
    fleet::CommandRecord& record;

    void operator()(const AssignVm& body) const { onVm(fleet::CommandKind::AssignVm, body.vm, body.pool); }
    void operator()(const MoveVm& body) const { onVm(fleet::CommandKind::Move, body.vm, body.pool); }
    void operator()(const DrainVm& body) const { onVm(fleet::CommandKind::Drain, body.vm, {}); }
    void operator()(const UndrainVm& body) const { onVm(fleet::CommandKind::Undrain, body.vm, {}); }
    void operator()(const StartWave& body) const
    {
        record.kind = fleet::CommandKind::StartWave;
        record.arguments.wave = waveOf(record.id);
        record.arguments.pools = { body.pool.value() };
    }
    void operator()(const ControlWave& body) const
    {
        record.kind = kindOf(body.step);
        record.arguments.wave = body.wave;
    }
    template <typename Other> void operator()(const Other&) const { }

private:
    void onVm(fleet::CommandKind kind, const VmId& vm, const PoolId& pool) const
    {
        record.kind = kind;
        record.arguments.vm = vm;
        record.arguments.pool = pool;
    }
    // Starting a wave that exists lets it go on.
    static fleet::CommandKind kindOf(WaveStep step)
    {
        switch (step) {
        case WaveStep::Pause:
            return fleet::CommandKind::PauseWave;
        case WaveStep::Resume:
            return fleet::CommandKind::StartWave;
        case WaveStep::Stop:
            return fleet::CommandKind::StopWave;
        }
        return fleet::CommandKind::PauseWave;
    }
};

CommandBody startedWave(const fleet::CommandRecord& record)
{
    const auto& [vm, pool, address, wave, pools] = record.arguments;
    if (wave == waveOf(record.id) && !pools.empty())
        return StartWave { PoolId(pools.front()) };
    return ControlWave { wave, WaveStep::Resume };
}

CommandBody bodyOf(const fleet::CommandRecord& record)
{
    const auto& arguments = record.arguments;
    switch (record.kind) {
    case fleet::CommandKind::AssignVm:
        return AssignVm { arguments.vm, arguments.pool };
    case fleet::CommandKind::Move:
        return MoveVm { arguments.vm, arguments.pool };
    case fleet::CommandKind::Drain:
        return DrainVm { arguments.vm };
    case fleet::CommandKind::Undrain:
        return UndrainVm { arguments.vm };
    case fleet::CommandKind::StartWave:
        return startedWave(record);
    case fleet::CommandKind::PauseWave:
        return ControlWave { arguments.wave, WaveStep::Pause };
    case fleet::CommandKind::StopWave:
        return ControlWave { arguments.wave, WaveStep::Stop };
    }
    return DrainVm { arguments.vm };
}

Result<CommandRow> decodeFleetCommand(const std::string& text)
{
    auto record = decode<fleet::CommandRecord>(text);
    if (!record)
        return tl::unexpected(record.error());
    return CommandRow { record->id, toText(Command { bodyOf(*record), false, {} }), record->who,
        record->basedOn, record->state, record->reason, record->submitted };
}

Result<CommandRow> decodeOrder(const std::string& text)
{
    constexpr auto maxWhole = std::numeric_limits<std::int64_t>::max();
    FieldReader reader(text);
    CommandRow row;
    std::chrono::milliseconds ordered {};
    reader.take("id", row.id);
    reader.take("statement", row.statement, true);
    reader.take("who", row.who, true);
    reader.takeInteger("basedOn", row.basedOn, 0, maxWhole);
    reader.takeEnum("state", row.state, commandStates);
    reader.take("detail", row.detail);
    reader.takeInteger("orderedMs", ordered, 0, maxWhole);
    row.ordered = WallTime(ordered);
    return reader.finish(std::move(row));
}

} // namespace

bool isFleetCommand(const CommandBody& body)
{
    return std::holds_alternative<AssignVm>(body) || std::holds_alternative<MoveVm>(body)
        || std::holds_alternative<DrainVm>(body) || std::holds_alternative<UndrainVm>(body)
        || std::holds_alternative<StartWave>(body) || std::holds_alternative<ControlWave>(body);
}

std::string commandRowKey(const CommandBody& body, const OperationId& id)
{
    return isFleetCommand(body) ? fleet::commandKey(id) : orderPrefix + id.value();
}

std::string encodeOrder(const CommandRow& row)
{
    return nlohmann::json {
        { "id", row.id.value() },
        { "statement", row.statement },
        { "who", row.who },
        { "basedOn", row.basedOn },
        { "state", toString(row.state) },
        { "detail", row.detail },
        { "orderedMs", row.ordered.time_since_epoch().count() },
    }
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string encodeCommand(const Command& command, const CommandRow& row)
{
    if (isFleetCommand(command.body)) {
        fleet::CommandRecord record { row.id, row.basedOn, row.who, {}, {}, row.state, command.because, {},
            row.ordered, row.ordered };
        std::visit(FleetOrder { record }, command.body);
        return encode(record);
    }
    return encodeOrder(row);
}

Result<std::string> encodeCancelled(const Row& row, const std::string& reason, WallTime now)
{
    if (row.key.starts_with(orderPrefix)) {
        auto order = decodeOrder(row.value);
        if (!order)
            return tl::unexpected(order.error());
        order->state = fleet::CommandState::Cancelled;
        order->detail = reason;
        return encodeOrder(*order);
    }
    auto record = decode<fleet::CommandRecord>(row.value);
    if (!record)
        return tl::unexpected(record.error());
    record->state = fleet::CommandState::Cancelled;
    record->reason = reason;
    record->updated = now;
    return encode(*record);
}

Result<CommandRow> decodeCommandRow(const Row& row)
{
    return row.key.starts_with(orderPrefix) ? decodeOrder(row.value) : decodeFleetCommand(row.value);
}

WaveId waveOf(const OperationId& command) { return WaveId("w-" + command.value()); }

} // namespace fulmar::operate
