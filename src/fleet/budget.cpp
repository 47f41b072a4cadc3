#include "fleet/budget.h"

#include <cassert>
#include <cmath>
#include <fmt/format.h>

namespace fulmar::fleet {

namespace {

// Keeps a product such as 0.1 * 30 from being rounded down to 2.
constexpr double roundingTolerance = 1e-9;

template <typename Counts, typename Key> auto countOf(const Counts& counts, const Key& key)
{
    auto position = counts.find(key);
    return position == counts.end() ? typename Counts::mapped_type {} : position->second;
}

} // namespace

std::uint32_t allowedVms(double share, std::uint32_t poolSize)
{
    return std::uint32_t(std::floor(share * poolSize + roundingTolerance));
}

void BudgetLedger::addPool(const PoolConfig& config)
{
    auto& pool = m_pools[config.pool];
    pool.config = config;
    pool.configured = true;
}

void BudgetLedger::addVm(const VmRecord& vm, bool available)
{
    ++m_pools[vm.pool].total;
    if (!available)
        markUnavailable(vm);
}

void BudgetLedger::addDeparture(const VmRecord& vm)
{
    auto& pool = m_pools[vm.pool];
    ++pool.poolWide.departing;
    ++pool.racks[vm.rack].departing;
    ++pool.zones[vm.zone].departing;
}

// A domain is a rack or zone. VMs that depart from this domain need no correction: each lowers the domain's
// unavailable count by one and its allowance by at most one. VMs that depart from other domains lower only
// the allowance, so the pool size used here excludes them.
std::uint32_t BudgetLedger::allowedIn(const PoolCount& pool, const DomainCount& domain, double share)
{
    return allowedVms(share, pool.total - (pool.poolWide.departing - domain.departing));
}

bool BudgetLedger::allows(const VmRecord& vm) const
{
    auto position = m_pools.find(vm.pool);
    if (position == m_pools.end() || !position->second.configured)
        return false;
    const auto& pool = position->second;
    auto zone = countOf(pool.zones, vm.zone);
    auto rack = countOf(pool.racks, vm.rack);
    return pool.poolWide.unavailable < allowedVms(pool.config.unavailableShare, pool.total)
        && zone.unavailable < allowedIn(pool, zone, pool.config.unavailableSharePerZone)
        && (vm.rack.empty() || rack.unavailable < allowedIn(pool, rack, pool.config.unavailableSharePerRack));
}

std::string BudgetLedger::refusal(const VmRecord& vm) const
{
    if (allows(vm))
        return {};
    auto position = m_pools.find(vm.pool);
    if (position == m_pools.end() || !position->second.configured)
        return fmt::format("pool {} is not configured", vm.pool.value());
    const auto& pool = position->second;
    if (auto allowed = allowedVms(pool.config.unavailableShare, pool.total);
        pool.poolWide.unavailable >= allowed)
        return fmt::format("budget of pool {}: {} of {} VMs unavailable, {} allowed", vm.pool.value(),
            pool.poolWide.unavailable, pool.total, allowed);
    auto zone = countOf(pool.zones, vm.zone);
    if (auto allowed = allowedIn(pool, zone, pool.config.unavailableSharePerZone);
        zone.unavailable >= allowed)
        return fmt::format("budget of pool {} in zone {}: {} VMs unavailable, {} allowed", vm.pool.value(),
            vm.zone.value(), zone.unavailable, allowed);
    auto rack = countOf(pool.racks, vm.rack);
    return fmt::format("budget of pool {} in rack {}: {} VMs unavailable, {} allowed", vm.pool.value(),
        vm.rack.value(), rack.unavailable, allowedIn(pool, rack, pool.config.unavailableSharePerRack));
}

std::string BudgetLedger::refusalOfMove(const VmRecord& vm) const
{
    if (auto reason = refusal(vm); !reason.empty())
        return reason;
    auto pool = m_pools.at(vm.pool);
    --pool.total;
    auto exceeds = [&](const DomainCount& domain, double share) {
        return domain.unavailable > allowedIn(pool, domain, share);
    };
    for (const auto& [zone, count] : pool.zones)
        if (zone != vm.zone && exceeds(count, pool.config.unavailableSharePerZone))
            return fmt::format("without the VM the budget of pool {} in zone {} would not hold",
                vm.pool.value(), zone.value());
    for (const auto& [rack, count] : pool.racks)
        if (rack != vm.rack && !rack.empty() && exceeds(count, pool.config.unavailableSharePerRack))
            return fmt::format("without the VM the budget of pool {} in rack {} would not hold",
                vm.pool.value(), rack.value());
    return {};
}

void BudgetLedger::markUnavailable(const VmRecord& vm)
{
    auto& pool = m_pools[vm.pool];
    ++pool.poolWide.unavailable;
    ++pool.racks[vm.rack].unavailable;
    ++pool.zones[vm.zone].unavailable;
}

void BudgetLedger::markAvailable(const VmRecord& vm)
{
    auto& pool = m_pools[vm.pool];
    assert(pool.poolWide.unavailable > 0);
    --pool.poolWide.unavailable;
    --pool.racks[vm.rack].unavailable;
    --pool.zones[vm.zone].unavailable;
}

std::int64_t BudgetLedger::remaining(const PoolId& id) const
{
    auto position = m_pools.find(id);
    if (position == m_pools.end())
        return 0;
    const auto& pool = position->second;
    return std::int64_t(allowedVms(pool.config.unavailableShare, pool.total)) - pool.poolWide.unavailable;
}

std::uint32_t BudgetLedger::unavailable(const PoolId& id) const
{
    auto position = m_pools.find(id);
    return position == m_pools.end() ? 0 : position->second.poolWide.unavailable;
}

std::uint32_t BudgetLedger::total(const PoolId& id) const
{
    auto position = m_pools.find(id);
    return position == m_pools.end() ? 0 : position->second.total;
}

} // namespace fulmar::fleet
