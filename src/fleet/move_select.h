#pragma once

#include "fleet/fleet_view.h"
#include "fleet/move_plan.h"

#include <map>
#include <optional>
#include <vector>

namespace fulmar::fleet {

// Latest reported demand of each pool, in VMs' worth of work.
using PoolDemand = std::map<PoolId, double>;

// The pools' VM counts according to the rows, with their demand. Pools without a demand report are left out,
// so that no VM moves from or to them.
[[nodiscard]] std::vector<PoolLoad> poolLoads(const FleetView&, const PoolDemand&);

// The VM to move from pool `from` to pool `to`: a serving VM whose move the budgets allow, in the zone where
// `to` has the fewest VMs. Empty if there is none.
[[nodiscard]] std::optional<VmId> nextToMove(
    const FleetView&, const BudgetLedger&, const PoolId& from, const PoolId& to);

} // namespace fulmar::fleet
