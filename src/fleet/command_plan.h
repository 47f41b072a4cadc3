#pragma once

#include "fleet/fleet_view.h"

#include <map>
#include <string>

namespace fulmar::fleet {

// What a command needs to know beyond the rows.
struct CommandContext {
    const FleetView& view;
    const BudgetLedger& ledger;
    // The newest list of the platform.
    const std::map<VmId, ListedVm>& listed;
    // Why nothing may be taken out of service now; empty if it may.
    std::string hold;
    // Names the operation that the command starts.
    OperationId operation;
    WallTime now {};
};

// The change that carries a command one step further, the command's own row included. Empty if nothing
// changes.
[[nodiscard]] FleetChange planCommand(const CommandContext&, const Stored<CommandRecord>&);

// The pool whose shard executes the command; empty for commands about waves.
[[nodiscard]] PoolId poolOf(const FleetView&, const CommandRecord&);

} // namespace fulmar::fleet
