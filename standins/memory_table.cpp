#include "memory_table.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar::standin {

Version MemoryTable::versionOf(const std::string& key) const
{
    auto position = m_rows.find(key);
    return position == m_rows.end() || position->second.deleted ? 0 : position->second.version;
}

Result<Version> MemoryTable::commit(const Transaction& transaction)
{
    for (const auto& condition : transaction.conditions)
        if (auto version = versionOf(condition.key); version != condition.version)
            return notRun(Reason::Conflict,
                fmt::format("{} is at version {}, not {}", condition.key, version, condition.version));

    ++m_version;
    auto& undo = m_undo[m_version];
    for (const auto& write : transaction.writes) {
        auto [position, isNew] = m_rows.try_emplace(write.key, Row { write.key, {}, 0, {}, true });
        undo.push_back(position->second);
        position->second = Row { write.key, write.deletes ? "" : write.value, m_version,
            transaction.operation, write.deletes };
    }
    return m_version;
}

Changes MemoryTable::read(const std::string& prefix, Version since) const
{
    Changes changes { {}, m_version };
    for (auto position = m_rows.lower_bound(prefix); position != m_rows.end(); ++position) {
        const auto& row = position->second;
        if (!row.key.starts_with(prefix))
            break;
        if (row.version > since)
            changes.rows.push_back(row);
    }
    return changes;
}

void MemoryTable::restoreTo(Version version)
{
    while (!m_undo.empty() && m_undo.rbegin()->first > version) {
        auto rows = std::move(m_undo.rbegin()->second);
        m_undo.erase(std::prev(m_undo.end()));
        std::reverse(rows.begin(), rows.end());
        for (auto& row : rows)
            m_rows[row.key] = std::move(row);
    }
    m_version = std::min(m_version, version);
}

} // namespace fulmar::standin
