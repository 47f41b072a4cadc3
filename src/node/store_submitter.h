#pragma once

#include "node/node_metrics.h"
#include "node/store_submissions.h"
#include "node/table_follower.h"

namespace fulmar::node {

// Sends submissions through the store; see StoreSubmissions. Follows the table of their rows only while calls
// wait and for a while after.
class StoreSubmitter {
public:
    StoreSubmitter(asio::io_context&, platform::StoreClient&, NodeMetrics&, std::uint64_t incarnation,
        std::vector<std::string> parts);
    ~StoreSubmitter() { *m_isAlive = false; }
    StoreSubmitter(const StoreSubmitter&) = delete;
    StoreSubmitter& operator=(const StoreSubmitter&) = delete;

    // False if the call is not taken; `reply` is not used then.
    [[nodiscard]] bool submit(
        StoreSubmissions::Target, const JobCall&, TimePoint deadline, const OnJobReply& reply);
    // To be called every 50 ms or so.
    void tick();

private:
    void follow();
    void sendDue();

    asio::io_context& m_loop;
    platform::StoreClient& m_store;
    NodeMetrics& m_metrics;
    const std::vector<std::string> m_parts;
    BootClock m_clock;
    StoreSubmissions m_submissions;
    std::unique_ptr<TableFollower> m_follower;
    // When a call last waited.
    TimePoint m_usedAt;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace fulmar::node
