#include "fleet/command_plan.h"

#include "fleet/vm_transition.h"

#include <fmt/format.h>
#include <utility>

namespace fulmar::fleet {

namespace {

// Plans the next step of one command.
class CommandPlanner {
public:
    CommandPlanner(const CommandContext& context, const Stored<CommandRecord>& command)
        : m_context(context)
        , m_command(command)
        , m_arguments(command.record.arguments)
    {
    }

    FleetChange plan()
    {
        if (auto newer = newerCommand(); !newer.empty())
            return superseded(newer);
        switch (m_command.record.kind) {
        case CommandKind::AssignVm:
            return assignVm();
        case CommandKind::Move:
        case CommandKind::Drain:
            return takeVmOutOfService();
        case CommandKind::Undrain:
            return undrain();
        case CommandKind::StartWave:
            return startWave();
        case CommandKind::PauseWave:
            return setWaveState(WaveState::Paused);
        case CommandKind::StopWave:
            return setWaveState(WaveState::Stopped);
        }
        return refused("unknown command kind");
    }

private:
    // Adds the command's row in its new state to the change, unless nothing changes.
    FleetChange withCommandState(
        CommandState state, std::string reason, FleetChange change = {}, OperationId supersededBy = {})
    {
        auto record = m_command.record;
        if (change.empty() && record.state == state && record.reason == reason)
            return change;
        record.state = state;
        record.reason = std::move(reason);
        record.supersededBy = std::move(supersededBy);
        record.updated = m_context.now;
        change.put(commandKey(record.id), m_command.version, encode(record));
        return change;
    }

    FleetChange refused(std::string reason)
    {
        return withCommandState(CommandState::Refused, std::move(reason));
    }
    FleetChange waiting(std::string reason)
    {
        return withCommandState(CommandState::Waiting, std::move(reason));
    }
    FleetChange done(FleetChange change)
    {
        return withCommandState(CommandState::Done, {}, std::move(change));
    }
    FleetChange superseded(OperationId by)
    {
        auto reason = fmt::format("superseded by command {}", by.value());
        return withCommandState(CommandState::Superseded, std::move(reason), {}, std::move(by));
    }

    std::string cause() const
    {
        return fmt::format("command {} of {}", m_command.record.id.value(), m_command.record.who);
    }

    // The id of a newer command for the same VM, which supersedes this one; empty if there is none. Commands
    // that are already running supersede nothing.
    OperationId newerCommand() const
    {
        if (m_arguments.vm.empty())
            return {};
        auto submissionOrder
            = [](const CommandRecord& command) { return std::pair(command.submitted, command.id); };
        for (const auto& [id, other] : m_context.view.commands())
            if (!isFinal(other.record.state) && other.record.state != CommandState::Running
                && other.record.arguments.vm == m_arguments.vm
                && submissionOrder(other.record) > submissionOrder(m_command.record))
                return other.record.id;
        return {};
    }

    // Why the command is refused because the row changed after the version that the command is based on;
    // empty if the row did not change.
    template <typename Record>
    std::string conflictReason(const Stored<Record>& row, const std::string& name) const
    {
        if (m_command.record.basedOn == 0
            || m_context.view.configVersion(row.version) <= m_command.record.basedOn)
            return {};
        return fmt::format("{} changed at version {}, after version {} that the command is based on", name,
            row.version, m_command.record.basedOn);
    }

    FleetChange assignVm()
    {
        const auto& view = m_context.view;
        if (auto vm = view.vms().find(m_arguments.vm); vm != view.vms().end())
            return refused(fmt::format(
                "VM {} already belongs to pool {}", m_arguments.vm.value(), vm->second.record.pool.value()));
        if (!view.pools().contains(m_arguments.pool))
            return refused(fmt::format("there is no pool {}", m_arguments.pool.value()));
        auto listed = m_context.listed.find(m_arguments.vm);
        if (listed == m_context.listed.end())
            return waiting("the platform's list does not show the VM yet");
        VmRecord vm;
        vm.vm = m_arguments.vm;
        vm.pool = m_arguments.pool;
        vm.address = m_arguments.address.empty() ? listed->second.address : m_arguments.address;
        vm.zone = listed->second.zone;
        vm.rack = listed->second.rack;
        vm.region = regionOf(vm.zone);
        vm.epoch = 1;
        vm.cause = cause();
        vm.since = m_context.now;
        FleetChange change;
        change.put(vmKey(vm.vm), 0, encode(vm));
        change.require(
            keys::poolPrefix + m_arguments.pool.value(), view.pools().at(m_arguments.pool).version);
        return done(std::move(change));
    }

    RegionId regionOf(const ZoneId& zone) const
    {
        for (const auto& [id, vm] : m_context.view.vms())
            if (vm.record.zone == zone)
                return vm.record.region;
        for (const auto& [id, entry] : m_context.view.entries())
            if (entry.record.zone == zone)
                return entry.record.region;
        return {};
    }

