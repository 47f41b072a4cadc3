#pragma once

#include "core/clock.h"
#include "jobs/fleet.h"
#include "node/request_schedule.h"
#include "platform/store_client.h"

#include <asio/steady_timer.hpp>

namespace fulmar::node {

// A table that is being read in full: the rows read so far, and where to continue.
struct TableSnapshot {
    std::vector<platform::StoredRow> rows;
    // Both of the first page, the oldest, so that a feed that starts there misses no change.
    Version version { 0 };
    TimePoint confirmedAt;
    std::size_t partIndex { 0 };
    std::string fromKey;
};

// Follows one table of the store: reads its parts once, then long-polls its change feed. Reports every
// change, and the loss and recovery of the store.
class TableFollower {
public:
    struct Hooks {
        // A row was written or removed.
        std::function<void(const platform::StoredRow&)> onRow;
        // The table was read completely; rows not listed do not exist.
        std::function<void(const std::vector<platform::StoredRow>&)> onSnapshot;
        // All rows of one answer have been reported.
        std::function<void()> onBatchEnd;
        // The store stopped answering, and answers again.
        std::function<void()> onLost = [] {};
        std::function<void()> onRegained = [] {};
    };

    struct Timing {
        // Minimum time between an answer and the next poll.
        std::chrono::milliseconds pause { 0 };
        // How long the store may hold back the answer to a poll.
        std::chrono::milliseconds feedWait { maxFeedWait };
        // Polls again at once after an answer with changes. Such an answer was given at any time since its
        // request was sent, however late it is read, so it confirms no later time.
        bool confirmsChanges { false };
    };

    TableFollower(asio::io_context&, platform::StoreClient&, std::string table,
        std::vector<std::string> parts, Timing, Hooks);
    ~TableFollower() { *m_isAlive = false; }
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();

    // Time since the store confirmed the rows reported so far; since the start if it never has.
    [[nodiscard]] std::chrono::milliseconds age() const;

private:
    // Sends the request of the current step: a page of the snapshot, or the changes since m_version.
    void sendRequest();
    void sendPageRead();
    void sendFeedPoll();
    [[nodiscard]] platform::ReadOptions readOptions(const RequestSchedule::Plan&);
    void onPage(std::optional<platform::RowPage>, TimePoint confirmedAt);
    void onFeed(const platform::FeedResult&, TimePoint confirmedAt);
    // Reads the table anew.
    void beginSnapshot();
    void reportSnapshot();
    void onFailure();
    // The current step is answered; later answers to it are ignored.
    void onAnswer();
    // Wakes up when the schedule says so.
    void awaitNextSend();
    void noteFailure();
    void noteAnswer(TimePoint confirmedAt);

    platform::StoreClient& m_store;
    const std::string m_table;
    const std::vector<std::string> m_parts;
    const Timing m_timing;
    const Hooks m_hooks;
    BootClock m_clock;
    asio::steady_timer m_timer;
    RequestSchedule m_schedule;
    std::optional<TableSnapshot> m_snapshot;
    // Number of the current step, which tells the answers to it from those to earlier ones.
    std::uint64_t m_step { 0 };
    TimePoint m_confirmedAt { m_clock.now() };
    Version m_version { 0 };
    bool m_isConfirmationDue { false };
    bool m_isStoreLost { false };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
