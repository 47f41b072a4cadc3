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
    std::string operator()(const StartWave& body) const { return orderedKey("waves", body.pool.value()); }
    std::string operator()(const ControlWave& body) const { return orderedKey("wave", body.wave.value()); }
    std::string operator()(const CancelTask& body) const { return orderedKey("task", body.task.value()); }
    std::string operator()(const CancelCommand& body) const { return fleet::commandKey(body.command); }
    template <typename Change> std::string operator()(const Change& change) const
    {
        return configKeyOf(CommandBody(change));
    }
};

// Names in the command that the configuration does not know; empty if all exist.
struct MissingName {
    const OperatorView& view;

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

// Whether the recorded command is this one. The reason may differ: the fleet's rows do not keep it.
bool isSameCommand(const CommandRow& recorded, const CommandBody& body)
{
    auto statement = parseStatement(recorded.statement);
    const auto* command = statement ? std::get_if<Command>(&*statement) : nullptr;
    return command && command->body == body;
}

// The answer to a command that is recorded already; sending it again changes nothing.
Answer answerRecorded(const CommandRow& recorded, const CommandBody& body)
{
    if (!isSameCommand(recorded, body))
        return sentence(AnswerStatus::Conflict,
            "this id was used for another " + describe(recorded) + "; nothing was done");
    auto text = "recorded before: " + describe(recorded);
    if (!isFinal(recorded.state))
        return sentence(AnswerStatus::Waiting, std::move(text));
    return sentence(recorded.state == fleet::CommandState::Done ? AnswerStatus::Ok : AnswerStatus::Conflict,
        std::move(text));
}

// Whether the newest command on the object forbids this one. A later command on a base that includes it may
// follow, and so may one of the same operator.
bool isOvertaken(const CommandOrigin& origin, const CommandRows& rows)
{
    if (!rows.guard)
        return false;
    if (origin.basedOn)
        return rows.guard->version > *origin.basedOn;
    return rows.previous && !isFinal(rows.previous->state) && rows.previous->who != origin.who;
}

Answer answerOvertaken(const CommandRows& rows)
{
    auto winner = rows.previous
        ? describe(*rows.previous)
        : fmt::format("operation {}, which changed {}", rows.guard->operation.value(), rows.guard->key);
    return sentence(AnswerStatus::Conflict,
        fmt::format(
            "nothing was done: overtaken by {}; base the command on version {} to order it after that",
            winner, rows.guard->version));
}

Answer refusal(const Failure& failure)
{
    auto status = failure.reason == Reason::Conflict ? AnswerStatus::Conflict : AnswerStatus::BadStatement;
    return sentence(status, "nothing was done: " + failure.detail);
}

// The row of the command to cancel as it would be afterwards. Only what has not begun can be cancelled.
Result<std::string> cancelled(const CommandOrigin& origin, const std::optional<Row>& target, WallTime now)
{
    if (!target)
        return notRun(Reason::BadInput, "there is no such command");
    auto command = decodeCommandRow(*target);
    if (!command)
        return tl::unexpected(command.error());
    if (isFinal(command->state))
        return notRun(Reason::Conflict, describe(*command) + " has ended");
    if (command->state == fleet::CommandState::Running)
        return notRun(Reason::Conflict, describe(*command) + " has begun; undrain its VM to take it back");
    return encodeCancelled(*target, "cancelled by command " + origin.id.value() + " of " + origin.who, now);
}

// The command's own row and the guard are written together; an empty guard value deletes it.
CommandPlan planFor(const Command& command, const CommandOrigin& origin, const CommandRows& rows,
    const CommandRow& row, const std::string& guardValue)
{
    auto ownKey = commandRowKey(command.body, origin.id);
    auto guardKey = rows.guard ? rows.guard->key : guardKeyOf(command.body);
    CommandPlan plan;
    plan.transaction.operation = origin.id;
    plan.transaction.conditions = { { ownKey, 0 }, { guardKey, rows.guard ? rows.guard->version : 0 } };
    plan.transaction.writes
        = { { ownKey, encodeCommand(command, row) }, { guardKey, guardValue, guardValue.empty() } };
    plan.accepted = row.state == fleet::CommandState::Done
        ? sentence(AnswerStatus::Ok, fmt::format("done as command {}", origin.id.value()))
        : sentence(AnswerStatus::Waiting,
            fmt::format("recorded as command {0}; follow it with: why command {0}", origin.id.value()));
    return plan;
}

} // namespace

std::string guardKeyOf(const CommandBody& body) { return std::visit(OrderedKeyOf {}, body); }

CommandDecision decideCommand(const Command& command, const CommandOrigin& origin, const CommandRows& rows,
    const OperatorView& view, WallTime now)
{
    CommandRow row { origin.id, toText(Command { command.body, false, command.because }), origin.who,
        origin.basedOn.value_or(0), fleet::CommandState::Pending, {}, now };
    if (rows.recorded)
        return answerRecorded(*rows.recorded, command.body);
    if (std::holds_alternative<CancelCommand>(command.body)) {
        auto value = cancelled(origin, rows.guard, now);
        if (!value)
            return refusal(value.error());
        row.state = fleet::CommandState::Done;
        return command.dryRun ? CommandDecision(showEffect(command.body, {}, view))
                              : planFor(command, origin, rows, row, *value);
    }
    if (isOvertaken(origin, rows))
        return answerOvertaken(rows);
    if (auto missing = std::visit(MissingName { view }, command.body); !missing.empty())
        return sentence(AnswerStatus::BadStatement, "nothing was done: " + missing);
    auto change = configChangeOf(command.body, rows.guard, view);
    if (!change)
        return refusal(change.error());
    if (command.dryRun)
        return showEffect(command.body, *change, view);
    // A change of configuration is in force once its row is committed; all else is left to the duties.
    if (change->has_value())
        row.state = fleet::CommandState::Done;
    return planFor(command, origin, rows, row, change->has_value() ? (*change)->after : origin.id.value());
}

} // namespace fulmar::operate
