#pragma once

#include "jobs/fleet.h"

#include <string>
#include <vector>

namespace fulmar::jobs {

enum class FindingKind : std::uint8_t {
    // The configuration should not be sent.
    Error,
    // An entry has no effect, or limits contradict each other.
    Warning,
    // Differs from the configuration in force.
    Change,
};

[[nodiscard]] std::string_view toString(FindingKind);

struct ConfigFinding {
    FindingKind kind { FindingKind::Error };
    // Names entries, and never a key of a team.
    std::string text;

    bool operator==(const ConfigFinding&) const = default;
};

// What is wrong with a configuration: names that are used twice or missing, entries that can never match, and
// limits that contradict each other.
[[nodiscard]] std::vector<ConfigFinding> checkConfig(const FleetConfig&);

// What `next` changes. An error if nodes would ignore it, as its version is not higher.
[[nodiscard]] std::vector<ConfigFinding> compareConfigs(const FleetConfig& inForce, const FleetConfig& next);

} // namespace fulmar::jobs
