#pragma once

#include "config/model.h"
#include "work/resources.h"

#include <unordered_map>

namespace fulmar::work {

// What each team holds, set against its quota. A team's ratio is its dominant share of its quota: up to 1 it
// uses what is its own, above 1 it borrows.
class TeamShares {
public:
    // `shardShare` is the part of every quota that counts in this shard, 0 to 1.
    explicit TeamShares(double shardShare)
        : m_shardShare(shardShare)
    {
    }

    void setQuota(const TeamConfig& config)
    {
        m_teams[config.team].quota
            = Resources { config.processors, double(config.memoryMb), double(config.accelerators) }
            * m_shardShare;
    }

    void take(const TeamId& team, const Resources& amount) { m_teams[team].usage += amount; }
    void give(const TeamId& team, const Resources& amount) { m_teams[team].usage -= amount; }

    // The ratio once the team held `extra` more.
    [[nodiscard]] double ratio(const TeamId& team, const Resources& extra = {}) const
    {
        auto position = m_teams.find(team);
        if (position == m_teams.end())
            return dominantShare(extra, {});
        return dominantShare(position->second.usage + extra, position->second.quota);
    }

    [[nodiscard]] Resources usage(const TeamId& team) const
    {
        auto position = m_teams.find(team);
        return position == m_teams.end() ? Resources {} : position->second.usage;
    }

private:
    struct Team {
        Resources quota;
        Resources usage;
    };

    double m_shardShare;
    std::unordered_map<TeamId, Team> m_teams;
};

} // namespace fulmar::work
