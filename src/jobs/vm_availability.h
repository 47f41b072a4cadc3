#pragma once

#include "jobs/runner.h"

namespace fulmar::jobs {

// What a VM is to the pool that it is in, or on its way to.
enum class VmAvailability : std::uint8_t {
    // It serves nobody and is not about to: it is down, or its runner does not answer, or leaves.
    Unavailable,
    // It will serve within the time of a move.
    Arriving,
    // Nothing runs on it.
    Idle,
    // What runs there ends by itself.
    Busy,
    // It serves, and has lasting tasks, or runs that this holder does not know yet.
    Pinned,
};

// What the planner of moves knows of a VM.
struct VmFacts {
    VmState state { VmState::Down };
    // A move or maintenance of it is on its way.
    bool isMoving { false };
    // Null if no runner of it is known.
    const Runner* runner { nullptr };
    bool hasLongRunningTasks { false };
    // For how long it has been up without a runner that is known.
    Millis timeWithoutRunner { 0 };
};

// Load pattern: an availability zone is cut off, or a rack goes dark, in the middle of a turn. Its VMs are
// still listed as up, and a pool that counts them as its own asks for no others while its jobs wait.
[[nodiscard]] VmAvailability availabilityOf(const VmFacts&);

} // namespace fulmar::jobs
