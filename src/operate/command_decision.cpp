#include "operate/command_decision.h"

#include "operate/config_change.h"
#include "operate/dry_run.h"
#include "operate/rows.h"

#include <fmt/format.h>

namespace fulmar::operate {

namespace {

// Ends with a slash, so that reading the key as a prefix finds no other object.
std::string orderedKey(const char* kind, const std::string& name)
{
    return fmt::format("{}{}/{}/", orderedPrefix, kind, name);
}

struct OrderedKeyOf {
    std::string operator()(const DrainVm& body) const { return orderedKey("vm", body.vm.value()); }
    std::string operator()(const UndrainVm& body) const { return orderedKey("vm", body.vm.value()); }
    std::string operator()(const MoveVm& body) const { return orderedKey("vm", body.vm.value()); }
    std::string operator()(const AssignVm& body) const { return orderedKey("vm", body.vm.value()); }
    std::string operator()(const QuarantineVm& body) const
    {
        return orderedKey("quarantine", body.vm.value());
    }
    std::string operator()(const StartWave& body) const { return orderedKey("waves", body.pool.value()); }
    std::string operator()(const ControlWave& body) const { return orderedKey("wave", body.wave.value()); }
    std::string operator()(const CancelTask& body) const { return orderedKey("task", body.task.value()); }
    std::string operator()(const CancelCommand& body) const
    {
        return orderedKey("command", body.command.value());
    }
    template <typename Change> std::string operator()(const Change& change) const
    {
        return configKeyOf(CommandBody(change));
    }
};

// Names in the command that the configuration does not know; empty if all exist.
struct MissingName {
    const FleetView& view;

    std::string operator()(const DrainVm& body) const { return vm(body.vm); }
    std::string operator()(const UndrainVm& body) const { return vm(body.vm); }
    std::string operator()(const QuarantineVm& body) const { return vm(body.vm); }
    std::string operator()(const MoveVm& body) const
    {
        auto missing = vm(body.vm);
        return missing.empty() ? pool(body.pool) : missing;
    }
    std::string operator()(const AssignVm& body) const { return pool(body.pool); }
    std::string operator()(const StartWave& body) const { return pool(body.pool); }
    std::string operator()(const CancelCommand& body) const
    {
        if (findRow(view.commands, commandKey(body.command)))
            return {};
        return fmt::format("there is no command \"{}\"", body.command.value());
    }
    template <typename Other> std::string operator()(const Other&) const { return {}; }

private:
    [[nodiscard]] std::string vm(const VmId& id) const
    {
        if (findRow(view.config, keys::vmPrefix + id.value()))
            return {};
        return fmt::format("there is no VM \"{}\" in any pool", id.value());
    }
    [[nodiscard]] std::string pool(const PoolId& id) const
    {
        if (findRow(view.config, keys::poolPrefix + id.value()))
            return {};
        return fmt::format("there is no pool \"{}\"", id.value());
    }
};

std::string describe(const CommandRow& row)
{
    return fmt::format("command {} of {}: {} ({}{}{})", row.id.value(), row.who, row.statement,
        toString(row.state), row.detail.empty() ? "" : ": ", row.detail);
}

// The answer to a command that is recorded already; sending it again changes nothing.
Answer answerRecorded(const CommandRow& recorded, const std::string& statement)
{
    if (recorded.statement != statement)
        return sentence(AnswerStatus::Conflict,
            "this id was used for another " + describe(recorded) + "; nothing was done");
    switch (recorded.state) {
    case CommandState::Waiting:
    case CommandState::Running:
        return sentence(AnswerStatus::Waiting, "recorded before: " + describe(recorded));
    case CommandState::Done:
        return sentence(AnswerStatus::Ok, "recorded before: " + describe(recorded));
    case CommandState::Refused:
    case CommandState::Cancelled:
        return sentence(AnswerStatus::Conflict, describe(recorded));
    }
    return {};
}

// Whether the newest command on the object forbids this one. A later command on a base that includes it may
// follow, and so may one of the same operator.
bool isOvertaken(const CommandOrigin& origin, const CommandContext& context)
{
    if (!context.guard)
        return false;
    if (origin.basedOn)
        return context.guard->version > *origin.basedOn;
    return context.previous && isOpen(context.previous->state) && context.previous->who != origin.who;
}

Answer answerOvertaken(const CommandContext& context)
{
    auto winner = context.previous
        ? describe(*context.previous)
        : fmt::format("operation {}, which changed {}", context.guard->operation.value(), context.guard->key);
    return sentence(AnswerStatus::Conflict,
        fmt::format(
            "nothing was done: overtaken by {}; base the command on version {} to order it after that",
            winner, context.guard->version));
}

Answer refusal(const Failure& failure)
{
    auto status = failure.reason == Reason::Conflict ? AnswerStatus::Conflict : AnswerStatus::BadStatement;
    return sentence(status, "nothing was done: " + failure.detail);
}

} // namespace

std::string guardKeyOf(const CommandBody& body) { return std::visit(OrderedKeyOf {}, body); }

CommandDecision decideCommand(const Command& command, const CommandOrigin& origin,
    const CommandContext& context, const FleetView& view, WallTime now)
{
    auto statement = toText(Command { command.body, false, command.because });
    if (context.recorded)
        return answerRecorded(*context.recorded, statement);
    if (isOvertaken(origin, context))
        return answerOvertaken(context);
    if (auto missing = std::visit(MissingName { view }, command.body); !missing.empty())
        return sentence(AnswerStatus::BadStatement, "nothing was done: " + missing);
    auto change = configChangeOf(command.body, context.guard, view);
    if (!change)
        return refusal(change.error());
    if (command.dryRun)
        return showEffect(command.body, *change, view);

    // A change of configuration is in force once its row is committed; all else is left to the duties.
    auto state = change->has_value() ? CommandState::Done : CommandState::Waiting;
    CommandRow row { origin.id, statement, origin.who, origin.basedOn.value_or(view.version), state, {},
        now };
    auto guardKey = guardKeyOf(command.body);
    CommandPlan plan;
    plan.transaction.operation = origin.id;
    plan.transaction.conditions
        = { { commandKey(origin.id), 0 }, { guardKey, context.guard ? context.guard->version : 0 } };
    plan.transaction.writes = { { commandKey(origin.id), encode(row) },
        { guardKey, change->has_value() ? (*change)->after : origin.id.value() } };
    plan.accepted = state == CommandState::Done
        ? sentence(AnswerStatus::Ok, fmt::format("done as command {}", origin.id.value()))
        : sentence(AnswerStatus::Waiting,
            fmt::format("recorded as command {}; follow it with: why command {}", origin.id.value(),
                origin.id.value()));
    return plan;
}

} // namespace fulmar::operate
