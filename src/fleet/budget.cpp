#include "fleet/budget.h"

#include <cassert>
#include <cmath>
#include <fmt/format.h>

namespace fulmar {

namespace {

// Keeps shares like 0.1 * 30 from being rounded down to 2.
constexpr double roundingTolerance = 1e-9;

template <typename Counts, typename Key> std::uint32_t countOf(const Counts& counts, const Key& key)
{
    auto position = counts.find(key);
    return position == counts.end() ? 0 : position->second;
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
        take(vm);
}

std::string BudgetLedger::refusal(const VmRecord& vm) const
{
    auto position = m_pools.find(vm.pool);
    if (position == m_pools.end() || !position->second.configured)
        return fmt::format("pool {} is not configured", vm.pool.value());
    const auto& pool = position->second;
    if (auto allowed = allowedVms(pool.config.unavailableShare, pool.total); pool.unavailable >= allowed)
        return fmt::format("budget of pool {}: {} of {} VMs unavailable, {} allowed", vm.pool.value(),
            pool.unavailable, pool.total, allowed);
    auto inZone = countOf(pool.unavailableByZone, vm.zone);
    if (auto allowed = allowedVms(pool.config.unavailableSharePerZone, pool.total); inZone >= allowed)
        return fmt::format("budget of pool {} in zone {}: {} VMs unavailable, {} allowed", vm.pool.value(),
            vm.zone.value(), inZone, allowed);
    auto inRack = countOf(pool.unavailableByRack, vm.rack);
    if (auto allowed = allowedVms(pool.config.unavailableSharePerRack, pool.total);
        !vm.rack.empty() && inRack >= allowed)
        return fmt::format("budget of pool {} in rack {}: {} VMs unavailable, {} allowed", vm.pool.value(),
            vm.rack.value(), inRack, allowed);
    return {};
}

void BudgetLedger::take(const VmRecord& vm)
{
    auto& pool = m_pools[vm.pool];
    ++pool.unavailable;
    ++pool.unavailableByRack[vm.rack];
    ++pool.unavailableByZone[vm.zone];
}

void BudgetLedger::giveBack(const VmRecord& vm)
{
    auto& pool = m_pools[vm.pool];
    assert(pool.unavailable > 0);
    --pool.unavailable;
    --pool.unavailableByRack[vm.rack];
    --pool.unavailableByZone[vm.zone];
}

std::int64_t BudgetLedger::remaining(const PoolId& id) const
{
    auto position = m_pools.find(id);
    if (position == m_pools.end())
        return 0;
    const auto& pool = position->second;
    return std::int64_t(allowedVms(pool.config.unavailableShare, pool.total)) - pool.unavailable;
}

std::uint32_t BudgetLedger::unavailable(const PoolId& id) const
{
    auto position = m_pools.find(id);
    return position == m_pools.end() ? 0 : position->second.unavailable;
}

std::uint32_t BudgetLedger::total(const PoolId& id) const
{
    auto position = m_pools.find(id);
    return position == m_pools.end() ? 0 : position->second.total;
}

} // namespace fulmar
