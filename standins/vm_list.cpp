#include "vm_list.h"

namespace fulmar::standin {

VmList::VmList(Duration lag, Duration rebootTime)
    : m_lag(lag)
    , m_rebootTime(rebootTime)
{
}

void VmList::add(TimePoint now, ListedVm listed)
{
    const auto vm = listed.vm;
    const auto presence = listed.presence;
    m_vms[vm].listed = std::move(listed);
    change(vm, now, presence);
}

void VmList::markLeaving(TimePoint now, const VmId& vm) { change(vm, now, VmPresence::Leaving); }

void VmList::remove(TimePoint now, const VmId& vm) { change(vm, now, std::nullopt); }

Result<void> VmList::reboot(TimePoint now, const VmId& vm, const OperationId& operation)
{
    if (!m_vms.contains(vm))
        return notRun(Reason::NotFound, "no VM " + vm.value());
    if (!m_operations.insert(operation).second)
        return {};
    change(vm, now, std::nullopt);
    change(vm, now + m_rebootTime, VmPresence::Live);
    return {};
}

std::vector<ListedVm> VmList::list(TimePoint now) const
{
    std::vector<ListedVm> result;
    for (const auto& [id, vm] : m_vms) {
        auto presence = presenceAt(vm, now - m_lag);
        if (!presence)
            continue;
        result.push_back(vm.listed);
        result.back().presence = *presence;
    }
    return result;
}

bool VmList::isUp(TimePoint now, const VmId& id) const
{
    auto position = m_vms.find(id);
    return position != m_vms.end() && presenceAt(position->second, now).has_value();
}

std::optional<VmPresence> VmList::presenceAt(const Vm& vm, TimePoint moment)
{
    std::optional<VmPresence> presence;
    for (const auto& change : vm.history)
        if (change.since <= moment)
            presence = change.presence;
    return presence;
}

// A change replaces what was planned for later, such as the end of a reboot.
void VmList::change(const VmId& id, TimePoint since, std::optional<VmPresence> presence)
{
    auto position = m_vms.find(id);
    if (position == m_vms.end())
        return;
    auto& history = position->second.history;
    std::erase_if(history, [&](const Change& change) { return change.since > since; });
    history.push_back({ since, presence });
}

} // namespace fulmar::standin
