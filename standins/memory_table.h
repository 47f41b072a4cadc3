#pragma once

#include "platform/table.h"

#include <map>
#include <string>

namespace fulmar::standin {

// The transactional table of the stand-in platform, in memory. Not thread-safe.
class MemoryTable {
public:
    [[nodiscard]] Result<Version> commit(const Transaction&);
    [[nodiscard]] Changes read(const std::string& prefix, Version since) const;

    // Forgets every transaction after `version`, as a platform restored from an old backup would.
    void restoreTo(Version version);

    [[nodiscard]] Version version() const { return m_version; }

private:
    [[nodiscard]] Version versionOf(const std::string& key) const;

    std::map<std::string, Row> m_rows;
    std::map<Version, std::vector<Row>> m_undo;
    Version m_version { 0 };
};

} // namespace fulmar::standin
