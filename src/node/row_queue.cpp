#include "node/row_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>

namespace fulmar::node {

void RowQueue::put(std::vector<RowChange> rows, OnDurable durable, bool goesFirst)
{
    assert(!rows.empty());
    RecordName record { rows.front().name.part, rows.front().name.key };
    ++m_changes;
    auto [found, isNew] = m_pending.try_emplace(record);
    auto& entry = found->second;
    if (isNew) {
        entry.oldestChange = m_changes;
        entry.position = goesFirst ? --m_firstPosition : ++m_lastPosition;
        if (auto aside = m_aside.extract(record))
            mergeOlder(entry, std::move(aside.mapped()));
        m_order.emplace(entry.position, record);
    }
    for (auto& [name, value] : rows) {
        assert(name.part == record.part);
        entry.rows.insert_or_assign(std::move(name), std::move(value));
    }
    if (durable)
        entry.durable.push_back(std::move(durable));
}

void RowQueue::whenDurable(OnDurable durable)
{
    if (size() == 0)
        durable();
    else
        m_barriers.push_back({ m_changes, std::move(durable) });
}

const RowQueue::Batch& RowQueue::take(std::size_t maxRows, std::size_t maxBytes)
{
    std::size_t rows = 0;
    std::size_t bytes = 0;
    while (!m_order.empty()) {
        auto next = m_pending.find(m_order.begin()->second);
        const auto& entry = next->second;
        if (!m_batch.empty() && (rows + entry.rows.size() > maxRows || bytes >= maxBytes))
            break;
        rows += entry.rows.size();
        for (const auto& [name, value] : entry.rows)
            bytes += name.key.size() + (value ? value->size() : 0);
        m_order.erase(m_order.begin());
        m_batch.insert(m_pending.extract(next));
    }
    return m_batch;
}

std::vector<RowQueue::OnDurable> RowQueue::commit()
{
    std::vector<OnDurable> calls;
    for (auto& [record, entry] : std::exchange(m_batch, {}))
        for (auto& durable : entry.durable)
            calls.push_back(std::move(durable));
    auto oldest = oldestUnstored();
    while (!m_barriers.empty() && m_barriers.front().change < oldest) {
        calls.push_back(std::move(m_barriers.front().durable));
        m_barriers.pop_front();
    }
    return calls;
}

void RowQueue::requeue()
{
    for (auto& [record, sent] : std::exchange(m_batch, {})) {
        auto [found, isNew] = m_pending.try_emplace(record);
        auto& entry = found->second;
        if (isNew) {
            entry = std::move(sent);
        } else {
            m_order.erase(entry.position);
            entry.position = std::min(entry.position, sent.position);
            mergeOlder(entry, std::move(sent));
        }
        m_order.emplace(entry.position, record);
    }
}

void RowQueue::setAside()
{
    for (auto& [record, refused] : std::exchange(m_batch, {})) {
        // A newer value is queued already, and is sent next.
        if (auto newer = m_pending.find(record); newer != m_pending.end())
            mergeOlder(newer->second, std::move(refused));
        else
            m_aside.insert_or_assign(record, std::move(refused));
    }
}

void RowQueue::mergeOlder(Entry& newer, Entry older)
{
    // Keeps the newer values.
    newer.rows.merge(older.rows);
    newer.oldestChange = older.oldestChange;
    newer.durable.insert(newer.durable.begin(), std::make_move_iterator(older.durable.begin()),
        std::make_move_iterator(older.durable.end()));
}

RowQueue::Batch RowQueue::dropAside() { return std::exchange(m_aside, {}); }

void RowQueue::drop(const RecordName& record)
{
    m_batch.erase(record);
    if (auto queued = m_pending.extract(record))
        m_order.erase(queued.mapped().position);
}

std::uint64_t RowQueue::oldestUnstored() const
{
    auto oldest = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [record, entry] : m_pending)
        oldest = std::min(oldest, entry.oldestChange);
    for (const auto* records : { &m_batch, &m_aside })
        for (const auto& [record, entry] : *records)
            oldest = std::min(oldest, entry.oldestChange);
    return oldest;
}

} // namespace fulmar::node
