#include "fleet/entry_presence.h"

#include <fmt/format.h>
#include <set>
#include <utility>

namespace fulmar::fleet {

namespace {

// The zone's region according to the VM rows; empty if no row is in the zone.
RegionId regionOf(const FleetView& view, const ZoneId& zone)
{
    for (const auto& [id, vm] : view.vms())
        if (vm.record.zone == zone)
            return vm.record.region;
    return {};
}

// An unknown region may be any region.
bool mayBeSameRegion(const RegionId& left, const RegionId& right)
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
    std::erase_if(m_observations, [&](const auto& item) { return !view.entries().contains(item.first); });
    for (const auto& [process, entry] : view.entries()) {
        auto& observation = m_observations[process];
        if (observation.incarnation == entry.record.incarnation)
            continue;
        observation = {};
        observation.incarnation = entry.record.incarnation;
        observation.incarnationSince = now;
        observation.replacedOther = !entry.record.replaces.empty();
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
        auto& observation = m_observations[process];
        observation.listed = listed.contains(entry.record.vm);
        if (observation.listed)
            observation.absentSince.reset();
        else if (!observation.absentSince)
            observation.absentSince = now;
        observation.gone
            = entry.record.listed && observation.absentSince && now - *observation.absentSince >= m_listLag;
    }
    m_unregistered.clear();
    for (const auto& vm : list)
        if (vm.vm.value().starts_with(m_entryVmPrefix) && !registered.contains(vm.vm)
            && !view.vms().contains(vm.vm))
            m_unregistered.push_back(vm);
}

std::vector<EntryEndpoint> EntryPresence::possibleRouters(const FleetView& view, const VmRecord& vm) const
{
    std::vector<EntryEndpoint> entries;
    for (const auto& [process, entry] : view.entries()) {
        auto observation = m_observations.find(process);
        bool isGone = observation != m_observations.end() && observation->second.gone;
        if (!isGone && mayBeSameRegion(entry.record.region, vm.region))
            entries.push_back({ process, entry.record.vm, entry.record.address });
    }
    for (const auto& listed : m_unregistered)
        if (mayBeSameRegion(regionOf(view, listed.zone), vm.region))
            entries.push_back({ ProcessId(listed.vm.value()), listed.vm, listed.address });
    return entries;
}

std::string EntryPresence::incompleteReason(TimePoint now) const
{
    for (const auto& [process, observation] : m_observations)
        if (observation.replacedOther && now - observation.incarnationSince < m_listLag)
            return fmt::format("entry {} restarted lately; waiting for the list to show entries that "
                               "its earlier incarnation may have started",
                process.value());
    return {};
}

std::vector<ProcessId> EntryPresence::gone() const
{
    std::vector<ProcessId> processes;
    for (const auto& [process, observation] : m_observations)
        if (observation.gone)
            processes.push_back(process);
    return processes;
}

std::vector<ProcessId> EntryPresence::newlyListed(const FleetView& view) const
{
    std::vector<ProcessId> processes;
    for (const auto& [process, entry] : view.entries())
        if (auto observation = m_observations.find(process);
            observation != m_observations.end() && observation->second.listed && !entry.record.listed)
            processes.push_back(process);
    return processes;
}

} // namespace fulmar::fleet
