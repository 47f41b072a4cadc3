#pragma once

#include "core/clock.h"
#include "node/row_queue.h"

#include <asio/steady_timer.hpp>
#include <map>

namespace fulmar::node {

// Writes the rows of one part of the store in the order of their first change, many to a transaction, one
// transaction at a time. Every transaction has two kinds of conditions: the lease row is as it was when this
// process took the shard, and each row is as this process last wrote it. So neither an earlier holder's write
// nor one of our own that is carried out late, after its answer was lost, can undo a newer one.
class RowLog {
public:
    using OnDurable = RowQueue::OnDurable;
    struct Hooks {
        // The lease row has changed: another process holds the shard, and nothing can be written any more.
        std::function<void()> onLost;
        std::function<void(platform::CommitOutcome)> onCommit;
    };

    RowLog(asio::io_context&, platform::StoreClient&, platform::RowCondition lease, Hooks);

    // A row that exists already.
    void seed(const platform::RowName&, Version);

    // Writes the row, or removes it if the value is empty; a later value replaces one that is not sent yet.
    // `durable` is called once this value or a later one is stored.
    void put(const platform::RowName&, std::optional<std::string> value, OnDurable durable);
    // The same, ahead of all others.
    void putFirst(const platform::RowName&, std::optional<std::string> value, OnDurable durable);

    // Called once all rows that were put before are stored; at once if they are.
    void whenDurable(OnDurable);
    // Writes everything that waits and then the lease row, after which nothing more can be written.
    void release(std::string leaseRow, OnDurable released);

    // The store does not answer or refuses; what is put waits for its return.
    [[nodiscard]] bool isStoreUnavailable() const { return m_backoff.count() > 0; }
    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }

    // Nothing more is sent; callbacks are dropped.
    void stop();

private:
    void send();
    void onCommit(const platform::CommitResult&);
    void adoptVersions(const platform::CommitResult&);
    void retryLater();

    platform::StoreClient& m_store;
    const platform::RowCondition m_lease;
    const Hooks m_hooks;
    asio::steady_timer m_timer;
    std::map<platform::RowName, Version> m_versions;
    RowQueue m_queue;
    bool m_isSending { false };
    bool m_isStopped { false };
    std::chrono::milliseconds m_backoff { 0 };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
