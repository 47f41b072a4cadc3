#pragma once

#include "core/clock.h"
#include "core/types.h"
#include "core/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar::operate {

enum class CommandState : std::uint8_t {
    // Recorded; waits for a budget or for its duty.
    Waiting,
    Running,
    Done,
    Refused,
    Cancelled,
};

[[nodiscard]] std::string_view toString(CommandState);

// A row under command/: who ordered what, and how far it is.
struct CommandRow {
    OperationId id;
    // The command in its canonical spelling.
    std::string statement;
    std::string who;
    Version basedOn { 0 };
    CommandState state { CommandState::Waiting };
    // Progress, or why it waits, was refused or ended.
    std::string detail;
    WallTime ordered {};
};

[[nodiscard]] inline bool isOpen(CommandState state)
{
    return state == CommandState::Waiting || state == CommandState::Running;
}

// The row that the newest command on an object leaves, so that commands on it exclude one another:
// ordered/vm/v17 holds the command's id.
inline constexpr auto orderedPrefix = "ordered/";

[[nodiscard]] std::string commandKey(const OperationId&);

[[nodiscard]] std::string encode(const CommandRow&);
// Fails with BadInput.
[[nodiscard]] Result<CommandRow> decodeCommandRow(const std::string& text);

} // namespace fulmar::operate
