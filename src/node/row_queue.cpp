#include "node/row_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace fulmar::node {

void RowQueue::put(
    const platform::RowName& name, std::optional<std::string> value, OnDurable durable, bool goesFirst)
{
    ++m_changes;
    if (auto aside = m_aside.extract(name)) {
        m_pending.insert(std::move(aside));
        m_order.push_back(name);
    }
    auto [found, isNew] = m_pending.try_emplace(name);
    if (isNew) {
        found->second.oldestChange = m_changes;
        if (goesFirst)
            m_order.push_front(name);
        else
            m_order.push_back(name);
    }
    found->second.value = std::move(value);
    if (durable)
        found->second.durable.push_back(std::move(durable));
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
    std::size_t bytes = 0;
    while (!m_order.empty() && m_batch.size() < maxRows && bytes < maxBytes) {
        auto node = m_pending.extract(m_order.front());
        m_order.pop_front();
        bytes += node.key().key.size() + (node.mapped().value ? node.mapped().value->size() : 0);
        m_batch.insert(std::move(node));
    }
    return m_batch;
}

std::vector<RowQueue::OnDurable> RowQueue::commit()
{
    std::vector<OnDurable> calls;
    for (auto& [name, entry] : std::exchange(m_batch, {}))
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
    for (auto& [name, sent] : m_batch) {
        auto [found, isNew] = m_pending.try_emplace(name);
        auto& entry = found->second;
        if (isNew)
            entry.value = std::move(sent.value);
        else
            m_order.erase(std::remove(m_order.begin(), m_order.end(), name), m_order.end());
        entry.oldestChange = sent.oldestChange;
        m_order.push_front(name);
        entry.durable.insert(entry.durable.begin(), std::make_move_iterator(sent.durable.begin()),
            std::make_move_iterator(sent.durable.end()));
    }
    m_batch.clear();
}

void RowQueue::setAside()
{
    // A newer value is queued already, and is sent next.
    auto batch = std::exchange(m_batch, {});
    for (auto& [name, refused] : batch) {
        if (auto newer = m_pending.find(name); newer != m_pending.end()) {
            auto& entry = newer->second;
            entry.oldestChange = refused.oldestChange;
            entry.durable.insert(entry.durable.begin(), std::make_move_iterator(refused.durable.begin()),
                std::make_move_iterator(refused.durable.end()));
        } else {
            m_aside.insert_or_assign(name, std::move(refused));
        }
    }
}

RowQueue::Batch RowQueue::dropAside() { return std::exchange(m_aside, {}); }

std::uint64_t RowQueue::oldestUnstored() const
{
    auto oldest = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [name, entry] : m_pending)
        oldest = std::min(oldest, entry.oldestChange);
    for (const auto* rows : { &m_batch, &m_aside })
        for (const auto& [name, entry] : *rows)
            oldest = std::min(oldest, entry.oldestChange);
    return oldest;
}

} // namespace fulmar::node
