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

// Why a VM is taken out of service.
enum class IntentGoal : std::uint8_t {
    // Stays in maintenance until undrained.
    Drain,
    // Changes pool and serves again.
    Move,
    // Is rebooted and serves again.
    Maintain,
};

enum class IntentPhase : std::uint8_t {
    // Waiting for the entries to confirm that they send no more calls to the VM.
    Draining,
    // Drained, and out of service until the operator undrains it.
    Parked,
    // The reboot under the intent's operation is about to be requested, or has been.
    Rebooting,
    // The platform accepted the reboot; the VM does not serve again yet.
    Returning,
};

// The value of a row intent/<vm>: the transition that the VM is in. It is created and deleted together with a
// write of the VM's row. A reboot cannot be fenced, so once an intent is in phase Rebooting, the reboot is
// always carried out before the VM serves again: a late request by a paused holder then repeats the same
// operation, which the platform does not run twice.
struct IntentRecord {
    OperationId operation;
    VmId vm;
    IntentGoal goal { IntentGoal::Drain };
    IntentPhase phase { IntentPhase::Draining };
    // Move: the VM's new pool.
    PoolId toPool;
    // The command that caused the transition; empty for waves and planned moves.
    OperationId command;
    // Maintain: the wave that caused the transition.
    WaveId wave;
    // Longest time between a holder's own write of this row and its reboot request. After that the holder
    // must write the row again first.
    std::chrono::milliseconds rebootRequestWindow { 5'000 };
};

enum class WaveState : std::uint8_t {
    Running,
    Paused,
    Stopped,
    Done,
};

// The value of a row wave/<id>: a wave maintains every VM of its pools once, as fast as the budgets allow.
struct WaveRecord {
    WaveId wave;
    // Empty means all pools.
    std::vector<std::string> pools;
    WaveState state { WaveState::Running };
    // What last changed the wave's state, why it was stopped, or what it waits for.
    std::string reason;
    OperationId command;
    // VMs maintained since this time count as done.
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
