#include "node/pool_order.h"

#include "core/log.h"
#include "node/shard_map.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fulmar::node {

namespace {

constexpr auto orderPart = "pools";
constexpr auto orderKey = "order";
// Same as for the shard map, which every process reads at its start.
constexpr std::chrono::milliseconds readTimeout { 1'200 };
constexpr std::chrono::milliseconds retryPause { 250 };

} // namespace

PoolOrder::PoolOrder(std::vector<PoolId> pools)
    : m_pools(std::move(pools))
{
}

std::optional<std::size_t> PoolOrder::indexOf(const PoolId& pool) const
{
    auto found = std::find(m_pools.begin(), m_pools.end(), pool);
    return found == m_pools.end() ? std::nullopt : std::optional(std::size_t(found - m_pools.begin()));
}

bool PoolOrder::hasAll(const std::vector<PoolId>& pools) const
{
    return std::all_of(
        pools.begin(), pools.end(), [this](const PoolId& pool) { return indexOf(pool).has_value(); });
}

PoolOrder PoolOrder::with(std::vector<PoolId> pools) const
{
    std::sort(pools.begin(), pools.end());
    auto order = *this;
    for (auto& pool : pools)
        if (!order.indexOf(pool))
            order.m_pools.push_back(std::move(pool));
    return order;
}

std::string encodePoolOrder(const PoolOrder& order)
{
    auto pools = nlohmann::json::array();
    for (const auto& pool : order.pools())
        pools.push_back(pool.value());
    return nlohmann::json { { "pools", std::move(pools) } }.dump();
}

std::optional<PoolOrder> decodePoolOrder(std::string_view text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("pools") || !json["pools"].is_array())
        return std::nullopt;
    std::vector<PoolId> pools;
    for (const auto& each : json["pools"]) {
        if (!each.is_string())
            return std::nullopt;
        pools.emplace_back(each.get<std::string>());
    }
    return PoolOrder(std::move(pools));
}

PoolOrderSync::PoolOrderSync(asio::io_context& loop, platform::StoreClient& store)
    : m_store(store)
    , m_timer(loop)
{
}

void PoolOrderSync::require(std::vector<PoolId> pools, std::chrono::milliseconds jitter)
{
    m_required = std::move(pools);
    m_jitter = jitter;
    if (!m_isBusy && !m_order.hasAll(m_required))
        read(false);
}

void PoolOrderSync::read(bool mayWrite)
{
    m_isBusy = true;
    m_store.read(layoutTable, orderPart, {}, { readTimeout },
        [this, mayWrite, isAlive = m_isAlive](const std::optional<platform::RowPage>& page) {
            if (!*isAlive)
                return;
            m_isBusy = false;
            if (page) {
                onRow(*page, mayWrite);
                return;
            }
            logWarning("pool-order-read-failed",
                { { "retry-ms", std::to_string((retryPause + m_jitter).count()) } });
            readLater();
        });
}

void PoolOrderSync::onRow(const platform::RowPage& page, bool mayWrite)
{
    Version version = 0;
    if (!page.rows.empty()) {
        auto order = decodePoolOrder(page.rows.front().value);
        // A row in the format of another version of this program is not overwritten.
        if (!order) {
            logWarning(
                "pool-order-unreadable", { { "bytes", std::to_string(page.rows.front().value.size()) } });
            readLater();
            return;
        }
        m_order = std::move(*order);
        version = page.rows.front().version;
    }
    if (m_order.hasAll(m_required)) {
        logInfo("pool-order",
            { { "pools", std::to_string(m_order.pools().size()) }, { "version", std::to_string(version) } });
        return;
    }
    if (mayWrite)
        write(version);
    else
        readLater();
}

void PoolOrderSync::write(Version expectedVersion)
{
    m_isBusy = true;
    platform::RowName name { layoutTable, orderPart, orderKey };
    platform::RowTransaction transaction;
    transaction.conditions.push_back({ name, expectedVersion });
    transaction.puts.push_back({ name, encodePoolOrder(m_order.with(m_required)) });
    m_store.commit(
        transaction, readTimeout, [this, isAlive = m_isAlive](const platform::CommitResult& result) {
            if (!*isAlive)
                return;
            logInfo("pool-order-proposed", { { "outcome", std::string(toString(result.outcome)) } });
            // The row is read again whatever the outcome: another process may have written it.
            read(false);
        });
}

void PoolOrderSync::readLater()
{
    m_isBusy = true;
    m_timer.expires_after(retryPause + m_jitter);
    m_timer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (!error && *isAlive)
            read(true);
    });
}

} // namespace fulmar::node
