#pragma once

#include "core/clock.h"

#include <boost/circular_buffer.hpp>
#include <cassert>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace fulmar {

// A bounded queue between threads. Producers never block: a full ring refuses the item.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_items(capacity)
    {
        assert(capacity > 0);
    }

    // Returns false, leaving the item with the caller, if the ring is full or closed.
    [[nodiscard]] bool tryPush(T&& item)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_closed || m_items.full())
                return false;
            m_items.push_back(std::move(item));
        }
        m_ready.notify_one();
        return true;
    }

    [[nodiscard]] std::optional<T> tryPop()
    {
        std::lock_guard lock(m_mutex);
        return popLocked();
    }

    // Waits up to `timeout` for an item. Returns nothing on time-out, or at once if closed and drained.
    [[nodiscard]] std::optional<T> popFor(Duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        return popLocked();
    }

    // Refuses further items and wakes the consumers.
    void close()
    {
        {
            std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
    }

    [[nodiscard]] bool closed() const
    {
        std::lock_guard lock(m_mutex);
        return m_closed;
    }

private:
    std::optional<T> popLocked()
    {
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    boost::circular_buffer<T> m_items;
    bool m_closed { false };
};

} // namespace fulmar
