#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

namespace fulmar {

// Runs a duty's step repeatedly on its own thread, with a pause after each, until destroyed.
class DutyThread {
public:
    DutyThread(std::function<void()> step, std::chrono::milliseconds pause)
        : m_thread([this, step = std::move(step), pause] {
            while (!m_isStopping) {
                step();
                std::this_thread::sleep_for(pause);
            }
        })
    {
    }

    DutyThread(const DutyThread&) = delete;
    DutyThread& operator=(const DutyThread&) = delete;

    ~DutyThread()
    {
        m_isStopping = true;
        m_thread.join();
    }

private:
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace fulmar
