#include "fleet/move_select.h"

#include <limits>

namespace fulmar::fleet {

std::vector<PoolLoad> poolLoads(const FleetView& view, const PoolDemand& demand)
{
    std::map<PoolId, PoolLoad> loads;
    for (const auto& [id, demandVms] : demand)
        if (auto pool = view.pools().find(id); pool != view.pools().end())
            loads[id] = { id, pool->second.record.isSpare, 0, 0, 0, demandVms };
    for (const auto& [id, vm] : view.vms())
        if (auto load = loads.find(vm.record.pool); load != loads.end())
            load->second.serving += vm.record.state == VmState::Serving ? 1 : 0;
    for (const auto& [id, intent] : view.intents()) {
        if (intent.record.goal != IntentGoal::Move)
            continue;
        if (auto vm = view.vms().find(id); vm != view.vms().end())
            if (auto from = loads.find(vm->second.record.pool); from != loads.end())
                ++from->second.leaving;
        if (auto to = loads.find(intent.record.toPool); to != loads.end())
            ++to->second.arriving;
    }
    std::vector<PoolLoad> list;
    list.reserve(loads.size());
    for (const auto& [id, load] : loads)
        list.push_back(load);
    return list;
}

std::optional<VmId> nextToMove(
    const FleetView& view, const BudgetLedger& ledger, const PoolId& from, const PoolId& to)
{
    std::map<ZoneId, std::uint32_t> receiverVms;
    for (const auto& [id, vm] : view.vms())
        receiverVms[vm.record.zone] += vm.record.pool == to ? 1 : 0;
    std::optional<VmId> best;
    auto fewest = std::numeric_limits<std::uint32_t>::max();
    for (const auto& [id, vm] : view.vms()) {
        if (vm.record.pool != from || vm.record.state != VmState::Serving || view.intents().contains(id))
            continue;
        auto inZone = receiverVms[vm.record.zone];
        if (inZone < fewest && ledger.refusalOfMove(vm.record).empty()) {
            best = id;
            fewest = inZone;
        }
    }
    return best;
}

} // namespace fulmar::fleet
