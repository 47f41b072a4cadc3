#pragma once

#include "operate/answer.h"
#include "operate/command_decision.h"
#include "operate/language.h"
#include "operate/operator_view.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace fulmar::operate {

// A statement as it arrives from an operator.
struct OperatorRequest {
    std::string text;
    CommandOrigin origin;
    bool dryRun { false };
};

// Parses {"text", "id", "who", "basedOn", "dryRun"}; only text is required. Fails with BadInput.
[[nodiscard]] Result<OperatorRequest> operatorRequestFromJson(const std::string& text);
[[nodiscard]] std::string toJson(const OperatorRequest&);

// The answer to a statement that changes nothing, or the command that must be decided with fresh rows.
[[nodiscard]] std::variant<Answer, Command> answerStatement(
    const OperatorRequest&, const OperatorView&, WallTime now);

// Facts that a statement needs and that cost something to gather.
struct FactNeeds {
    bool events { false };
    // Tasks and workers.
    bool work { false };
    bool targets { false };
};

[[nodiscard]] FactNeeds needsOf(const std::string& statement);

// Reads one row; empty if there is none.
template <typename Platform>
[[nodiscard]] Result<std::optional<Row>> readRow(Platform& platform, const std::string& key)
{
    auto changes = platform.read(key, 0);
    if (!changes)
        return tl::unexpected(changes.error());
    auto row = std::find_if(changes->rows.begin(), changes->rows.end(),
        [&](const Row& each) { return each.key == key && !each.deleted; });
    return row == changes->rows.end() ? std::nullopt : std::optional<Row>(*row);
}

// Reads the row that records a command, whichever duty executes it.
template <typename Platform>
[[nodiscard]] Result<std::optional<Row>> readCommandRow(Platform& platform, const OperationId& id)
{
    if (auto row = readRow(platform, fleet::commandKey(id)); !row || row->has_value())
        return row;
    return readRow(platform, orderPrefix + id.value());
}

template <typename Platform>
[[nodiscard]] Result<std::optional<CommandRow>> readCommand(Platform& platform, const OperationId& id)
{
    auto row = readCommandRow(platform, id);
    if (!row)
        return tl::unexpected(row.error());
    if (!row->has_value())
        return std::optional<CommandRow>();
    auto command = decodeCommandRow(**row);
    return command ? std::optional<CommandRow>(std::move(*command)) : std::nullopt;
}

template <typename Platform>
[[nodiscard]] Result<CommandRows> readCommandRows(
    Platform& platform, const OperationId& id, const CommandBody& body)
{
    CommandRows rows;
    auto recorded = readCommand(platform, id);
    if (!recorded)
        return tl::unexpected(recorded.error());
    rows.recorded = std::move(*recorded);
    const auto* cancel = std::get_if<CancelCommand>(&body);
    auto guard = cancel ? readCommandRow(platform, cancel->command) : readRow(platform, guardKeyOf(body));
    if (!guard)
        return tl::unexpected(guard.error());
    rows.guard = std::move(*guard);
    if (!rows.guard || rows.guard->operation.empty())
        return rows;
    auto previous = readCommand(platform, rows.guard->operation);
    if (!previous)
        return tl::unexpected(previous.error());
    rows.previous = std::move(*previous);
    return rows;
}

// The answer where the platform does not say whether the command is recorded.
[[nodiscard]] Answer unreachableAnswer(const Failure&, bool mayHaveRun);

// Records a command in the platform's table. Blocks for a few calls of the platform client. Losing a race is
// a conflict that names the winner; after a lost reply the rows say what happened.
template <typename Platform>
[[nodiscard]] Answer orderCommand(
    Platform& platform, const Command& command, CommandOrigin origin, const OperatorView& view, WallTime now)
{
    constexpr int maxAttempts = 3;
    assert(!origin.id.empty());
    bool mayHaveRun = false;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto rows = readCommandRows(platform, origin.id, command.body);
        if (!rows)
            return unreachableAnswer(rows.error(), mayHaveRun);
        auto decision = decideCommand(command, origin, *rows, view, now);
        if (auto* answer = std::get_if<Answer>(&decision))
            return std::move(*answer);
        auto& plan = std::get<CommandPlan>(decision);
        auto committed = platform.commit(plan.transaction);
        if (committed) {
            plan.accepted.version = *committed;
            return plan.accepted;
        }
        // What another command has written since is news to this operator.
        if (committed.error().reason == Reason::Conflict && !origin.basedOn)
            origin.basedOn = rows->guard ? rows->guard->version : 0;
        mayHaveRun = mayHaveRun || committed.error().outcome != Outcome::NotRun;
        if (committed.error().outcome == Outcome::NotRun && committed.error().reason != Reason::Conflict)
            return unreachableAnswer(committed.error(), mayHaveRun);
    }
    return unreachableAnswer(
        Failure { Outcome::NotRun, Reason::StoreUnavailable, "the table kept changing" }, mayHaveRun);
}

// Writes how an order that this process executes has ended. False if the row could not be written; sending
// the command again then settles it.
template <typename Platform>
[[nodiscard]] bool closeOrder(
    Platform& platform, const OperationId& id, fleet::CommandState state, const std::string& detail)
{
    auto row = readRow(platform, orderPrefix + id.value());
    if (!row || !row->has_value())
        return false;
    auto order = decodeCommandRow(**row);
    if (!order)
        return false;
    order->state = state;
    order->detail = detail;
    Transaction transaction { OperationId(id.value() + "-end"), { { (*row)->key, (*row)->version } },
        { { (*row)->key, encodeOrder(*order) } } };
    return platform.commit(transaction).has_value();
}

} // namespace fulmar::operate
