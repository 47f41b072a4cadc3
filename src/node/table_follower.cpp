#include "node/table_follower.h"

#include "core/log.h"

#include <algorithm>

namespace fulmar::node {

TableFollower::TableFollower(asio::io_context& loop, platform::StoreClient& store, std::string table,
    std::vector<std::string> parts, Timing timing, Hooks hooks)
    : m_store(store)
    , m_table(std::move(table))
    , m_parts(std::move(parts))
    , m_timing(timing)
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

void TableFollower::start()
{
    beginSnapshot();
    sendRequest();
}

std::chrono::milliseconds TableFollower::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_confirmedAt);
}

void TableFollower::noteFailure()
{
    if (std::exchange(m_isStoreLost, true))
        return;
    logWarning("store-lost",
        { { "table", m_table }, { "version", std::to_string(m_version) },
            { "silent-ms", std::to_string(age().count()) } });
    m_hooks.onLost();
}

void TableFollower::noteAnswer(TimePoint confirmedAt)
{
    auto silent = age();
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    if (!std::exchange(m_isStoreLost, false))
        return;
    logInfo("store-regained",
        { { "table", m_table }, { "version", std::to_string(m_version) },
            { "silent-ms", std::to_string(silent.count()) } });
    m_hooks.onRegained();
}

void TableFollower::beginSnapshot() { m_snapshot.emplace(); }

void TableFollower::awaitNextSend()
{
    auto next = m_schedule.nextSend();
    if (!next) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(*next - m_clock.now());
    m_timer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (!error && *isAlive)
            sendRequest();
    });
}

void TableFollower::sendRequest()
{
    // One late answer may be due to a slow store.
    if (m_schedule.attempts() > 1)
        noteFailure();
    if (m_snapshot)
        sendPageRead();
    else
        sendFeedPoll();
    awaitNextSend();
}

platform::ReadOptions TableFollower::readOptions(const RequestSchedule::Plan& plan)
{
    return { requestTimeout(plan.wait), plan.opensConnection, [this, step = m_step, isAlive = m_isAlive] {
                if (!*isAlive || step != m_step)
                    return;
                m_schedule.onProgress(m_clock.now());
                awaitNextSend();
            } };
}

void TableFollower::sendPageRead()
{
    auto plan = m_schedule.plan({});
    auto sent = m_clock.now();
    m_schedule.onSent(sent, plan);
    m_store.read(m_table, m_parts[m_snapshot->partIndex], m_snapshot->fromKey, readOptions(plan),
        [this, sent, plan, step = m_step, isAlive = m_isAlive](std::optional<platform::RowPage> page) {
            if (*isAlive && step == m_step)
                onPage(std::move(page), confirmedTime(sent, plan.wait, m_clock.now()));
        });
}

void TableFollower::sendFeedPoll()
{
    auto plan = m_schedule.plan(m_isConfirmationDue ? std::chrono::milliseconds(0) : m_timing.feedWait);
    auto sent = m_clock.now();
    m_schedule.onSent(sent, plan);
    m_store.pollFeed(m_table, m_version, plan.wait, readOptions(plan),
        [this, sent, plan, step = m_step, isAlive = m_isAlive](const platform::FeedResult& feed) {
            if (!*isAlive || step != m_step)
                return;
            m_isConfirmationDue = m_timing.confirmsChanges && !feed.page.rows.empty();
            onFeed(feed, m_isConfirmationDue ? sent : confirmedTime(sent, plan.wait, m_clock.now()));
        });
}

void TableFollower::onPage(std::optional<platform::RowPage> page, TimePoint confirmedAt)
{
    if (!page) {
        onFailure();
        return;
    }
    auto& snapshot = *m_snapshot;
    if (snapshot.version == 0) {
        snapshot.version = page->version;
        snapshot.confirmedAt = confirmedAt;
    }
    auto hasMore = page->hasMore && !page->rows.empty();
    for (auto& row : page->rows)
        snapshot.rows.push_back(std::move(row));
    if (hasMore) {
        snapshot.fromKey = platform::keyAfter(snapshot.rows.back().name.key);
    } else {
        snapshot.fromKey.clear();
        ++snapshot.partIndex;
    }
    if (snapshot.partIndex == m_parts.size())
        reportSnapshot();
    onAnswer();
}

void TableFollower::reportSnapshot()
{
    m_version = m_snapshot->version;
    noteAnswer(m_snapshot->confirmedAt);
    m_hooks.onSnapshot(m_snapshot->rows);
    m_hooks.onBatchEnd();
    m_snapshot.reset();
}

void TableFollower::onFeed(const platform::FeedResult& feed, TimePoint confirmedAt)
{
    switch (feed.outcome) {
    case platform::FeedOutcome::Failed:
        onFailure();
        return;
    case platform::FeedOutcome::HistoryGone:
        logInfo("store-history-gone", { { "table", m_table }, { "version", std::to_string(m_version) } });
        beginSnapshot();
        break;
    case platform::FeedOutcome::Changes:
        m_version = std::max(m_version, feed.page.version);
        noteAnswer(confirmedAt);
        for (const auto& row : feed.page.rows)
            if (std::find(m_parts.begin(), m_parts.end(), row.name.part) != m_parts.end())
                m_hooks.onRow(row);
        m_hooks.onBatchEnd();
        break;
    }
    onAnswer();
}

void TableFollower::onFailure()
{
    noteFailure();
    m_schedule.onFailure(m_clock.now());
    awaitNextSend();
}

void TableFollower::onAnswer()
{
    ++m_step;
    // The pages of a snapshot are read without a pause.
    m_schedule.onAnswer(m_clock.now(), m_snapshot ? std::chrono::milliseconds(0) : m_timing.pause);
    awaitNextSend();
}

} // namespace fulmar::node
