#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <string>
#include <vector>

namespace fulmar {

namespace keys {
inline constexpr auto eraKey = "config/era";
} // namespace keys

// Rows from this version of the table on have `offset` added to their version.
struct VersionSpan {
    Version from { 0 };
    Version offset { 0 };

    bool operator==(const VersionSpan&) const = default;
};

// Maps the platform's versions to configuration versions, which only grow. A platform that is restored from a
// backup gives out lower versions again; a row config/era then starts a span with an offset that lifts them
// above every version that was in force before. Without such a row the two are the same.
class VersionEras {
public:
    VersionEras() = default;

    // From the era row as read from the platform; no row, or a deleted one, means no spans.
    [[nodiscard]] static VersionEras fromRow(const Row&);

    [[nodiscard]] Version configVersion(Version tableVersion) const;

    // The value of an era row that lifts every later commit above `floor`, the table being at `tableVersion`.
    [[nodiscard]] std::string nextEra(Version tableVersion, Version floor) const;

    // The platform's version of the era row; 0 if there is none.
    [[nodiscard]] Version rowVersion() const { return m_rowVersion; }

private:
    std::vector<VersionSpan> m_spans;
    Version m_rowVersion { 0 };
};

} // namespace fulmar
