#pragma once

#include "platform/store_client.h"

#include <deque>
#include <map>

namespace fulmar::node {

// Rows that wait to be written, in the order of their first change; a later value replaces one that waits.
// Keeps what was asked to be told when rows are durable. Free of input and output.
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

    // `durable` is called once this value or a later one is stored.
    void put(const platform::RowName&, std::optional<std::string> value, OnDurable durable, bool isFirst);
    // Called once everything that was put before is stored, whatever the order of writing; at once if it is.
    void whenDurable(OnDurable);

    // Takes what goes into the next transaction; one batch at a time.
    [[nodiscard]] const Batch& take(std::size_t maxRows, std::size_t maxBytes);
    // The batch is stored: what was told about it is to be called, in order.
    [[nodiscard]] std::vector<OnDurable> commit();
    // The batch is not stored: it goes first again, with newer values where there are some.
    void requeue();

    // What was taken and is neither stored nor requeued.
    [[nodiscard]] const Batch& batch() const { return m_batch; }
    [[nodiscard]] bool isIdle() const { return m_order.empty(); }
    [[nodiscard]] std::size_t size() const { return m_pending.size() + m_batch.size(); }

private:
    [[nodiscard]] std::uint64_t oldestUnstored() const;

    struct Barrier {
        std::uint64_t change { 0 };
        OnDurable durable;
    };

    std::uint64_t m_changes { 0 };
    std::map<platform::RowName, Entry> m_pending;
    std::deque<platform::RowName> m_order;
    Batch m_batch;
    std::deque<Barrier> m_barriers;
};

} // namespace fulmar::node
