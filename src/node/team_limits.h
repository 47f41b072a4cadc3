#pragma once

#include "jobs/team_quota.h"
#include "node/node_metrics.h"
#include "node/table_follower.h"

namespace fulmar::node {

// Table of the shards' shares of the teams' limits; docs/design/team-quota.md describes its rows.
inline constexpr auto teamLimitsTable = "team_limits";

// Reads and writes the rows of one shard's quota ledger while this process holds the shard. Makes no calls
// while no team has a limit. Used by the loop's thread only.
class TeamLimits {
public:
    struct Hooks {
        // Time since the store confirmed the configuration.
        std::function<std::chrono::milliseconds()> configAge;
        // Requests a planning round of the shard.
        std::function<void()> requestPlan;
    };

    // `configApplyTime`: a change of the configuration must be in force this long after the store has
    // acknowledged it.
    TeamLimits(asio::io_context&, platform::StoreClient&, NodeMetrics&, jobs::TeamQuota&,
        std::chrono::milliseconds configApplyTime, Hooks);
    ~TeamLimits() { *m_isAlive = false; }
    TeamLimits(const TeamLimits&) = delete;
    TeamLimits& operator=(const TeamLimits&) = delete;

    void configure(const jobs::FleetConfig&, std::uint32_t shard, std::uint32_t shardCount);
    // Called before each planning round.
    void update();
    // Called after a planning round that was allowed to start tasks: writes what the ledger decides.
    void write(TimePoint now);

private:
    void onCommitted(const platform::CommitResult&);
    void onFeedBatch();
    void wakeAt(TimePoint);

    platform::StoreClient& m_store;
    NodeMetrics& m_metrics;
    jobs::TeamQuota& m_quota;
    const Hooks m_hooks;
    // Most age of the configuration and of the rows by which a task may be started. Their sum is below the
    // time within which a configuration comes into force.
    const std::chrono::milliseconds m_maxConfigAge;
    const std::chrono::milliseconds m_maxRowAge;
    BootClock m_clock;
    TableFollower m_follower;
    bool m_isFollowing { false };
    bool m_wasFresh { false };
    bool m_hasNews { false };
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
