#include "serve/targets.h"

#include <algorithm>
#include <tuple>

namespace fulmar::serve {

namespace {

// How long entry VMs may disagree about which of them share the slots.
constexpr Duration allocationSettleTime = std::chrono::seconds(2);
// A target that was reported as leaving by itself or an operator gets no calls for this long; by then its row
// should confirm the report.
constexpr Duration leavingHold = std::chrono::seconds(60);
// Same for a report by a peer, which repeats it with each message.
constexpr Duration peerLeavingHold = std::chrono::seconds(10);

const std::vector<TargetState*> noTargets;

bool contains(const std::vector<VmId>& vms, const VmId& vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

} // namespace

Targets::Targets(EntryVm self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
    , m_entryVms({ m_self })
{
}

void Targets::setService(const ServiceEntry& service, TimePoint now)
{
    auto& targets = m_services[service.config.service];
    auto before = std::move(targets);
    targets.clear();
    for (const auto& target : service.targets) {
        auto& state = m_states[target.vm];
        if (target.serving && target.epoch > state.leavingEpoch) {
            state.listedLeaving = false;
            state.leavingUntil = {};
        }
        bool isAllocated = state.allocationRevision == m_entryVmsRevision && state.row.zone == target.zone
            && state.totalSlots == service.config.slotsPerTarget
            && state.totalConnections == service.config.connectionsPerTarget;
        state.row = target;
        state.totalSlots = service.config.slotsPerTarget;
        state.totalConnections = service.config.connectionsPerTarget;
        ++state.serviceCount;
        if (!isAllocated)
            allocate(state, now);
        targets.push_back(&state);
    }
    removeServiceFrom(before);
}

void Targets::removeService(const ServiceId& service)
{
    if (auto node = m_services.extract(service))
        removeServiceFrom(node.mapped());
}

// Decrements the targets' service counts. A target without services is dropped once its last call has ended.
void Targets::removeServiceFrom(const std::vector<TargetState*>& targets)
{
    for (auto* state : targets)
        if (--state->serviceCount == 0) {
            state->row.serving = false;
            m_unused.push_back(state->row.vm);
        }
    dropUnused();
}

void Targets::dropUnused()
{
    std::erase_if(m_unused, [this](const VmId& vm) {
        auto position = m_states.find(vm);
        if (position == m_states.end() || position->second.serviceCount > 0)
            return true;
        if (position->second.slots.inFlight() > 0)
            return false;
        m_states.erase(position);
        return true;
    });
}

void Targets::setEntryVms(std::vector<EntryVm> entryVms, TimePoint now)
{
    if (std::find(entryVms.begin(), entryVms.end(), m_self) == entryVms.end())
        entryVms.push_back(m_self);
    auto byProcess = [](const EntryVm& a, const EntryVm& b) { return a.process < b.process; };
    std::sort(entryVms.begin(), entryVms.end(), byProcess);
    if (entryVms == m_entryVms)
        return;
    for (const auto& entryVm : m_entryVms)
        if (std::find(entryVms.begin(), entryVms.end(), entryVm) == entryVms.end())
            for (auto& [vm, state] : m_states)
                state.slots.forgetPeer(entryVm.process);
    m_entryVms = std::move(entryVms);
    m_allocationSettled = now + allocationSettleTime;
    ++m_entryVmsRevision;
    for (auto& [vm, state] : m_states)
        allocate(state, now);
}

void Targets::reacquireSlots(TimePoint now)
{
    m_allocationSettled = now + allocationSettleTime;
    for (auto& [vm, state] : m_states) {
        state.slots.setShare(0, now, now);
        allocate(state, now);
    }
}

// Allocates the target's slots among the entry VMs of its zone, or among all if the zone has none.
void Targets::allocate(TargetState& state, TimePoint now)
{
    const auto& vm = state.row.vm;
    state.allocationRevision = m_entryVmsRevision;
    std::vector<ProcessId> all;
    std::vector<ProcessId> local;
    for (const auto& entryVm : m_entryVms) {
        all.push_back(entryVm.process);
        if (entryVm.zone == state.row.zone)
            local.push_back(entryVm.process);
    }
    const auto& sharers = local.empty() ? all : local;
    bool sharing = std::find(sharers.begin(), sharers.end(), m_self.process) != sharers.end();
    auto share = sharing ? allocatedSlots(vm, state.totalSlots, sharers, m_self.process) : 0;
    state.slots.setShare(share, m_allocationSettled, now);

    // Half of the connections are allocated among the entry VMs of the target's zone, half among all.
    auto half = state.totalConnections / 2;
    state.ownConnections = allocatedSlots(vm, half, all, m_self.process);
    if (sharing)
        state.ownConnections += allocatedSlots(vm, state.totalConnections - half, sharers, m_self.process);
}

void Targets::setLeaving(const VmId& vm, TimePoint now)
{
    if (auto* state = find(vm)) {
        state->leavingUntil = now + leavingHold;
        state->leavingReportedDirectly = true;
        state->leavingEpoch = state->row.epoch;
        m_maybeLeaving.insert(vm);
    }
}

void Targets::setListedLeaving(const VmId& vm, bool leaving)
{
    if (auto* state = find(vm)) {
        state->listedLeaving = leaving;
        if (leaving) {
            state->leavingEpoch = state->row.epoch;
            m_maybeLeaving.insert(vm);
        }
    }
}

void Targets::setLeavingFromPeer(const LeavingMark& mark, TimePoint now)
{
    auto* state = find(mark.vm);
    if (!state || mark.epoch < state->row.epoch || state->isLeaving(now + peerLeavingHold))
        return;
    state->leavingUntil = now + peerLeavingHold;
    state->leavingReportedDirectly = false;
    state->leavingEpoch = mark.epoch;
}

std::vector<LeavingMark> Targets::leaving(TimePoint now)
{
    std::vector<LeavingMark> marks;
    std::erase_if(m_maybeLeaving, [&](const VmId& vm) {
        const auto* state = find(vm);
        bool isMarked = state
            && (state->listedLeaving || (state->leavingReportedDirectly && now < state->leavingUntil));
        if (isMarked)
            marks.push_back({ vm, state->leavingEpoch });
        return !isMarked;
    });
    return marks;
}

TargetState* Targets::pick(const ServiceId& service, const std::vector<VmId>& tried, TimePoint now)
{
    const auto& targets = targetsOf(service);
    bool panic = inPanic(targets, now);
    bool otherOnly = !tried.empty() && hasOther(service, tried, now);
    auto triedRack = [&](const TargetState& state) {
        return std::any_of(tried.begin(), tried.end(), [&](const VmId& vm) {
            auto position = m_states.find(vm);
            return position != m_states.end() && position->second.row.rack == state.row.rack;
        });
    };
    auto cost = [&](const TargetState& state) {
        auto load = (state.slots.inFlight() + 1) * state.health.meanRelativeRunTime();
        return std::make_tuple(triedRack(state), state.row.zone != m_self.zone, load);
    };
    TargetState* best = nullptr;
    auto offset = targets.empty() ? 0 : m_random() % targets.size();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        auto* state = targets[(i + offset) % targets.size()];
        if (!isUsable(*state, panic, now) || (otherOnly && contains(tried, state->row.vm)))
            continue;
        if (!best || cost(*state) < cost(*best))
            best = state;
    }
    return best;
}

bool Targets::hasOther(const ServiceId& service, const std::vector<VmId>& tried, TimePoint now) const
{
    const auto& targets = targetsOf(service);
    return std::any_of(targets.begin(), targets.end(), [&](const TargetState* state) {
        return state->takesCalls(now) && state->slots.limit(now) > 0 && !contains(tried, state->row.vm);
    });
}

// The target may get a call now.
bool Targets::isUsable(const TargetState& state, bool panic, TimePoint now) const
{
    if (!state.takesCalls(now) || state.slots.free(now) == 0
        || state.slots.inFlight() >= state.ownConnections)
        return false;
    if (panic)
        return true;
    return !state.health.isEjected(now) && (!state.health.isOnProbation(now) || state.slots.inFlight() == 0);
}

bool Targets::inPanic(const std::vector<TargetState*>& targets, TimePoint now) const
{
    std::uint32_t healthy = 0;
    for (const auto* state : targets)
        healthy += state->takesCalls(now) && !state->health.isEjected(now) ? 1 : 0;
    return isPanic(healthy, std::uint32_t(targets.size()));
}

void Targets::onSuccess(const VmId& vm, double relativeRunTime, TimePoint now)
{
    if (auto* state = find(vm)) {
        state->health.onSuccess(relativeRunTime, now);
        ejectIfOutlier(*state, now);
    }
}

void Targets::onFailure(const VmId& vm, TimePoint now)
{
    if (auto* state = find(vm)) {
        state->health.onFailure(now);
        ejectIfOutlier(*state, now);
    }
}

// Ejects an outlier unless too many targets of one of its services are already ejected.
void Targets::ejectIfOutlier(TargetState& target, TimePoint now)
{
    if (!target.health.isOutlier() || target.health.isEjected(now))
        return;
    for (const auto& [service, targets] : m_services) {
        if (std::find(targets.begin(), targets.end(), &target) == targets.end())
            continue;
        std::uint32_t serving = 0;
        std::uint32_t ejected = 0;
        for (const auto* state : targets) {
            serving += state->takesCalls(now) ? 1 : 0;
            ejected += state->health.isEjected(now) ? 1 : 0;
        }
        if (ejected >= ejectionCap(serving))
            return;
    }
    target.health.eject(now);
}

std::uint32_t Targets::slotLimit(const ServiceId& service, TimePoint now) const
{
    const auto& targets = targetsOf(service);
    bool panic = inPanic(targets, now);
    std::uint32_t limit = 0;
    for (const auto* state : targets)
        if (state->takesCalls(now) && (panic || !state->health.isEjected(now)))
            limit += state->slots.limit(now);
    return limit;
}

bool Targets::takesCalls(const ServiceId& service, TimePoint now) const
{
    const auto& targets = targetsOf(service);
    return std::any_of(
        targets.begin(), targets.end(), [now](const TargetState* state) { return state->takesCalls(now); });
}

TargetState* Targets::find(const VmId& vm)
{
    auto position = m_states.find(vm);
    return position == m_states.end() ? nullptr : &position->second;
}

const std::vector<TargetState*>& Targets::targetsOf(const ServiceId& service) const
{
    auto position = m_services.find(service);
    return position == m_services.end() ? noTargets : position->second;
}

std::size_t Targets::ejected(TimePoint now) const
{
    auto isEjected = [now](const auto& entry) { return entry.second.health.isEjected(now); };
    return std::size_t(std::count_if(m_states.begin(), m_states.end(), isEjected));
}

std::map<VmId, std::uint32_t> Targets::inFlight() const
{
    std::map<VmId, std::uint32_t> counts;
    for (const auto& [vm, state] : m_states)
        if (auto count = state.slots.inFlight(); count > 0)
            counts.emplace(vm, count);
    return counts;
}

} // namespace fulmar::serve
