#pragma once

#include "jobs/runner.h"

namespace fulmar::jobs {

// Availability of a VM to its pool or, if it is moving, to its destination.
enum class VmAvailability : std::uint8_t {
    // It does not serve and will not soon: it is down, or its runner is unreachable, is draining or has not
    // registered in time.
    Unavailable,
    // It will serve within the time of a VM move.
    Arriving,
    // Nothing runs on it.
    Idle,
    // Its work ends by itself.
    Busy,
    // It has long-running tasks, or runs that this holder does not know yet.
    Pinned,
};

// What the holder of the shard knows of a VM.
struct VmStatus {
    VmState state { VmState::Down };
    // A move of the VM is in progress.
    bool isMoving { false };
    // Null if its runner is unknown.
    const Runner* runner { nullptr };
    bool hasLongRunningTasks { false };
    // How long it has been up without a known runner.
    Millis timeWithoutRunner { 0 };
};

// If an availability zone or a rack is cut off during a burst, its VMs are still listed as up. A pool that
// counted them would request no others while its jobs wait.
[[nodiscard]] VmAvailability availabilityOf(const VmStatus&);

} // namespace fulmar::jobs
