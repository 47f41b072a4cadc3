#pragma once

#include "platform/store_client.h"

#include <asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::node {

// Pools in the order in which they were first configured. Append-only, so a pool's index never changes and is
// the same for every process.
class PoolOrder {
public:
    PoolOrder() = default;
    explicit PoolOrder(std::vector<PoolId> pools);

    [[nodiscard]] std::optional<std::size_t> indexOf(const PoolId&) const;
    [[nodiscard]] bool hasAll(const std::vector<PoolId>&) const;
    // A copy with the missing pools appended in sorted order.
    [[nodiscard]] PoolOrder with(std::vector<PoolId>) const;
    [[nodiscard]] const std::vector<PoolId>& pools() const { return m_pools; }

private:
    std::vector<PoolId> m_pools;
};

[[nodiscard]] std::string encodePoolOrder(const PoolOrder&);
// Empty if the text is not a valid row.
[[nodiscard]] std::optional<PoolOrder> decodePoolOrder(std::string_view);

// Reads the order from the store and appends new pools. Load pattern: a configuration with a new pool reaches
// all processes at once; each waits for its own jitter and re-reads before it writes. Used by the loop's
// thread only.
class PoolOrderSync {
public:
    PoolOrderSync(asio::io_context&, platform::StoreClient&);
    ~PoolOrderSync() { *m_isAlive = false; }
    PoolOrderSync(const PoolOrderSync&) = delete;
    PoolOrderSync& operator=(const PoolOrderSync&) = delete;

    // Retries until these pools are in the stored order. `jitter` differs between processes.
    void require(std::vector<PoolId>, std::chrono::milliseconds jitter);
    // Empty until the pool is in the stored order.
    [[nodiscard]] std::optional<std::size_t> indexOf(const PoolId& pool) const
    {
        return m_order.indexOf(pool);
    }

private:
    void read(bool mayWrite);
    void onRow(const platform::RowPage&, bool mayWrite);
    void write(Version expectedVersion);
    void readLater();

    platform::StoreClient& m_store;
    asio::steady_timer m_timer;
    std::vector<PoolId> m_required;
    std::chrono::milliseconds m_jitter { 0 };
    PoolOrder m_order;
    bool m_isBusy { false };
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
