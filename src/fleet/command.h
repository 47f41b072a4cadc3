#pragma once

#include "config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace fulmar::fleet {

// What an operator can order. The duties find orders as rows command/<id> and report there how they fare.
enum class CommandKind : std::uint8_t {
    AssignVm,
    Move,
    Drain,
    Undrain,
    StartWave,
    PauseWave,
    StopWave,
};

enum class CommandState : std::uint8_t {
    Pending,
    // Cannot go on yet; `reason` says what it waits for.
    Waiting,
    // Under way; `reason` tells the progress.
    Running,
    Done,
    Refused,
    // Another command for the same VM or wave took its place; `supersededBy` names it.
    Superseded,
    Cancelled,
};

// Fields that a kind does not use stay empty.
struct CommandArguments {
    // AssignVm, Move, Drain, Undrain.
    VmId vm;
    // AssignVm, Move: the pool that gets the VM.
    PoolId pool;
    // AssignVm: "host:port" of the VM's service; zone and rack come from the platform's list.
    std::string address;
    // StartWave, PauseWave, StopWave.
    WaveId wave;
    // StartWave: pools to maintain; empty for all.
    std::vector<std::string> pools;
};

// The value of a row command/<id>.
struct CommandRecord {
    OperationId id;
    // Version of the table that the operator saw; the command is refused if its VM or wave has been changed
    // by anyone else since. 0 means "whatever the present state".
    Version basedOn { 0 };
    std::string who;
    CommandKind kind { CommandKind::Drain };
    CommandArguments arguments;
    CommandState state { CommandState::Pending };
    std::string reason;
    OperationId supersededBy;
    WallTime submitted {};
    WallTime updated {};
};

[[nodiscard]] std::string_view toString(CommandKind);
[[nodiscard]] std::string_view toString(CommandState);

// "command/<id>".
[[nodiscard]] std::string commandKey(const OperationId&);

// Whether the command will not change any more.
[[nodiscard]] bool isFinal(CommandState);

[[nodiscard]] std::string encode(const CommandRecord&);

} // namespace fulmar::fleet

namespace fulmar {

// Names that other slices share.
using fleet::CommandArguments;
using fleet::commandKey;
using fleet::CommandKind;
using fleet::CommandRecord;
using fleet::CommandState;
using fleet::isFinal;

template <> Result<fleet::CommandRecord> decode(const std::string& text);

} // namespace fulmar
