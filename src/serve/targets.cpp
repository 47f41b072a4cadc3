#include "serve/targets.h"

#include <algorithm>
#include <cassert>

namespace fulmar::serve {

Targets::Targets(ZoneId ownZone, std::uint64_t seed)
    : m_ownZone(std::move(ownZone))
    , m_random(seed)
{
}

void Targets::applyDirectory(const ServiceDirectory& directory)
{
    for (const auto& [id, service] : directory.services)
        for (const auto& target : service.targets) {
            auto& state = m_states[target.vm];
            state.epoch = std::max(state.epoch, target.epoch);
            if (state.leavingSince && target.serving && target.epoch > *state.leavingSince)
                state.leavingSince.reset();
        }
}

void Targets::setLeaving(const VmId& vm)
{
    auto& state = m_states[vm];
    state.leavingSince = state.epoch;
}

std::vector<VmId> Targets::leaving() const
{
    std::vector<VmId> vms;
    for (const auto& [vm, state] : m_states)
        if (state.leavingSince)
            vms.push_back(vm);
    return vms;
}

const Target* Targets::pick(const ServiceEntry& service, const std::vector<VmId>& avoid)
{
    const Target* best = nullptr;
    auto cost = [this](const Target& target) {
        return std::make_pair(target.zone != m_ownZone, m_states[target.vm].inFlight);
    };
    auto offset = service.targets.empty() ? 0 : m_random() % service.targets.size();
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
        const auto& target = service.targets[(i + offset) % service.targets.size()];
        const auto& state = m_states[target.vm];
        if (!target.serving || state.leavingSince || state.inFlight >= limit(service.config))
            continue;
        if (std::find(avoid.begin(), avoid.end(), target.vm) != avoid.end())
            continue;
        if (!best || cost(target) < cost(*best))
            best = &target;
    }
    return best;
}

void Targets::onEnd(const VmId& vm)
{
    auto& state = m_states[vm];
    assert(state.inFlight > 0);
    --state.inFlight;
}

std::map<VmId, std::uint32_t> Targets::inFlight() const
{
    std::map<VmId, std::uint32_t> counts;
    for (const auto& [vm, state] : m_states)
        if (state.inFlight > 0)
            counts.emplace(vm, state.inFlight);
    return counts;
}

std::uint32_t Targets::limit(const ServiceConfig& config) const
{
    return std::max(1U, config.slotsPerTarget / std::max(1U, m_sharers));
}

} // namespace fulmar::serve
