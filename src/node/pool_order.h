#pragma once

#include "platform/store_client.h"

#include <asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::node {

// Pools in the order in which they were first configured. Only ever added to, so that a pool's place, once
// known, holds for good and for every process.
class PoolOrder {
public:
    PoolOrder() = default;
    explicit PoolOrder(std::vector<PoolId> pools);

    [[nodiscard]] std::optional<std::size_t> indexOf(const PoolId&) const;
    [[nodiscard]] bool hasAll(const std::vector<PoolId>&) const;
    // With those of the pools at its end that are not in it, sorted.
    [[nodiscard]] PoolOrder with(std::vector<PoolId>) const;
    [[nodiscard]] const std::vector<PoolId>& pools() const { return m_pools; }

private:
    std::vector<PoolId> m_pools;
};

[[nodiscard]] std::string encodePoolOrder(const PoolOrder&);
// Empty if the text is no such row.
[[nodiscard]] std::optional<PoolOrder> decodePoolOrder(std::string_view);

// Reads the order from the store, and adds pools that are new. Load pattern: a configuration with another
// pool reaches all processes at once; each waits its own pause, and reads again, before it writes. Used by
// the loop's thread only.
class PoolOrderSync {
public:
    PoolOrderSync(asio::io_context&, platform::StoreClient&);
    ~PoolOrderSync() { *m_isAlive = false; }
    PoolOrderSync(const PoolOrderSync&) = delete;
    PoolOrderSync& operator=(const PoolOrderSync&) = delete;

    // These pools are to have places; tried until they have. `pause` differs between processes.
    void require(std::vector<PoolId>, std::chrono::milliseconds jitter);
    // Empty until it is settled in the store.
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
