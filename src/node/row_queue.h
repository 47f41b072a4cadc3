#pragma once

#include "platform/store_client.h"

#include <deque>
#include <map>

namespace fulmar::node {

// Rows queued for writing, in the order of their first change; a later value replaces a queued one. A batch
// that was not stored returns to the front of the queue, in reverse order of row name. Also holds the
// callbacks to run once rows are durable. Does no I/O.
class RowQueue {
public:
    using OnDurable = std::function<void()>;

    struct Entry {
        // Empty to remove the row.
        std::optional<std::string> value;
        std::vector<OnDurable> durable;
        // Number of the earliest change that this entry makes durable.
        std::uint64_t oldestChange { 0 };
    };
    using Batch = std::map<platform::RowName, Entry>;

    // `durable` is called once this value or a later one is stored, after those of the row's earlier values.
    // `goesFirst`: the row goes ahead of all
    // queued rows, unless it is queued already.
    void put(const platform::RowName&, std::optional<std::string> value, OnDurable durable, bool goesFirst);
    // Calls back once all rows put before are stored, whatever the order of writing; immediately if none are
    // pending.
    void whenDurable(OnDurable);

    // Takes the rows of the next transaction; only one batch may be open at a time.
    [[nodiscard]] const Batch& take(std::size_t maxRows, std::size_t maxBytes);
    // The batch is stored; returns the callbacks that are due: those of its rows, then those of
    // whenDurable().
    [[nodiscard]] std::vector<OnDurable> commit();
    // The batch was not stored; returns it to the front of the queue, with newer values where present.
    void requeue();
    // The batch was refused: keeps its rows out of the next ones, until a new value is put.
    void setAside();
    // Gives up the rows set aside, with their callbacks; those of whenDurable() no longer wait for them.
    [[nodiscard]] Batch dropAside();

    // Rows taken and neither stored nor requeued yet.
    [[nodiscard]] const Batch& batch() const { return m_batch; }
    [[nodiscard]] bool hasNothingQueued() const { return m_order.empty(); }
    [[nodiscard]] std::size_t size() const { return m_pending.size() + m_batch.size() + m_aside.size(); }

private:
    [[nodiscard]] std::uint64_t oldestUnstored() const;

    // A callback of whenDurable(), due once all changes up to `change` are stored.
    struct Barrier {
        std::uint64_t change { 0 };
        OnDurable durable;
    };

    std::uint64_t m_changes { 0 };
    std::map<platform::RowName, Entry> m_pending;
    std::deque<platform::RowName> m_order;
    Batch m_batch;
    Batch m_aside;
    std::deque<Barrier> m_barriers;
};

} // namespace fulmar::node
