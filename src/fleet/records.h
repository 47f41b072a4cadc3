#pragma once

#include "config/model.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::keys {
inline constexpr auto budgetPrefix = "budget/";
} // namespace fulmar::keys

namespace fulmar::fleet {

// What a VM is taken out of service for.
enum class IntentGoal : std::uint8_t {
    // Stays in maintenance until undrained.
    Drain,
    // Changes pool and serves again.
    Move,
    // Is rebooted and serves again.
    Maintain,
};

enum class IntentPhase : std::uint8_t {
    // Waits for the entries to confirm that they send nothing more.
    Draining,
    // Out of service by the operator's wish.
    Parked,
    // The reboot with this operation will be asked for, and may have been.
    Rebooting,
    // The platform accepted the reboot; the VM is not back yet.
    Returning,
};

// The value of a row intent/<vm>: what is being done with the VM. Written together with the VM's row. A
// reboot cannot be fenced, so once an intent says Rebooting it is always carried out before the VM serves
// again: a late request of a paused holder repeats the same operation, which the platform does not run twice.
struct IntentRecord {
    OperationId operation;
    VmId vm;
    IntentGoal goal { IntentGoal::Drain };
    IntentPhase phase { IntentPhase::Draining };
    // Move: the pool that gets the VM.
    PoolId toPool;
    // The command that asked for it; empty for waves and planned moves.
    OperationId command;
    // The wave that it belongs to; empty for others.
    WaveId wave;
    // A holder asks for the reboot only within this time of having written the row itself.
    std::chrono::milliseconds validFor { 5'000 };
};

enum class WaveState : std::uint8_t {
    Running,
    Paused,
    Stopped,
    Done,
};

// The value of a row wave/<id>: every VM of the pools is maintained once, as fast as the budgets allow.
struct WaveRecord {
    WaveId wave;
    // Empty means all pools.
    std::vector<std::string> pools;
    WaveState state { WaveState::Running };
    // Why it is stopped, or what it waits for.
    std::string reason;
    OperationId command;
    // VMs maintained since then count as done.
    WallTime started {};
};

[[nodiscard]] std::string_view toString(IntentGoal);
[[nodiscard]] std::string_view toString(IntentPhase);
[[nodiscard]] std::string_view toString(WaveState);

// "config/vm/<id>", "intent/<id>", "wave/<id>", "budget/<pool>".
[[nodiscard]] std::string vmKey(const VmId&);
[[nodiscard]] std::string intentKey(const VmId&);
[[nodiscard]] std::string waveKey(const WaveId&);
[[nodiscard]] std::string budgetKey(const PoolId&);

[[nodiscard]] std::string encode(const IntentRecord&);
[[nodiscard]] std::string encode(const WaveRecord&);

} // namespace fulmar::fleet

namespace fulmar {

template <> Result<fleet::IntentRecord> decode(const std::string& text);
template <> Result<fleet::WaveRecord> decode(const std::string& text);

} // namespace fulmar
