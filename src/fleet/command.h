#pragma once

#include "config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace fulmar::fleet {

// Commands that an operator can submit. The fleet duties read them from rows command/<id> and write their
// progress to the same rows.
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
    // Cannot proceed yet; `reason` says what it waits for.
    Waiting,
    // In progress; `reason` describes the progress.
    Running,
    Done,
    Refused,
    // Replaced by another command for the same VM; `supersededBy` names it.
    Superseded,
    Cancelled,
};

// Fields that do not apply to the command's kind stay empty.
struct CommandArguments {
    // AssignVm, Move, Drain, Undrain.
    VmId vm;
    // AssignVm, Move: the VM's new pool.
    PoolId pool;
    // AssignVm: "host:port" of the VM's service; zone and rack come from the platform's list.
    std::string address;
    // StartWave, PauseWave, StopWave.
    WaveId wave;
    // StartWave: the pools to maintain; empty means all pools.
    std::vector<std::string> pools;
};

// The value of a row command/<id>.
struct CommandRecord {
    OperationId id;
    // Configuration version that the operator saw; the command is refused if its VM or wave has changed
    // since. 0 means that the command applies to any state.
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

// Whether the state is final: the command does not change any more.
[[nodiscard]] bool isFinal(CommandState);

[[nodiscard]] std::string encode(const CommandRecord&);

} // namespace fulmar::fleet

namespace fulmar {

// Names that other modules use unqualified.
using fleet::CommandArguments;
using fleet::commandKey;
using fleet::CommandKind;
using fleet::CommandRecord;
using fleet::CommandState;
using fleet::isFinal;

template <> Result<fleet::CommandRecord> decode(const std::string& text);

} // namespace fulmar
