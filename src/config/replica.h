#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <map>
#include <string>
#include <vector>

namespace fulmar {

// Result of applying a batch of rows.
struct ApplyReport {
    // Rows that replaced those of this replica.
    std::vector<std::string> changedKeys;
    // Rows ignored as older than those of this replica. Normal from a peer; from the platform a sign of lost
    // data.
    std::size_t olderRows { 0 };
};

// This process's replica of the distributed rows. A row's version never decreases, whatever the source, so a
// stale peer or a platform rolled back to a backup cannot revert a change.
//
// After a roll-back of the platform, a newly written row and a recommitted one can have the same version; the
// newly written one then takes precedence.
class ConfigReplica {
public:
    ApplyReport apply(const Changes&);

    // Rows with versions above `since`, for a peer that is behind.
    [[nodiscard]] Changes changesSince(Version since) const;

    // All changes up to this version have been applied.
    [[nodiscard]] Version version() const { return m_version; }

    [[nodiscard]] const std::map<std::string, Row>& rows() const { return m_rows; }

private:
    std::map<std::string, Row> m_rows;
    Version m_version { 0 };
};

// Prefix of the ids of operations that recommit lost rows.
inline constexpr auto recommitPrefix = "restore-";

// Whether `incoming` replaces `current`, a row with the same key.
[[nodiscard]] bool replaces(const Row& incoming, const Row& current);

} // namespace fulmar
