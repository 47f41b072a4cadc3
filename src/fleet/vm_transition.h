#pragma once

#include "fleet/records.h"

#include <optional>
#include <string>

namespace fulmar::fleet {

// Observations about a VM in transition, on which its next step depends.
struct TransitionFacts {
    // Every entry that may route to the VM has confirmed that it sends no calls to it and has none in flight.
    bool drained { false };
    // Why the VM is not drained yet.
    std::string waitingFor;
    // The platform accepted the reboot that the intent names.
    bool rebootAccepted { false };
    // The VM answers again after its reboot.
    bool returned { false };
    // The return timeout has passed since the reboot was accepted.
    bool overdue { false };
};

enum class TransitionAction : std::uint8_t {
    // Nothing to do yet; `reason` says what is missing.
    Wait,
    // Write the VM's row and the intent's row together.
    Write,
    // Request the reboot from the platform under the intent's operation.
    RequestReboot,
};

struct TransitionStep {
    TransitionAction action { TransitionAction::Wait };
    std::string reason;
    // Write: the new VM row, and the new intent row; an empty intent means that its row is deleted.
    VmRecord vm;
    std::optional<IntentRecord> intent;
};

// The row of a serving VM changed to Leaving; the VM keeps its pool until it is drained.
[[nodiscard]] VmRecord markLeaving(VmRecord vm, std::string cause, WallTime now);

// The next step of a VM that has an intent. Pure function: equal arguments give equal steps.
[[nodiscard]] TransitionStep nextStep(
    const VmRecord&, const IntentRecord&, const TransitionFacts&, WallTime now);

// The step that returns a VM to service in its current pool; Wait with the reason if its reboot has begun.
[[nodiscard]] TransitionStep cancelTransition(
    const VmRecord&, const IntentRecord&, const std::string& cause, WallTime now);

} // namespace fulmar::fleet
