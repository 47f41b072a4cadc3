#include "teams/share_meter.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace fulmar::teams {

namespace {

// A bucket holds this many tokens, and those of one second. A shard gets a random part of a team's jobs, so
// a team of one job per second sees clusters of several jobs in a shard now and then.
constexpr double minDepth = 8;
// A bucket fills this much faster than the team is entitled to. A bucket that fills at exactly the mean rate
// of random arrivals is often empty, however deep it is.
constexpr double fillMargin = 1.2;
// A rejected caller that comes back is recognised for this time; the longest Retry-After is 8 s.
constexpr std::chrono::seconds grantRetention { 20 };
} // namespace

std::string_view toString(ShareState state)
{
    static constexpr std::array<std::string_view, 3> names { "none", "within", "beyond" };
    return names[std::size_t(state)];
}

double ShareMeter::depthOf(const Bucket& bucket) { return bucket.rate > 0 ? minDepth + bucket.rate : 0; }

void ShareMeter::configure(const std::vector<TeamConfig>& teams, std::uint32_t shardCount)
{
    auto before = std::exchange(m_buckets, {});
    if (teams.empty())
        return;
    auto add = [&](const TeamId& team, double weight) {
        Bucket bucket;
        bucket.rate = std::max(0.0, weight) / std::max(1U, shardCount);
        bucket.tokens = depthOf(bucket);
        if (auto found = before.find(team); found != before.end()) {
            bucket.tokens = std::min(bucket.tokens, found->second.tokens);
            bucket.filledAt = found->second.filledAt;
        }
        m_buckets.insert_or_assign(team, bucket);
    };
    auto sum = std::accumulate(teams.begin(), teams.end(), 0.0,
        [](double total, const TeamConfig& team) { return total + std::max(0.0, team.weight); });
    // Of all jobs without a team of the configuration; no team has an empty name.
    add(TeamId {}, sum / double(teams.size()));
    for (const auto& team : teams)
        add(team.id, team.weight);
}

ShareState ShareMeter::count(const TeamId& team, const JobId& job, TimePoint now)
{
    if (m_buckets.empty())
        return ShareState::NoTeams;
    forgetGrants(now);
    if (m_granted.contains(job))
        return ShareState::Within;
    auto found = m_buckets.find(team);
    auto& bucket = found == m_buckets.end() ? m_buckets.at(TeamId {}) : found->second;
    if (bucket.filledAt != TimePoint {})
        bucket.tokens
            += std::chrono::duration<double>(now - bucket.filledAt).count() * bucket.rate * fillMargin;
    bucket.tokens = std::min(bucket.tokens, depthOf(bucket));
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return ShareState::Beyond;
    --bucket.tokens;
    m_granted.insert_or_assign(job, now);
    return ShareState::Within;
}

void ShareMeter::forgetGrants(TimePoint now)
{
    if (now < m_nextForget)
        return;
    m_nextForget = now + std::chrono::seconds(1);
    std::erase_if(m_granted, [now](const auto& each) { return each.second + grantRetention < now; });
}

} // namespace fulmar::teams
