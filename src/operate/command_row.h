#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "core/verdict.h"
#include "fleet/command.h"
#include "operate/language.h"
#include "platform/table.h"

#include <string>
#include <vector>

namespace fulmar::fleet {
}

namespace fulmar::operate {

// Rows of commands that the fleet duty does not execute: changes of configuration, quarantine, cancellation.
inline constexpr auto orderPrefix = "order/";

// A row that the newest command on an object leaves, so that commands on it exclude one another:
// ordered/vm/v17/ holds the command's id.
inline constexpr auto orderedPrefix = "ordered/";

// Who ordered what, and how far it is.
struct CommandRow {
    OperationId id;
    // The command in its canonical spelling.
    std::string statement;
    std::string who;
    Version basedOn { 0 };
    fleet::CommandState state { fleet::CommandState::Pending };
    // Progress, or why it waits, was refused or ended.
    std::string detail;
    WallTime ordered {};
};

// Whether the fleet duty executes commands of this kind, from rows command/<id>.
[[nodiscard]] bool isFleetCommand(const CommandBody&);

// The row that records the command: command/<id> for the fleet duty, order/<id> for all others.
[[nodiscard]] std::string commandRowKey(const CommandBody&, const OperationId&);

// The value of that row.
[[nodiscard]] std::string encodeCommand(const Command&, const CommandRow&);

// The value of a row order/<id>.
[[nodiscard]] std::string encodeOrder(const CommandRow&);

// Reads a row of either kind. Fails with BadInput.
[[nodiscard]] Result<CommandRow> decodeCommandRow(const Row&);

// The row's value once the command is cancelled. Fails with BadInput if the row does not decode.
[[nodiscard]] Result<std::string> encodeCancelled(const Row&, const std::string& reason, WallTime now);

// The wave that a "start wave" command begins.
[[nodiscard]] WaveId waveOf(const OperationId& command);

} // namespace fulmar::operate
