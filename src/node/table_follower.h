#pragma once

#include "core/clock.h"
#include "jobs/fleet.h"
#include "platform/store_client.h"

#include <asio/steady_timer.hpp>
#include <map>

namespace fulmar::node {

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

    // `pause` is the minimum time between an answer and the next poll.
    TableFollower(asio::io_context&, platform::StoreClient&, std::string table,
        std::vector<std::string> parts, std::chrono::milliseconds pause, Hooks);
    ~TableFollower() { *m_isAlive = false; }
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();

    // Time since the store last answered; since the start if it never has. The rows reported so far are at
    // most this old.
    [[nodiscard]] std::chrono::milliseconds sinceLastAnswer() const;

private:
    void readAll();
    void readPart(std::size_t partIndex);
    void follow();
    void runAfter(std::chrono::milliseconds, void (TableFollower::*next)());
    void noteFailure();
    void noteAnswer();

    platform::StoreClient& m_store;
    const std::string m_table;
    const std::vector<std::string> m_parts;
    // Rows of the parts read so far.
    platform::RowPage m_snapshot;
    const std::chrono::milliseconds m_pause;
    const Hooks m_hooks;
    asio::steady_timer m_timer;
    BootClock m_clock;
    TimePoint m_answeredAt { m_clock.now() };
    Version m_version { 0 };
    bool m_isStoreLost { false };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
