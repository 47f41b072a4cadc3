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
//
// After a restored platform two different rows can have one version. Of these a row that an operator or duty
// wrote goes before one that was only committed again.
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

// Starts the names of operations that commit lost rows again.
inline constexpr auto restorationPrefix = "restore-";

// Whether `arriving` takes the place of `known`, a row of the same key.
[[nodiscard]] bool replaces(const Row& arriving, const Row& known);

} // namespace fulmar
