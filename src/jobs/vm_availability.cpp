#include "jobs/vm_availability.h"

namespace fulmar::jobs {

namespace {

// A runner is listed within a heartbeat of its VM's start and has answered soon after; twice that.
constexpr Millis registrationTime { 3'000 };

} // namespace

VmStanding standingOf(const VmFacts& vm)
{
    if (vm.isMoving)
        return VmStanding::Arriving;
    if (vm.state == VmState::Down)
        return VmStanding::Absent;
    if (vm.state != VmState::Up)
        return VmStanding::Arriving;
    if (!vm.runner)
        return vm.withoutRunner < registrationTime ? VmStanding::Arriving : VmStanding::Absent;
    if (vm.runner->isSilent())
        return VmStanding::Absent;
    if (vm.runner->report().isDraining)
        return VmStanding::Absent;
    if (vm.runner->isKnownEmpty())
        return VmStanding::Idle;
    return vm.runner->isFenced && !vm.hasLastingRuns ? VmStanding::Busy : VmStanding::Held;
}

} // namespace fulmar::jobs
