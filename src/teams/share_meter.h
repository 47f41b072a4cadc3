#pragma once

#include "core/clock.h"
#include "teams/team_config.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>

namespace fulmar::teams {

// Whether a job is among those that its team is entitled to submit.
enum class ShareState : std::uint8_t {
    // The configuration has no teams.
    NoTeams,
    Within,
    Beyond,
};

[[nodiscard]] std::string_view toString(ShareState);

// Measures what each team submits beyond its weight, as one shard sees it. A team has a bucket of tokens that
// fills at its rate; a job that takes a token is within the share. It addresses teams that send several times
// their usual rate for some seconds.
//
// Jobs without a team, and those of a team that the configuration does not have, are measured together as one
// team of the mean weight: teams are not to pay for public queues, and public queues not to be shut out. A
// team of weight 0 is entitled to nothing.
class ShareMeter {
public:
    // Keeps the levels of teams that stay. The teams' jobs are spread over `shardCount` shards.
    void configure(const std::vector<TeamConfig>&, std::uint32_t shardCount);
    // Decides on a submitted job. A job that was within the share remains so when it is submitted again.
    [[nodiscard]] ShareState count(const TeamId&, const JobId&, TimePoint now);

private:
    struct Bucket {
        // Jobs per second of this shard.
        double rate { 0 };
        double tokens { 0 };
        TimePoint filledAt;
    };
    [[nodiscard]] static double depthOf(const Bucket&);
    void forgetGrants(TimePoint now);

    std::map<TeamId, Bucket> m_buckets;
    // Jobs that took a token, and when. Those of one period are forgotten together.
    std::unordered_map<JobId, TimePoint> m_granted;
    TimePoint m_nextForget;
};

} // namespace fulmar::teams
