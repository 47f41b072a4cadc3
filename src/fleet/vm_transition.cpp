#include "fleet/vm_transition.h"

#include <cassert>
#include <fmt/format.h>
#include <utility>

namespace fulmar::fleet {

namespace {

VmRecord withState(VmRecord vm, VmState state, WallTime now)
{
    vm.state = state;
    vm.since = now;
    ++vm.epoch;
    return vm;
}

TransitionStep wait(std::string reason) { return { TransitionAction::Wait, std::move(reason), {}, {} }; }

TransitionStep write(VmRecord vm, std::optional<IntentRecord> intent)
{
    return { TransitionAction::Write, {}, std::move(vm), std::move(intent) };
}

IntentRecord inPhase(IntentRecord intent, IntentPhase phase)
{
    intent.phase = phase;
    return intent;
}

TransitionStep afterDrain(const VmRecord& vm, const IntentRecord& intent, WallTime now)
{
    switch (intent.goal) {
    case IntentGoal::Move: {
        assert(!intent.toPool.empty());
        auto moved = withState(vm, VmState::Serving, now);
        moved.pool = intent.toPool;
        return write(std::move(moved), std::nullopt);
    }
    case IntentGoal::Drain:
        return write(withState(vm, VmState::Maintenance, now), inPhase(intent, IntentPhase::Parked));
    case IntentGoal::Maintain:
        return write(withState(vm, VmState::Maintenance, now), inPhase(intent, IntentPhase::Rebooting));
    }
    return wait("unknown goal");
}

// A VM that is overdue is marked as failed, and serves again once it answers.
TransitionStep afterReboot(
    const VmRecord& vm, const IntentRecord& intent, const TransitionFacts& facts, WallTime now)
{
    if (facts.returned) {
        auto served = withState(vm, VmState::Serving, now);
        served.lastMaintained = now;
        return write(std::move(served), std::nullopt);
    }
    if (facts.overdue && vm.state != VmState::Failed)
        return write(withState(vm, VmState::Failed, now), intent);
    return wait(facts.overdue ? "did not return from its reboot" : "rebooting");
}

} // namespace

VmRecord markLeaving(VmRecord vm, std::string cause, WallTime now)
{
    assert(vm.state == VmState::Serving);
    vm.cause = std::move(cause);
    return withState(std::move(vm), VmState::Leaving, now);
}

TransitionStep nextStep(
    const VmRecord& vm, const IntentRecord& intent, const TransitionFacts& facts, WallTime now)
{
    switch (intent.phase) {
    case IntentPhase::Draining:
        return facts.drained ? afterDrain(vm, intent, now) : wait(facts.waitingFor);
    case IntentPhase::Parked:
        return wait("out of service until undrained");
    case IntentPhase::Rebooting:
        if (facts.rebootAccepted)
            return write(vm, inPhase(intent, IntentPhase::Returning));
        return { TransitionAction::RequestReboot, "asks for the reboot", {}, {} };
    case IntentPhase::Returning:
        return afterReboot(vm, intent, facts, now);
    }
    return wait("unknown phase");
}

TransitionStep cancelTransition(
    const VmRecord& vm, const IntentRecord& intent, const std::string& cause, WallTime now)
{
    if (intent.phase == IntentPhase::Rebooting || intent.phase == IntentPhase::Returning)
        return wait("is being rebooted and serves again when it is back");
    auto served = withState(vm, VmState::Serving, now);
    served.cause = cause;
    return write(std::move(served), std::nullopt);
}

} // namespace fulmar::fleet
