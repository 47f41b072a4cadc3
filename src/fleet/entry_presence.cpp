#include "fleet/entry_presence.h"

#include <fmt/format.h>
#include <set>
#include <utility>

namespace fulmar::fleet {

namespace {

// Empty if no VM row tells the zone's region.
RegionId regionOf(const FleetView& view, const ZoneId& zone)
{
    for (const auto& [id, vm] : view.vms())
        if (vm.record.zone == zone)
            return vm.record.region;
    return {};
}

bool mayBeSame(const RegionId& left, const RegionId& right)
{
    return left.empty() || right.empty() || left == right;
}

} // namespace

EntryPresence::EntryPresence(Duration listLag, std::string entryVmPrefix)
    : m_listLag(listLag)
    , m_entryVmPrefix(std::move(entryVmPrefix))
{
}

void EntryPresence::observeRows(TimePoint now, const FleetView& view)
{
    std::erase_if(m_sights, [&](const auto& item) { return !view.entries().contains(item.first); });
    for (const auto& [process, entry] : view.entries()) {
        auto& sight = m_sights[process];
        if (sight.incarnation == entry.record.incarnation)
            continue;
        sight = {};
        sight.incarnation = entry.record.incarnation;
        sight.incarnationSince = now;
        sight.replacedOther = !entry.record.replaces.empty();
    }
}

void EntryPresence::observeList(TimePoint now, const FleetView& view, const std::vector<ListedVm>& list)
{
    std::set<VmId> listed;
    for (const auto& vm : list)
        listed.insert(vm.vm);
    std::set<VmId> registered;
    for (const auto& [process, entry] : view.entries()) {
        registered.insert(entry.record.vm);
        auto& sight = m_sights[process];
        sight.listed = listed.contains(entry.record.vm);
        if (sight.listed)
            sight.absentSince.reset();
        else if (!sight.absentSince)
            sight.absentSince = now;
        sight.gone = entry.record.listed && sight.absentSince && now - *sight.absentSince >= m_listLag;
    }
    m_unregistered.clear();
    for (const auto& vm : list)
        if (vm.vm.value().starts_with(m_entryVmPrefix) && !registered.contains(vm.vm)
            && !view.vms().contains(vm.vm))
            m_unregistered.push_back(vm);
}

std::vector<EntryDependent> EntryPresence::mayRoute(const FleetView& view, const VmRecord& vm) const
{
    std::vector<EntryDependent> entries;
    for (const auto& [process, entry] : view.entries()) {
        auto sight = m_sights.find(process);
        bool isGone = sight != m_sights.end() && sight->second.gone;
        if (!isGone && mayBeSame(entry.record.region, vm.region))
            entries.push_back({ process, entry.record.vm, entry.record.address });
    }
    for (const auto& listed : m_unregistered)
        if (mayBeSame(regionOf(view, listed.zone), vm.region))
            entries.push_back({ ProcessId(listed.vm.value()), listed.vm, listed.address });
    return entries;
}

std::string EntryPresence::unsettled(TimePoint now) const
{
    for (const auto& [process, sight] : m_sights)
        if (sight.replacedOther && now - sight.incarnationSince < m_listLag)
            return fmt::format("entry {} restarted lately; waiting for the list to show entries that "
                               "its earlier incarnation may have started",
                process.value());
    return {};
}

std::vector<ProcessId> EntryPresence::gone() const
{
    std::vector<ProcessId> processes;
    for (const auto& [process, sight] : m_sights)
        if (sight.gone)
            processes.push_back(process);
    return processes;
}

std::vector<ProcessId> EntryPresence::newlyListed(const FleetView& view) const
{
    std::vector<ProcessId> processes;
    for (const auto& [process, entry] : view.entries())
        if (auto sight = m_sights.find(process);
            sight != m_sights.end() && sight->second.listed && !entry.record.listed)
            processes.push_back(process);
    return processes;
}

} // namespace fulmar::fleet
