#include "node/table_follower.h"

#include "core/log.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// A dead feed is detected after this plus the client's margin: a configuration must be in force within 2 s on
// a node whose links have worked for 3 s.
constexpr std::chrono::milliseconds longPollTimeout { 1'500 };
constexpr std::chrono::milliseconds readTimeout { 2'000 };
// All nodes retry after an outage; a few calls per second from each stay well below the store's rate limit.
constexpr std::chrono::milliseconds retryPause { 250 };

} // namespace

TableFollower::TableFollower(asio::io_context& loop, platform::StoreClient& store, std::string table,
    std::vector<std::string> parts, std::chrono::milliseconds pause, Hooks hooks)
    : m_store(store)
    , m_table(std::move(table))
    , m_parts(std::move(parts))
    , m_pause(pause)
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

void TableFollower::start() { readAll(); }

std::chrono::milliseconds TableFollower::sinceLastAnswer() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_answeredAt);
}

void TableFollower::runAfter(std::chrono::milliseconds pause, void (TableFollower::*next)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, next, isAlive = m_isAlive](const asio::error_code& error) {
        if (!error && *isAlive)
            (this->*next)();
    });
}

void TableFollower::noteFailure()
{
    if (std::exchange(m_isStoreLost, true))
        return;
    logWarning("store-lost",
        { { "table", m_table }, { "version", std::to_string(m_version) },
            { "silent-ms", std::to_string(sinceLastAnswer().count()) } });
    m_hooks.onLost();
}

void TableFollower::noteAnswer()
{
    auto silent = sinceLastAnswer();
    m_answeredAt = m_clock.now();
    if (!std::exchange(m_isStoreLost, false))
        return;
    logInfo("store-regained",
        { { "table", m_table }, { "version", std::to_string(m_version) },
            { "silent-ms", std::to_string(silent.count()) } });
    m_hooks.onRegained();
}

void TableFollower::readAll()
{
    m_snapshot = {};
    readPart(0);
}

void TableFollower::readPart(std::size_t partIndex)
{
    m_store.readAll(m_table, m_parts[partIndex], readTimeout,
        [this, partIndex, isAlive = m_isAlive](std::optional<platform::RowPage> page) {
            if (!*isAlive)
                return;
            if (!page) {
                noteFailure();
                runAfter(retryPause, &TableFollower::readAll);
                return;
            }
            // The feed starts at the version of the first part read, the oldest, so that no change is
            // missed.
            if (partIndex == 0)
                m_snapshot.version = page->version;
            for (auto& row : page->rows)
                m_snapshot.rows.push_back(std::move(row));
            if (partIndex + 1 < m_parts.size()) {
                readPart(partIndex + 1);
                return;
            }
            m_version = m_snapshot.version;
            noteAnswer();
            m_hooks.onSnapshot(m_snapshot.rows);
            m_hooks.onBatchEnd();
            m_snapshot = {};
            runAfter(m_pause, &TableFollower::follow);
        });
}

void TableFollower::follow()
{
    m_store.pollFeed(
        m_table, m_version, longPollTimeout, [this, isAlive = m_isAlive](const platform::FeedResult& feed) {
            if (!*isAlive)
                return;
            switch (feed.outcome) {
            case platform::FeedOutcome::HistoryGone:
                logInfo(
                    "store-history-gone", { { "table", m_table }, { "version", std::to_string(m_version) } });
                readAll();
                return;
            case platform::FeedOutcome::Failed:
                noteFailure();
                runAfter(retryPause, &TableFollower::follow);
                return;
            case platform::FeedOutcome::Changes:
                break;
            }
            m_version = std::max(m_version, feed.page.version);
            noteAnswer();
            for (const auto& row : feed.page.rows)
                if (std::find(m_parts.begin(), m_parts.end(), row.name.part) != m_parts.end())
                    m_hooks.onRow(row);
            m_hooks.onBatchEnd();
            runAfter(m_pause, &TableFollower::follow);
        });
}

} // namespace fulmar::node
