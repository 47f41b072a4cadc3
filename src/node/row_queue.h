#pragma once

#include "platform/store_client.h"

#include <deque>
#include <map>

namespace fulmar::node {

// A row to write, or to remove if there is no value.
struct RowChange {
    platform::RowName name;
    std::optional<std::string> value;
};

// The rows with the same part and key, in whatever tables: they tell one fact together, such as a job and its
// progress.
struct RecordName {
    std::string part;
    std::string key;

    auto operator<=>(const RecordName&) const = default;
};

// Records queued for writing, in the order of their first change; a later value of a row replaces a queued
// one. All queued rows of a record are taken together, so that no transaction ends between them. A batch that
// was not stored returns to its place in the queue. Also holds the callbacks to run once rows are durable.
// Does no I/O.
class RowQueue {
public:
    using OnDurable = std::function<void()>;

    struct Entry {
        // Rows without a value are removed.
        std::map<platform::RowName, std::optional<std::string>> rows;
        std::vector<OnDurable> durable;
        // Number of the earliest change that this entry makes durable.
        std::uint64_t oldestChange { 0 };
        // Records with a lower one are taken first.
        std::int64_t position { 0 };
    };
    using Batch = std::map<RecordName, Entry>;

    // The rows are of one record, that of the first row; further ones may have other keys. `durable` is
    // called once these values or later ones are stored, after the callbacks of earlier values. `goesFirst`:
    // the record goes ahead of all others, unless it is queued already.
    void put(std::vector<RowChange>, OnDurable durable, bool goesFirst);
    // Calls back once all rows put before are stored, whatever the order of writing; immediately if none are
    // pending.
    void whenDurable(OnDurable);

    // Takes the records of the next transaction, at least one; only one batch may be open at a time.
    [[nodiscard]] const Batch& take(std::size_t maxRows, std::size_t maxBytes);
    // The batch is stored; returns the callbacks that are due: those of its rows, then those of
    // whenDurable().
    [[nodiscard]] std::vector<OnDurable> commit();
    // The batch was not stored; returns it to the queue, with newer values where present.
    void requeue();
    // The batch was refused: keeps its records out of the next ones, until a new value is put.
    void setAside();
    // Gives up the records set aside, with their callbacks; those of whenDurable() no longer wait for them.
    [[nodiscard]] Batch dropAside();
    // Gives up the record, also its values that are queued behind the batch, with its callbacks.
    void drop(const RecordName&);

    // Records taken and neither stored nor requeued yet.
    [[nodiscard]] const Batch& batch() const { return m_batch; }
    [[nodiscard]] bool hasNothingQueued() const { return m_order.empty(); }
    [[nodiscard]] std::size_t size() const { return m_pending.size() + m_batch.size() + m_aside.size(); }

private:
    // Joins an entry that was not stored with the newer one of the same record.
    static void mergeOlder(Entry& newer, Entry older);
    [[nodiscard]] std::uint64_t oldestUnstored() const;

    // A callback of whenDurable(), due once all changes up to `change` are stored.
    struct Barrier {
        std::uint64_t change { 0 };
        OnDurable durable;
    };

    std::uint64_t m_changes { 0 };
    std::int64_t m_firstPosition { 0 };
    std::int64_t m_lastPosition { 0 };
    std::map<RecordName, Entry> m_pending;
    // The pending records by position.
    std::map<std::int64_t, RecordName> m_order;
    Batch m_batch;
    Batch m_aside;
    std::deque<Barrier> m_barriers;
};

} // namespace fulmar::node