    FleetChange takeVmOutOfService()
    {
        const auto& view = m_context.view;
        bool isMove = m_command.record.kind == CommandKind::Move;
        auto vm = view.vms().find(m_arguments.vm);
        if (vm == view.vms().end())
            return refused(fmt::format("there is no VM {}", m_arguments.vm.value()));
        if (m_command.record.state == CommandState::Running)
            return followIntent(vm->second);
        if (isMove && !view.pools().contains(m_arguments.pool))
            return refused(fmt::format("there is no pool {}", m_arguments.pool.value()));
        if (isMove && vm->second.record.pool == m_arguments.pool)
            return refused(fmt::format("VM {} already belongs to the pool", m_arguments.vm.value()));
        if (auto conflict = conflictReason(vm->second, "VM " + m_arguments.vm.value()); !conflict.empty())
            return refused(std::move(conflict));
        if (vm->second.record.state != VmState::Serving || view.intents().contains(m_arguments.vm))
            return refused(fmt::format("VM {} is {}: {}", m_arguments.vm.value(),
                toString(vm->second.record.state), vm->second.record.cause));
        if (!m_context.withdrawalBlockedReason.empty())
            return waiting(m_context.withdrawalBlockedReason);
        const auto& record = vm->second.record;
        const auto& ledger = m_context.ledger;
        if (auto refusal = isMove ? ledger.refusalOfMove(record) : ledger.refusal(record); !refusal.empty())
            return waiting(std::move(refusal));
        IntentRecord intent;
        intent.operation = m_context.operation;
        intent.vm = m_arguments.vm;
        intent.goal = isMove ? IntentGoal::Move : IntentGoal::Drain;
        intent.toPool = isMove ? m_arguments.pool : PoolId {};
        intent.command = m_command.record.id;
        auto change = takeOutOfService(view, vm->second, intent, cause(), m_context.now);
        return withCommandState(CommandState::Running, "leaving", std::move(change));
    }

    // Completes a running command: a move when its intent is gone, a drain when the VM is parked.
    FleetChange followIntent(const Stored<VmRecord>& vm)
    {
        auto intent = m_context.view.intents().find(m_arguments.vm);
        bool isOurs = intent != m_context.view.intents().end()
            && intent->second.record.command == m_command.record.id;
        if (isOurs && intent->second.record.phase == IntentPhase::Draining)
            return {};
        if (isOurs || vm.record.pool == m_arguments.pool)
            return withCommandState(CommandState::Done, {});
        return withCommandState(
            CommandState::Cancelled, fmt::format("VM is {}: {}", toString(vm.record.state), vm.record.cause));
    }

    FleetChange undrain()
    {
        const auto& view = m_context.view;
        auto vm = view.vms().find(m_arguments.vm);
        if (vm == view.vms().end())
            return refused(fmt::format("there is no VM {}", m_arguments.vm.value()));
        if (auto conflict = conflictReason(vm->second, "VM " + m_arguments.vm.value()); !conflict.empty())
            return refused(std::move(conflict));
        auto intent = view.intents().find(m_arguments.vm);
        if (intent == view.intents().end())
            return refused(fmt::format(
                "VM {} is {}, not drained", m_arguments.vm.value(), toString(vm->second.record.state)));
        auto step = cancelTransition(vm->second.record, intent->second.record, cause(), m_context.now);
        if (step.action != TransitionAction::Write)
            return refused("VM " + step.reason);
        FleetChange change;
        change.put(vmKey(m_arguments.vm), vm->second.version, encode(step.vm));
        change.remove(intentKey(m_arguments.vm), intent->second.version);
        supersede(change, intent->second.record.command);
        return done(std::move(change));
    }

    // Marks the command whose intent this one deletes as superseded.
    void supersede(FleetChange& change, const OperationId& id) const
    {
        auto other = m_context.view.commands().find(id.value());
        if (other == m_context.view.commands().end() || isFinal(other->second.record.state))
            return;
        auto record = other->second.record;
        record.state = CommandState::Superseded;
        record.supersededBy = m_command.record.id;
        record.reason = "superseded by " + cause();
        record.updated = m_context.now;
        change.put(commandKey(id), other->second.version, encode(record));
    }

    // Starts a new wave, or resumes a paused or stopped one.
    FleetChange startWave()
    {
        const auto& view = m_context.view;
        for (const auto& pool : m_arguments.pools)
            if (!view.pools().contains(PoolId(pool)))
                return refused(fmt::format("there is no pool {}", pool));
        if (view.waves().contains(m_arguments.wave))
            return setWaveState(WaveState::Running);
        if (m_arguments.wave.empty())
            return refused("the wave needs a name");
        WaveRecord wave;
        wave.wave = m_arguments.wave;
        wave.pools = m_arguments.pools;
        wave.command = m_command.record.id;
        wave.started = m_context.now;
        FleetChange change;
        change.put(waveKey(wave.wave), 0, encode(wave));
        return done(std::move(change));
    }

    FleetChange setWaveState(WaveState state)
    {
        const auto& view = m_context.view;
        auto position = view.waves().find(m_arguments.wave);
        if (position == view.waves().end())
            return refused(fmt::format("there is no wave {}", m_arguments.wave.value()));
        if (auto conflict = conflictReason(position->second, "wave " + m_arguments.wave.value());
            !conflict.empty())
            return refused(std::move(conflict));
        auto wave = position->second.record;
        if (wave.state == WaveState::Done)
            return refused("the wave is done");
        wave.state = state;
        wave.reason = cause();
        FleetChange change;
        change.put(waveKey(wave.wave), position->second.version, encode(wave));
        return done(std::move(change));
    }

    const CommandContext& m_context;
    const Stored<CommandRecord>& m_command;
    const CommandArguments& m_arguments;
};

} // namespace

FleetChange planCommand(const CommandContext& context, const Stored<CommandRecord>& command)
{
    if (isFinal(command.record.state))
        return {};
    return CommandPlanner(context, command).plan();
}

PoolId poolOf(const FleetView& view, const CommandRecord& command)
{
    if (command.kind == CommandKind::AssignVm)
        return command.arguments.pool;
    auto vm = view.vms().find(command.arguments.vm);
    return vm == view.vms().end() ? PoolId {} : vm->second.record.pool;
}

} // namespace fulmar::fleet
