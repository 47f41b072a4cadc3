#pragma once

#include "core/resources.h"
#include "core/types.h"

#include <string>
#include <string_view>
#include <vector>

namespace fulmar::teams {

// A team whose callers share the fleet with those of other teams.
struct TeamConfig {
    TeamId id;
    // Secrets: they stand in no log line, metric, answer or stored row.
    std::vector<std::string> keys;
    // Its share when all capacity is in use, relative to the other teams. Also the jobs per second that it is
    // entitled to submit.
    double weight { 0 };
    // What its tasks may use at the same time on all runners; an amount of 0 is unlimited.
    Resources limit;
};

// Null if no team has the key. An empty key belongs to no team.
[[nodiscard]] const TeamConfig* findTeamByKey(const std::vector<TeamConfig>&, std::string_view key);

} // namespace fulmar::teams
