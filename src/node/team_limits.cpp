#include "node/team_limits.h"

#include "core/log.h"
#include "node/queue_lookup.h"

#include <algorithm>

namespace fulmar::node {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds commitTimeout { 1'200 };
// Gathers the changes of several shards in one answer.
constexpr milliseconds feedPause { 100 };
// From an answer of the feed until it is taken into account, on a busy process.
constexpr milliseconds feedSlack { 200 };
constexpr milliseconds minFeedWait { 50 };
// The configuration's share of the time within which it comes into force. Its feed holds back an answer for
// up to 1.5 s, with a time of 3 s.
constexpr std::int64_t configPercent = 62;

milliseconds maxConfigAgeFor(milliseconds applyTime)
{
    return (applyTime - denialMargin) * configPercent / 100;
}

milliseconds maxRowAgeFor(milliseconds applyTime)
{
    return applyTime - denialMargin - maxConfigAgeFor(applyTime);
}

teams::QuotaRow rowOf(const platform::StoredRow& row)
{
    return { row.name.key, row.value, row.version, row.isRemoved };
}

teams::QuotaWriteOutcome outcomeOf(platform::CommitOutcome outcome)
{
    switch (outcome) {
    case platform::CommitOutcome::Committed:
        return teams::QuotaWriteOutcome::Committed;
    case platform::CommitOutcome::Conflict:
        return teams::QuotaWriteOutcome::Conflict;
    case platform::CommitOutcome::NotDone:
    case platform::CommitOutcome::Refused:
        return teams::QuotaWriteOutcome::NotDone;
    case platform::CommitOutcome::Unknown:
        break;
    }
    return teams::QuotaWriteOutcome::Unknown;
}

} // namespace

TeamLimits::TeamLimits(asio::io_context& loop, platform::StoreClient& store, NodeMetrics& metrics,
    jobs::TeamQuota& quota, milliseconds configApplyTime, Hooks hooks)
    : m_store(store)
    , m_metrics(metrics)
    , m_quota(quota)
    , m_hooks(std::move(hooks))
    , m_maxConfigAge(maxConfigAgeFor(configApplyTime))
    , m_maxRowAge(maxRowAgeFor(configApplyTime))
    , m_follower(loop, store, teamLimitsTable, { "" },
          { feedPause, std::max(minFeedWait, m_maxRowAge - feedPause - feedSlack) },
          { [this](const platform::StoredRow& row) {
               m_hasNews = true;
               m_quota.ledger().onRow(rowOf(row));
           },
              [this](const std::vector<platform::StoredRow>& rows) {
                  for (const auto& row : rows)
                      m_quota.ledger().onRow(rowOf(row));
                  m_hasNews = true;
                  m_quota.ledger().onRowsRead();
              },
              [this] { onFeedBatch(); } })
    , m_timer(loop)
{
    m_quota.ledger().awaitConfiguration();
}

void TeamLimits::configure(const jobs::FleetConfig& config, std::uint32_t shard, std::uint32_t shardCount)
{
    m_quota.ledger().configure(config.version, config.teams.value_or(std::vector<teams::TeamConfig> {}),
        shard, std::max(1U, shardCount));
}

void TeamLimits::update()
{
    m_wasFresh = m_isFollowing && m_hooks.configAge() <= m_maxConfigAge && m_follower.age() <= m_maxRowAge;
    m_quota.ledger().setFresh(m_wasFresh);
}

void TeamLimits::onFeedBatch()
{
    if (std::exchange(m_hasNews, false) || !m_wasFresh)
        m_hooks.requestPlan();
}

void TeamLimits::write(TimePoint now)
{
    auto& ledger = m_quota.ledger();
    if (!ledger.isNeeded())
        return;
    auto write = ledger.propose(m_quota.uses(), now);
    if (!write) {
        if (auto at = ledger.wakeAt())
            wakeAt(*at);
        return;
    }
    platform::RowTransaction transaction;
    for (const auto& [key, version] : write->conditions)
        transaction.conditions.push_back({ { teamLimitsTable, "", key }, version });
    for (auto& [key, value] : write->puts)
        transaction.puts.push_back({ { teamLimitsTable, "", key }, std::move(value) });
    m_store.commit(
        transaction, commitTimeout, [this, isAlive = m_isAlive](const platform::CommitResult& result) {
            if (*isAlive)
                onCommitted(result);
        });
}

void TeamLimits::onCommitted(const platform::CommitResult& result)
{
    auto& ledger = m_quota.ledger();
    auto outcome = std::string(toString(result.outcome));
    m_metrics.countQuotaWrite(outcome);
    for (const auto& row : result.current)
        ledger.onRow(rowOf(row));
    ledger.onWritten(outcomeOf(result.outcome), result.version, m_clock.now());
    logInfo("team-limits-write",
        { { "shard", std::to_string(ledger.shard()) }, { "outcome", outcome },
            { "lacking", std::to_string(ledger.wantCount()) },
            { "transfers", std::to_string(ledger.transferCount()) } });
    if (ledger.isOutdated())
        logWarning("team-limits-taken", { { "shard", std::to_string(ledger.shard()) } });
    // The rows are read after the claim, so that no write of the holder before can be missing.
    if (ledger.isClaimed() && !std::exchange(m_isFollowing, true)) {
        logInfo("team-limits-claimed", { { "shard", std::to_string(ledger.shard()) } });
        m_follower.start();
    }
    m_hooks.requestPlan();
}

void TeamLimits::wakeAt(TimePoint at)
{
    m_timer.expires_after(std::max(at - m_clock.now(), Duration(0)));
    m_timer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (!error && *isAlive)
            m_hooks.requestPlan();
    });
}

} // namespace fulmar::node
