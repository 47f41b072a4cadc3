#include "jobs/vm_availability.h"

namespace fulmar::jobs {

namespace {

// Time that a started VM's runner may take to be listed: twice the usual, as a runner is listed within a
// heartbeat of its VM's start and answers soon after.
constexpr Millis registrationTimeout { 3'000 };

} // namespace

VmAvailability availabilityOf(const VmStatus& vm)
{
    if (vm.isMoving)
        return VmAvailability::Arriving;
    if (vm.state == VmState::Down)
        return VmAvailability::Unavailable;
    if (vm.state != VmState::Up)
        return VmAvailability::Arriving;
    if (!vm.runner)
        return vm.timeWithoutRunner < registrationTimeout ? VmAvailability::Arriving
                                                          : VmAvailability::Unavailable;
    if (vm.runner->isUnreachable())
        return VmAvailability::Unavailable;
    if (vm.runner->report().isDraining)
        return VmAvailability::Unavailable;
    if (vm.runner->isKnownEmpty())
        return VmAvailability::Idle;
    return vm.runner->hasAnsweredThisEpoch && !vm.hasLongRunningTasks ? VmAvailability::Busy
                                                                      : VmAvailability::Pinned;
}

} // namespace fulmar::jobs
