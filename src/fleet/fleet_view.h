#pragma once

#include "config/version_eras.h"
#include "fleet/budget.h"
#include "fleet/command.h"
#include "fleet/entry_row.h"
#include "fleet/records.h"
#include "platform/table.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmar::fleet {

// A decoded row with its version, which a conditional write names.
template <typename Record> struct Stored {
    Record record;
    Version version { 0 };
    // The operation that last wrote the row.
    OperationId operation;
};

// The conditions and writes of one decision. FleetStore::commit() adds the operation and the lease's
// condition.
class FleetChange {
public:
    // Replaces the row if it still has this version; version 0 creates it.
    void put(std::string key, Version version, std::string value);
    void remove(std::string key, Version version);
    // Adds the condition that a row still has this version, without writing the row.
    void require(std::string key, Version version);

    [[nodiscard]] bool empty() const { return m_writes.empty(); }
    [[nodiscard]] const std::vector<Condition>& conditions() const { return m_conditions; }
    [[nodiscard]] const std::vector<Write>& writes() const { return m_writes; }

private:
    std::vector<Condition> m_conditions;
    std::vector<Write> m_writes;
};

// The fleet's rows as last read. Budget rows must be read before VM rows: if another process takes a VM out
// of service and the VM rows read here do not show it, the budget row has a newer version than the one read
// here, so a commit that is conditional on the budget row fails.
class FleetView {
public:
    // Applies rows of any prefix. Rows that do not decode are skipped, and their keys are returned.
    std::vector<std::string> apply(const std::vector<Row>& rows);

    [[nodiscard]] const std::map<VmId, Stored<VmRecord>>& vms() const { return m_vms; }
    [[nodiscard]] const std::map<PoolId, Stored<PoolConfig>>& pools() const { return m_pools; }
    [[nodiscard]] const std::map<std::string, Stored<CommandRecord>>& commands() const { return m_commands; }
    [[nodiscard]] const std::map<VmId, Stored<IntentRecord>>& intents() const { return m_intents; }
    [[nodiscard]] const std::map<WaveId, Stored<WaveRecord>>& waves() const { return m_waves; }
    [[nodiscard]] const std::map<ProcessId, Stored<EntryRecord>>& entries() const { return m_entries; }

    // Version of the pool's budget row, 0 if there is none.
    [[nodiscard]] Version budgetVersion(const PoolId&) const;

    // Converts a version of the platform's table to a configuration version.
    [[nodiscard]] Version configVersion(Version tableVersion) const
    {
        return m_eras.configVersion(tableVersion);
    }

    // Budget usage; VMs whose state is not Serving or that are not in `live` count as unavailable.
    [[nodiscard]] BudgetLedger ledger(const std::set<VmId>& live) const;

private:
    std::map<VmId, Stored<VmRecord>> m_vms;
    std::map<PoolId, Stored<PoolConfig>> m_pools;
    std::map<std::string, Stored<CommandRecord>> m_commands;
    std::map<VmId, Stored<IntentRecord>> m_intents;
    std::map<WaveId, Stored<WaveRecord>> m_waves;
    std::map<ProcessId, Stored<EntryRecord>> m_entries;
    std::map<PoolId, Version> m_budgets;
    VersionEras m_eras;
};

// Marks the VM as leaving, creates its intent row and writes the pool's budget row, all in one change. The
// write to the budget row makes concurrent withdrawals from the same pool conflict.
[[nodiscard]] FleetChange takeOutOfService(
    const FleetView&, const Stored<VmRecord>&, const IntentRecord&, const std::string& cause, WallTime now);

} // namespace fulmar::fleet
