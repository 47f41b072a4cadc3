#pragma once

#include "core/ring.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <functional>
#include <future>
#include <memory>
#include <optional>

namespace fulmar {

// A bounded queue through which other threads post work to a duty that runs on an Asio loop.
class LoopInbox {
public:
    LoopInbox(asio::io_context& loop, std::size_t capacity)
        : m_loop(loop)
        , m_ring(capacity)
    {
    }

    // Returns false, without running the work, if the ring is full.
    [[nodiscard]] bool tryPost(std::function<void()> work)
    {
        if (!m_ring.tryPush(std::move(work)))
            return false;
        asio::post(m_loop, [this] { runOne(); });
        return true;
    }

    // Runs `query` on the loop and waits for its result. Empty if the ring is full or the loop does not
    // answer in time; `query` may then still run later. Must not be called on the loop's own thread.
    template <typename T>
    [[nodiscard]] std::optional<T> ask(std::function<T()> query, std::chrono::milliseconds timeout)
    {
        auto promise = std::make_shared<std::promise<T>>();
        auto answer = promise->get_future();
        if (!tryPost([promise, query = std::move(query)] { promise->set_value(query()); }))
            return std::nullopt;
        if (answer.wait_for(timeout) != std::future_status::ready)
            return std::nullopt;
        return answer.get();
    }

private:
    void runOne()
    {
        if (auto work = m_ring.tryPop())
            (*work)();
    }

    asio::io_context& m_loop;
    BoundedRing<std::function<void()>> m_ring;
};

} // namespace fulmar
