#include "config/replica.h"

#include <algorithm>

namespace fulmar {

bool replaces(const Row& arriving, const Row& known)
{
    if (arriving.version != known.version)
        return arriving.version > known.version;
    return known.operation.value().starts_with(restorationPrefix)
        && !arriving.operation.value().starts_with(restorationPrefix);
}

ApplyReport ConfigReplica::apply(const Changes& changes)
{
    ApplyReport report;
    for (const auto& row : changes.rows) {
        auto& known = m_rows[row.key];
        if (row.version < known.version)
            ++report.olderRows;
        if (!replaces(row, known))
            continue;
        known = row;
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
