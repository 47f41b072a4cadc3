#include "config/replica.h"

#include <algorithm>

namespace fulmar {

bool replaces(const Row& incoming, const Row& current)
{
    if (incoming.version != current.version)
        return incoming.version > current.version;
    return current.operation.value().starts_with(recommitPrefix)
        && !incoming.operation.value().starts_with(recommitPrefix);
}

ApplyReport ConfigReplica::apply(const Changes& changes)
{
    ApplyReport report;
    for (const auto& row : changes.rows) {
        auto& current = m_rows[row.key];
        if (row.version < current.version)
            ++report.olderRows;
        if (!replaces(row, current))
            continue;
        current = row;
        report.changedKeys.push_back(row.key);
    }
    m_version = std::max(m_version, changes.tableVersion);
    return report;
}

Changes ConfigReplica::changesSince(Version since) const
{
    Changes changes { {}, m_version };
    for (const auto& [key, row] : m_rows)
        if (row.version > since)
            changes.rows.push_back(row);
    return changes;
}

} // namespace fulmar
