#include "config/config_reader.h"

#include <algorithm>

namespace fulmar {

namespace {

// A condition that holds exactly while the table has this row, or none.
Condition unchanged(const std::string& key, const Row* row)
{
    return { key, row && !row->deleted ? row->version : 0 };
}

Row withConfigVersion(Row row, const VersionEras& eras)
{
    row.version = eras.configVersion(row.version);
    return row;
}

// The table does not have this row of the replica, nor one that takes its place.
bool isLost(const Row& row, const Row* inTable, const VersionEras& eras)
{
    if (!inTable)
        return true;
    return inTable->operation != row.operation && !replaces(withConfigVersion(*inTable, eras), row);
}

bool isNewer(const Row& row, const ConfigReplica& replica)
{
    auto known = replica.rows().find(row.key);
    return known == replica.rows().end()
        || (known->second.operation != row.operation && replaces(row, known->second));
}

Write again(const Row& row) { return { row.key, row.value, row.deleted }; }

} // namespace

Transaction planRestoration(const std::map<std::string, Row>& tableRows, Version tableVersion,
    const VersionEras& eras, const ConfigReplica& replica)
{
    Transaction transaction;
    auto commitAgain = [&](const Row& row, const Row* inTable) {
        transaction.conditions.push_back(unchanged(row.key, inTable));
        transaction.writes.push_back(again(row));
    };

    // Rows that only the replica has, or of which it has a newer version.
    for (const auto& [key, row] : replica.rows()) {
        auto position = tableRows.find(key);
        const auto* inTable = position == tableRows.end() ? nullptr : &position->second;
        if (key != keys::eraKey && isLost(row, inTable, eras))
            commitAgain(row, inTable);
    }

    // Rows committed after the platform went back, with versions that are in use already: a process that asks
    // for what is newer than its copy would never get them.
    for (const auto& [key, row] : tableRows)
        if (key != keys::eraKey && eras.configVersion(row.version) <= replica.version()
            && isNewer(withConfigVersion(row, eras), replica))
            commitAgain(row, &row);

    if (transaction.writes.empty() && eras.configVersion(tableVersion) >= replica.version())
        return transaction;
    transaction.conditions.push_back({ keys::eraKey, eras.rowVersion() });
    auto floor = std::max(replica.version(), eras.configVersion(tableVersion));
    transaction.writes.push_back({ keys::eraKey, eras.nextEra(tableVersion, floor), false });
    return transaction;
}

Changes toConfigVersions(const Changes& changes, const VersionEras& eras)
{
    Changes converted { changes.rows, eras.configVersion(changes.tableVersion) };
    for (auto& row : converted.rows)
        row.version = eras.configVersion(row.version);
    return converted;
}

} // namespace fulmar
