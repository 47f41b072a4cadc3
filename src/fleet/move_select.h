#pragma once

#include "fleet/fleet_view.h"
#include "fleet/move_plan.h"

#include <map>
#include <optional>
#include <vector>

namespace fulmar::fleet {

// Demand of each pool in VMs' worth of work, as the entries reported it lately.
using PoolDemand = std::map<PoolId, double>;

// The pools' counts from the rows, with their demand. Pools without a report are left out: nothing is taken
// from or given to them.
[[nodiscard]] std::vector<PoolLoad> poolLoads(const FleetView&, const PoolDemand&);

// The VM that pool `from` can lose best to pool `to`: one that the budgets let go, in the zone where `to` has
// fewest VMs.
[[nodiscard]] std::optional<VmId> nextToMove(
    const FleetView&, const BudgetLedger&, const PoolId& from, const PoolId& to);

} // namespace fulmar::fleet
