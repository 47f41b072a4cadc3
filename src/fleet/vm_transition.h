#pragma once

#include "fleet/records.h"

#include <optional>
#include <string>

namespace fulmar::fleet {

// What is known about a VM that is being taken out of service.
struct TransitionFacts {
    // Every entry that may route to the VM has confirmed that it does not, with no call in flight.
    bool drained { false };
    // Why not, if it is not.
    std::string waitingFor;
    // The platform accepted the reboot that the intent names.
    bool rebootAccepted { false };
    // The VM answers again after its reboot.
    bool returned { false };
    // It has not answered for the return timeout.
    bool overdue { false };
};

enum class TransitionAction : std::uint8_t {
    // Nothing to do yet; `reason` says what is missing.
    Wait,
    // Write the VM's row and the intent's row together.
    Write,
    // Ask the platform for the reboot with the intent's operation.
    AskReboot,
};

struct TransitionStep {
    TransitionAction action { TransitionAction::Wait };
    std::string reason;
    // For Write: the VM's new row, and the intent's, which is deleted if empty.
    VmRecord vm;
    std::optional<IntentRecord> intent;
};

// The VM's row when it starts to leave; it keeps its pool until it is drained.
[[nodiscard]] VmRecord markLeaving(VmRecord vm, std::string cause, WallTime now);

// What to do next with a VM that is being taken out of service. Pure: the same facts give the same step.
[[nodiscard]] TransitionStep nextStep(
    const VmRecord&, const IntentRecord&, const TransitionFacts&, WallTime now);

// Puts a VM back into service in its present pool; Wait with the reason if it is too late for that.
[[nodiscard]] TransitionStep cancelTransition(
    const VmRecord&, const IntentRecord&, const std::string& cause, WallTime now);

} // namespace fulmar::fleet
