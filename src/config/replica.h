#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar {

// What applying a batch of rows did.
struct ApplyReport {
    // Rows that were newer than ours and are now in force.
    std::vector<std::string> changedKeys;
    // Rows older than ours, kept out. From a peer this is ordinary; from the platform it means lost data.
    std::size_t olderRows { 0 };
};

// This process's copy of the distributed rows. A row only ever moves to a higher version, whoever it comes
// from, so a stale peer or a platform restored from a backup cannot take a change back.
class ConfigReplica {
public:
    ApplyReport apply(const Changes&);

    // Rows changed after `since`, for a peer that is behind.
    [[nodiscard]] Changes changesSince(Version since) const;

    // Every change up to this version has been applied.
    [[nodiscard]] Version version() const { return m_version; }

    [[nodiscard]] const std::map<std::string, Row>& rows() const { return m_rows; }

private:
    std::map<std::string, Row> m_rows;
    Version m_version { 0 };
};

} // namespace fulmar
