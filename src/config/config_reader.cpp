#include "config/config_reader.h"

#include <algorithm>

namespace fulmar {

namespace {

// Condition that the row is still as read; a null or deleted `row` means that it must still be absent.
Condition unchanged(const std::string& key, const Row* row)
{
    return { key, row && !row->deleted ? row->version : 0 };
}

Row withConfigVersion(Row row, const VersionEras& eras)
{
    row.version = eras.configVersion(row.version);
    return row;
}

// The table has neither this row of the replica nor one that replaces it.
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

Write toWrite(const Row& row) { return { row.key, row.value, row.deleted }; }

} // namespace

Transaction planRecommit(const std::map<std::string, Row>& tableRows, Version tableVersion,
    const VersionEras& eras, const ConfigReplica& replica)
{
    Transaction transaction;
    auto addWrite = [&](const Row& row, const Row* inTable) {
        transaction.conditions.push_back(unchanged(row.key, inTable));
        transaction.writes.push_back(toWrite(row));
    };

    // Rows that the table lacks or has only in an older version.
    for (const auto& [key, row] : replica.rows()) {
        auto position = tableRows.find(key);
        const auto* inTable = position == tableRows.end() ? nullptr : &position->second;
        if (key != keys::eraKey && isLost(row, inTable, eras))
            addWrite(row, inTable);
    }

    // Rows committed after the roll-back got versions that were already used. A process that asks only for
    // versions above its own would never receive them, so they are recommitted too.
    for (const auto& [key, row] : tableRows)
        if (key != keys::eraKey && eras.configVersion(row.version) <= replica.version()
            && isNewer(withConfigVersion(row, eras), replica))
            addWrite(row, &row);

    if (transaction.writes.empty() && eras.configVersion(tableVersion) >= replica.version())
        return transaction;
    transaction.conditions.push_back({ keys::eraKey, eras.eraRowVersion() });
    auto minConfigVersion = std::max(replica.version(), eras.configVersion(tableVersion));
    transaction.writes.push_back({ keys::eraKey, eras.encodeNextEra(tableVersion, minConfigVersion), false });
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
