#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace fulmar::standin {

// A stand-in of the platform's balancer: checks /healthz of every entry in turn and hands out the healthy
// ones round robin. Thread-safe.
class Balancer {
public:
    Balancer(std::vector<std::string> entries, std::chrono::milliseconds checkInterval);
    ~Balancer();
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    // The next healthy entry's "host:port"; any entry if none is healthy.
    [[nodiscard]] const std::string& next();

private:
    void checkAll();

    std::vector<std::string> m_entries;
    std::vector<std::atomic<bool>> m_healthy;
    std::atomic<std::size_t> m_turn { 0 };
    std::jthread m_checker;
};

} // namespace fulmar::standin
