#include "teams/team_config.h"

#include <algorithm>

namespace fulmar::teams {

const TeamConfig* findTeamByKey(const std::vector<TeamConfig>& teams, std::string_view key)
{
    if (key.empty())
        return nullptr;
    auto found = std::find_if(teams.begin(), teams.end(), [key](const TeamConfig& team) {
        return std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end();
    });
    return found == teams.end() ? nullptr : &*found;
}

} // namespace fulmar::teams
