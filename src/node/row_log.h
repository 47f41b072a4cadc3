#pragma once

#include "core/clock.h"
#include "node/row_queue.h"

#include <asio/steady_timer.hpp>
#include <map>

namespace fulmar::node {

// Writes the rows of one part of the store in the order of RowQueue, many per transaction, one transaction at
// a time; all rows of a record that wait go in the same one. Every transaction is conditional: the lease row
// has the version with which this process acquired the shard, and each row the version that this process last
// wrote. So neither an earlier holder's write nor a delayed write of this process, whose answer was lost, can
// overwrite a newer one.
class RowLog {
public:
    using OnDurable = RowQueue::OnDurable;
    struct Hooks {
        // The lease row has changed: another process holds the shard, and no more writes can succeed.
        std::function<void()> onLost;
        std::function<void(platform::CommitOutcome)> onCommit;
        // The store refuses this row, or another row of its record, while it stores others. Its value is
        // given up, and its callbacks are dropped. May be empty.
        std::function<void(const platform::RowName&)> onRefused;
        // Table whose rows other processes withdraw, if any. A record with such a row is given up, and its
        // callbacks are dropped, if the row was withdrawn.
        std::string sharedTable {};
        // Called with the rows of the records that are given up for that reason.
        std::function<void(const std::vector<platform::RowName>&)> onWithdrawn {};
    };

    RowLog(asio::io_context&, platform::StoreClient&, platform::RowCondition lease, Hooks);

    // Sets the version of a row that already exists in the store.
    void seed(const platform::RowName&, Version);

    // Writes rows of one record in one transaction; a later value replaces one not yet sent. `durable` is
    // called once these values or later ones are stored.
    void put(std::vector<RowChange>, OnDurable durable);
    // As put(), ahead of all queued records, unless this one is queued already.
    void putFirst(RowChange, OnDurable durable);

    // Calls back once all rows put before are stored; immediately if none are pending.
    void whenDurable(OnDurable);
    // Writes all queued rows and then the lease row, after which no more writes can succeed.
    void release(std::string leaseRow, OnDurable released);

    // A transaction has failed or its outcome is unknown, and none has been committed since; conflicts do not
    // count. Rows stay queued.
    [[nodiscard]] bool isStoreUnavailable() const { return m_backoff.count() > 0; }
    // Records queued or in flight; one that is both counts twice.
    [[nodiscard]] std::size_t unstoredRecords() const { return m_queue.size(); }

    // Stops sending and drops all callbacks.
    void stop();

private:
    void send();
    void onCommit(const platform::CommitResult&);
    void adoptVersions(const platform::CommitResult&);
    // Returns the rows of the records that were given up.
    [[nodiscard]] std::vector<platform::RowName> giveUpWithdrawn(const platform::CommitResult&);
    void onRefused();
    // Another record was stored, so the refusals were due to the rows themselves.
    void giveUpRefused();
    void retryLater();

    platform::StoreClient& m_store;
    const platform::RowCondition m_lease;
    const Hooks m_hooks;
    asio::steady_timer m_timer;
    std::map<platform::RowName, Version> m_versions;
    RowQueue m_queue;
    // Sizes of values that the store refused; one that is as large is not sent again.
    std::map<platform::RowName, std::size_t> m_refusedSizes;
    // After the refusal of a transaction of several records, to find the one that is refused.
    std::size_t m_recordsToSendAlone { 0 };
    // A transaction is in flight, or waits for its retry.
    bool m_isBusy { false };
    bool m_isStopped { false };
    std::chrono::milliseconds m_backoff { 0 };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

// Whether another process has withdrawn a row of the record that is in `sharedTable`. After a transaction
// whose outcome is unknown, a row with the value that was to be written is this process's own write, as only
// the holder of the shard writes such values. `current` are the rows that exist, as read at one time.
[[nodiscard]] bool isWithdrawn(const std::map<platform::RowName, std::optional<std::string>>& record,
    const std::string& sharedTable, const std::map<platform::RowName, Version>& expected,
    const std::vector<platform::StoredRow>& current);

} // namespace fulmar::node
