#pragma once

#include "config/model.h"
#include "work/task.h"

#include <unordered_map>

namespace fulmar::work {

// Usage and quota of each team. A team's ratio is the dominant share of its quota that it uses; above 1 the
// team borrows.
class TeamShares {
public:
    // `shardShare` is the fraction of every quota that applies in this shard, 0 to 1.
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

    void addUsage(const TaskSpec& spec, const Resources& amount)
    {
        auto& team = m_teams[spec.team];
        team.usage += amount;
        if (spec.urgent)
            team.urgentUsage += amount;
    }

    void removeUsage(const TaskSpec& spec, const Resources& amount) { addUsage(spec, Resources {} - amount); }

    // The team's ratio if it used `extra` in addition.
    [[nodiscard]] double ratio(const TeamId& team, const Resources& extra = {}) const
    {
        auto position = m_teams.find(team);
        if (position == m_teams.end())
            return dominantShare(extra, {});
        return dominantShare(position->second.usage + extra, position->second.quota);
    }

    // The ratio of the team's urgent tasks alone, so that borrowing for other tasks does not delay urgent
    // ones.
    [[nodiscard]] double urgentRatio(const TeamId& team, const Resources& extra) const
    {
        auto position = m_teams.find(team);
        if (position == m_teams.end())
            return dominantShare(extra, {});
        return dominantShare(position->second.urgentUsage + extra, position->second.quota);
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
        Resources urgentUsage;
    };

    double m_shardShare;
    std::unordered_map<TeamId, Team> m_teams;
};

} // namespace fulmar::work
