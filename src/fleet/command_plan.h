#pragma once

#include "fleet/fleet_view.h"

#include <map>
#include <string>

namespace fulmar::fleet {

// The state against which a command is planned.
struct CommandContext {
    const FleetView& view;
    const BudgetLedger& ledger;
    // The VMs in the platform's latest list.
    const std::map<VmId, ListedVm>& listed;
    // Why no VM may be taken out of service now; empty if VMs may be.
    std::string withdrawalBlockedReason;
    // The id of the operation that the command starts.
    OperationId operation;
    WallTime now {};
};

// The change that advances a command by one step, including the command's own row; empty if there is nothing
// to change.
[[nodiscard]] FleetChange planCommand(const CommandContext&, const Stored<CommandRecord>&);

// The pool whose shard executes the command: AssignVm's pool or the VM's present pool; empty for wave
// commands and unknown VMs.
[[nodiscard]] PoolId poolOf(const FleetView&, const CommandRecord&);

} // namespace fulmar::fleet
