#include "fleet/fleet_view.h"

#include "fleet/vm_transition.h"

#include <utility>

namespace fulmar::fleet {

namespace {

// Updates the map from a row whose key starts with a prefix of this length. False if the value does not
// decode.
template <typename Key, typename Record>
bool applyTo(std::map<Key, Stored<Record>>& rows, const Row& row, std::size_t prefixLength)
{
    Key key(row.key.substr(prefixLength));
    if (row.deleted) {
        rows.erase(key);
        return true;
    }
    auto record = decode<Record>(row.value);
    if (!record)
        return false;
    rows[std::move(key)] = { std::move(*record), row.version, row.operation };
    return true;
}

} // namespace

void FleetChange::put(std::string key, Version version, std::string value)
{
    m_conditions.push_back({ key, version });
    m_writes.push_back({ std::move(key), std::move(value), false });
}

void FleetChange::remove(std::string key, Version version)
{
    m_conditions.push_back({ key, version });
    m_writes.push_back({ std::move(key), {}, true });
}

void FleetChange::require(std::string key, Version version)
{
    m_conditions.push_back({ std::move(key), version });
}

std::vector<std::string> FleetView::apply(const std::vector<Row>& rows)
{
    std::vector<std::string> unreadable;
    auto hasPrefix = [](const Row& row, std::string_view prefix) { return row.key.starts_with(prefix); };
    auto length = [](std::string_view prefix) { return prefix.size(); };
    for (const auto& row : rows) {
        bool readable = true;
        if (hasPrefix(row, keys::vmPrefix))
            readable = applyTo(m_vms, row, length(keys::vmPrefix));
        else if (hasPrefix(row, keys::poolPrefix))
            readable = applyTo(m_pools, row, length(keys::poolPrefix));
        else if (hasPrefix(row, keys::commandPrefix))
            readable = applyTo(m_commands, row, length(keys::commandPrefix));
        else if (hasPrefix(row, keys::intentPrefix))
            readable = applyTo(m_intents, row, length(keys::intentPrefix));
        else if (hasPrefix(row, keys::wavePrefix))
            readable = applyTo(m_waves, row, length(keys::wavePrefix));
        else if (hasPrefix(row, keys::entryPrefix))
            readable = applyTo(m_entries, row, length(keys::entryPrefix));
        else if (hasPrefix(row, keys::budgetPrefix))
            m_budgets[PoolId(row.key.substr(length(keys::budgetPrefix)))] = row.deleted ? 0 : row.version;
        else if (row.key == keys::eraKey)
            m_eras = VersionEras::fromRow(row);
        if (!readable)
            unreadable.push_back(row.key);
    }
    return unreadable;
}

Version FleetView::budgetVersion(const PoolId& pool) const
{
    auto position = m_budgets.find(pool);
    return position == m_budgets.end() ? 0 : position->second;
}

BudgetLedger FleetView::ledger(const std::set<VmId>& live) const
{
    BudgetLedger ledger;
    for (const auto& [id, pool] : m_pools)
        ledger.addPool(pool.record);
    for (const auto& [id, vm] : m_vms)
        ledger.addVm(vm.record, vm.record.state == VmState::Serving && live.contains(id));
    for (const auto& [id, intent] : m_intents)
        if (auto vm = m_vms.find(id); vm != m_vms.end() && intent.record.goal == IntentGoal::Move)
            ledger.addDeparture(vm->second.record);
    return ledger;
}

FleetChange takeOutOfService(const FleetView& view, const Stored<VmRecord>& vm, const IntentRecord& intent,
    const std::string& cause, WallTime now)
{
    FleetChange change;
    const auto& id = vm.record.vm;
    change.put(vmKey(id), vm.version, encode(markLeaving(vm.record, cause, now)));
    change.put(intentKey(id), 0, encode(intent));
    change.put(budgetKey(vm.record.pool), view.budgetVersion(vm.record.pool), intent.operation.value());
    return change;
}

} // namespace fulmar::fleet
