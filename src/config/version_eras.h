#pragma once

#include "config/model.h"
#include "platform/table.h"

#include <string>
#include <vector>

namespace fulmar {

namespace keys {
inline constexpr auto eraKey = "config/era";
} // namespace keys

// A configuration version is the table version plus `offset`, for table versions from `from` on.
struct VersionEra {
    Version from { 0 };
    Version offset { 0 };

    bool operator==(const VersionEra&) const = default;
};

// Maps table versions to configuration versions, which never decrease. A platform rolled back to a backup
// assigns lower table versions again; the row config/era then starts an era whose offset raises them above
// all earlier ones. Without that row the two versions are equal.
class VersionEras {
public:
    VersionEras() = default;

    // Reads the platform's era row; a deleted one gives no eras.
    [[nodiscard]] static VersionEras fromRow(const Row&);

    [[nodiscard]] Version configVersion(Version tableVersion) const;

    // Encodes the era row that raises the configuration versions of all later commits above
    // `minConfigVersion`; the table is at `tableVersion`.
    [[nodiscard]] std::string encodeNextEra(Version tableVersion, Version minConfigVersion) const;

    // Table version of the era row; 0 if there is none.
    [[nodiscard]] Version eraRowVersion() const { return m_eraRowVersion; }

private:
    std::vector<VersionEra> m_eras;
    Version m_eraRowVersion { 0 };
};

} // namespace fulmar
