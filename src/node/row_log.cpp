#include "node/row_log.h"

#include "core/log.h"

#include <algorithm>

namespace fulmar::node {

namespace {

// The store accepts 100 entries per transaction: a condition and a change per row, and one condition for the
// lease.
constexpr std::size_t maxRowsPerTransaction = 49;
// The store accepts 1 MB per transaction; base64 and names enlarge a value by a third.
constexpr std::size_t maxBytesPerTransaction = 600'000;
// A slow store answers in 0.7 s. A lost answer must be noticed well before the lease of 3 s expires.
constexpr std::chrono::milliseconds commitTimeout { 1'200 };
constexpr std::chrono::milliseconds firstBackoff { 40 };
constexpr std::chrono::milliseconds maxBackoff { 500 };

} // namespace

RowLog::RowLog(
    asio::io_context& loop, platform::StoreClient& store, platform::RowCondition lease, Hooks hooks)
    : m_store(store)
    , m_lease(std::move(lease))
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

void RowLog::seed(const platform::RowName& name, Version version) { m_versions[name] = version; }

void RowLog::put(std::vector<RowChange> rows, OnDurable durable)
{
    for (const auto& [name, value] : rows) {
        auto refused = m_refusedSizes.find(name);
        if (!value || refused == m_refusedSizes.end())
            continue;
        if (value->size() >= refused->second) {
            if (m_hooks.onRefused)
                m_hooks.onRefused(name);
            return;
        }
        m_refusedSizes.erase(refused);
    }
    m_queue.put(std::move(rows), std::move(durable), false);
    send();
}

void RowLog::putFirst(RowChange row, OnDurable durable)
{
    m_queue.put({ std::move(row) }, std::move(durable), true);
    send();
}

void RowLog::stop()
{
    m_isStopped = true;
    *m_isAlive = false;
    m_timer.cancel();
}

void RowLog::send()
{
    if (m_isBusy || m_isStopped || m_queue.hasNothingQueued())
        return;
    platform::RowTransaction transaction;
    transaction.conditions.push_back(m_lease);
    auto maxRows = m_recordsToSendAlone > 0 ? 1 : maxRowsPerTransaction;
    if (m_recordsToSendAlone > 0)
        --m_recordsToSendAlone;
    for (const auto& [record, entry] : m_queue.take(maxRows, maxBytesPerTransaction)) {
        for (const auto& [name, value] : entry.rows) {
            auto version = m_versions.find(name);
            auto exists = version != m_versions.end() && version->second > 0;
            if ((value || exists) && name != m_lease.name)
                transaction.conditions.push_back({ name, exists ? version->second : 0 });
            if (value)
                transaction.puts.push_back({ name, *value });
            else if (exists)
                transaction.removals.push_back(name);
        }
    }
    m_isBusy = true;
    m_store.commit(
        transaction, commitTimeout, [this, isAlive = m_isAlive](const platform::CommitResult& result) {
            if (*isAlive)
                onCommit(result);
        });
}

void RowLog::adoptVersions(const platform::CommitResult& result)
{
    for (const auto& row : result.current)
        m_versions[row.name] = row.isRemoved ? 0 : row.version;
    // A conflict lists the current rows of all conditions; a row that is not listed does not exist.
    for (const auto& [record, entry] : m_queue.batch()) {
        for (const auto& [name, value] : entry.rows) {
            auto isListed = std::any_of(result.current.begin(), result.current.end(),
                [&](const platform::StoredRow& row) { return row.name == name; });
            if (!isListed)
                m_versions[name] = 0;
        }
    }
}

bool isWithdrawn(const std::map<platform::RowName, std::optional<std::string>>& record,
    const std::string& sharedTable, const std::map<platform::RowName, Version>& expected,
    const std::vector<platform::StoredRow>& current)
{
    return std::any_of(record.begin(), record.end(), [&](const auto& each) {
        const auto& [name, value] = each;
        if (name.table != sharedTable)
            return false;
        auto row = std::find_if(current.begin(), current.end(),
            [&, &wanted = name](const auto& found) { return found.name == wanted && !found.isRemoved; });
        if (row == current.end())
            return value.has_value();
        auto known = expected.find(name);
        auto isUnchanged = known != expected.end() && known->second == row->version;
        return !isUnchanged && value != row->value;
    });
}

std::vector<platform::RowName> RowLog::giveUpWithdrawn(const platform::CommitResult& result)
{
    std::vector<RecordName> records;
    std::vector<platform::RowName> rows;
    if (m_hooks.sharedTable.empty())
        return rows;
    for (const auto& [record, entry] : m_queue.batch()) {
        if (!isWithdrawn(entry.rows, m_hooks.sharedTable, m_versions, result.current))
            continue;
        records.push_back(record);
        for (const auto& [name, value] : entry.rows)
            rows.push_back(name);
    }
    for (const auto& record : records)
        m_queue.drop(record);
    for (const auto& name : rows)
        if (name.table == m_hooks.sharedTable)
            m_versions.erase(name);
    return rows;
}

void RowLog::onCommit(const platform::CommitResult& result)
{
    m_isBusy = false;
    m_hooks.onCommit(result.outcome);
    if (result.outcome == platform::CommitOutcome::Committed) {
        m_backoff = {};
        for (const auto& [record, entry] : m_queue.batch())
            for (const auto& [name, value] : entry.rows)
                if (value)
                    m_versions[name] = result.version;
                else
                    m_versions.erase(name);
        giveUpRefused();
        auto isAlive = m_isAlive;
        for (auto& durable : m_queue.commit())
            if (*isAlive)
                durable();
        if (*isAlive)
            send();
        return;
    }
    if (result.outcome == platform::CommitOutcome::Conflict) {
        auto lease = std::find_if(result.current.begin(), result.current.end(),
            [&](const platform::StoredRow& row) { return row.name == m_lease.name; });
        if (lease == result.current.end() || lease->version != m_lease.version) {
            logWarning("shard-lost", { { "part", m_lease.name.part }, { "reason", "lease-row-changed" } });
            m_hooks.onLost();
            return;
        }
        auto withdrawn = giveUpWithdrawn(result);
        adoptVersions(result);
        m_queue.requeue();
        auto isAlive = m_isAlive;
        if (!withdrawn.empty())
            m_hooks.onWithdrawn(withdrawn);
        if (*isAlive)
            send();
        return;
    }
    if (result.outcome == platform::CommitOutcome::Refused) {
        onRefused();
        return;
    }
    m_queue.requeue();
    retryLater();
}

void RowLog::onRefused()
{
    auto records = m_queue.batch().size();
    if (records > 1) {
        m_recordsToSendAlone = records;
        m_queue.requeue();
        send();
        return;
    }
    // Without these the shard is lost anyway.
    if (m_queue.batch().begin()->second.rows.begin()->first.table == m_lease.name.table) {
        m_queue.requeue();
        retryLater();
        return;
    }
    m_queue.setAside();
    send();
}

void RowLog::giveUpRefused()
{
    for (const auto& [record, entry] : m_queue.dropAside()) {
        for (const auto& [name, value] : entry.rows) {
            if (value && name.table != m_hooks.sharedTable)
                m_refusedSizes[name] = value->size();
            logWarning("row-refused",
                { { "table", name.table }, { "part", name.part }, { "key", name.key },
                    { "bytes", value ? std::to_string(value->size()) : "removal" } });
            if (m_hooks.onRefused)
                m_hooks.onRefused(name);
        }
    }
}

void RowLog::whenDurable(OnDurable durable) { m_queue.whenDurable(std::move(durable)); }

void RowLog::release(std::string leaseRow, OnDurable released)
{
    put({ { m_lease.name, std::move(leaseRow) } }, std::move(released));
}

void RowLog::retryLater()
{
    if (m_backoff.count() == 0)
        logWarning("store-write-failed",
            { { "part", m_lease.name.part }, { "waiting", std::to_string(unstoredRecords()) } });
    m_backoff = std::clamp(m_backoff * 2, firstBackoff, maxBackoff);
    m_isBusy = true;
    m_timer.expires_after(m_backoff);
    m_timer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (error || !*isAlive)
            return;
        m_isBusy = false;
        send();
    });
}

} // namespace fulmar::node
