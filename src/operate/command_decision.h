#pragma once

#include "operate/answer.h"
#include "operate/command_row.h"
#include "operate/language.h"
#include "operate/operator_view.h"
#include "platform/table.h"

#include <optional>
#include <string>
#include <variant>

namespace fulmar::operate {

// Who sends a command. A command sent again has the same id.
struct CommandOrigin {
    OperationId id;
    std::string who;
    // Version of the answer that the operator decided on. Absent: whatever is newest.
    std::optional<Version> basedOn;
};

// Rows read from the platform just before deciding.
struct CommandRows {
    // The command's own row, if it was recorded before.
    std::optional<CommandRow> recorded;
    // The row that commands on the same object exclude one another by.
    std::optional<Row> guard;
    // The command that wrote the guard last.
    std::optional<CommandRow> previous;
};

// A transaction that records the command, and what to answer once it is committed.
struct CommandPlan {
    Transaction transaction;
    Answer accepted;
};

using CommandDecision = std::variant<Answer, CommandPlan>;

// The row that commands on the same object exclude one another by. For a cancellation this is the row of the
// command to cancel, if the fleet duty executes that; otherwise see orderPrefix.
[[nodiscard]] std::string guardKeyOf(const CommandBody&);

// Refuses the command, or says what to write. One of several commands on an object wins: each plan depends on
// the guard row's version, and a guard newer than the command's base is a conflict that names the winner.
[[nodiscard]] CommandDecision decideCommand(
    const Command&, const CommandOrigin&, const CommandRows&, const OperatorView&, WallTime now);

} // namespace fulmar::operate
