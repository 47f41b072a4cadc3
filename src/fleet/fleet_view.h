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

// A decoded row with what a conditional write needs.
template <typename Record> struct Stored {
    Record record;
    Version version { 0 };
    // The operation that wrote it last.
    OperationId operation;
};

// Conditions and writes of one decision; the committer adds the operation and the lease's condition.
class FleetChange {
public:
    // Replaces the row of this version; 0 creates it.
    void put(std::string key, Version version, std::string value);
    void remove(std::string key, Version version);
    // Requires a row to be unchanged without writing it.
    void require(std::string key, Version version);

    [[nodiscard]] bool empty() const { return m_writes.empty(); }
    [[nodiscard]] const std::vector<Condition>& conditions() const { return m_conditions; }
    [[nodiscard]] const std::vector<Write>& writes() const { return m_writes; }

private:
    std::vector<Condition> m_conditions;
    std::vector<Write> m_writes;
};

// The fleet's rows as last read. Budget rows must be read before the VM rows: then a spend that the VM rows
// do not show yet has moved the budget row's version, and the condition on it fails.
class FleetView {
public:
    // Takes rows of any prefix; rows that do not decode are kept out and their keys returned.
    std::vector<std::string> apply(const std::vector<Row>& rows);

    [[nodiscard]] const std::map<VmId, Stored<VmRecord>>& vms() const { return m_vms; }
    [[nodiscard]] const std::map<PoolId, Stored<PoolConfig>>& pools() const { return m_pools; }
    [[nodiscard]] const std::map<std::string, Stored<CommandRecord>>& commands() const { return m_commands; }
    [[nodiscard]] const std::map<VmId, Stored<IntentRecord>>& intents() const { return m_intents; }
    [[nodiscard]] const std::map<WaveId, Stored<WaveRecord>>& waves() const { return m_waves; }
    [[nodiscard]] const std::map<ProcessId, Stored<EntryRecord>>& entries() const { return m_entries; }

    // Version of the pool's budget row, 0 if there is none.
    [[nodiscard]] Version budgetVersion(const PoolId&) const;

    // The configuration version of a version of the platform's table.
    [[nodiscard]] Version configVersion(Version tableVersion) const
    {
        return m_eras.configVersion(tableVersion);
    }

    // Counts every VM whose row does not say Serving, or that is not among `live`, as unavailable.
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

// Marks the VM as leaving, records the intent and spends the pool's budget, all in one change.
[[nodiscard]] FleetChange takeOut(
    const FleetView&, const Stored<VmRecord>&, const IntentRecord&, const std::string& cause, WallTime now);

} // namespace fulmar::fleet
