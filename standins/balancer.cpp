#include "balancer.h"

#include "http_caller.h"

#include <cassert>
#include <condition_variable>
#include <mutex>

namespace fulmar::standin {

namespace {

constexpr auto healthPath = "/healthz";
constexpr auto healthTimeout = std::chrono::milliseconds(500);
constexpr int statusOk = 200;

// Returns true once a stop was requested, false after the whole time.
bool waitOrStop(const std::stop_token& stop, std::chrono::milliseconds time)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    wake.wait_for(lock, stop, time, [] { return false; });
    return stop.stop_requested();
}

} // namespace

Balancer::Balancer(std::vector<std::string> entries, std::chrono::milliseconds checkInterval)
    : m_entries(std::move(entries))
    , m_healthy(m_entries.size())
{
    assert(!m_entries.empty());
    checkAll();
    m_checker = std::jthread([this, checkInterval](const std::stop_token& stop) {
        while (!waitOrStop(stop, checkInterval))
            checkAll();
    });
}

Balancer::~Balancer() = default;

const std::string& Balancer::next()
{
    const auto turn = m_turn.fetch_add(1);
    for (std::size_t step = 0; step < m_entries.size(); ++step)
        if (auto index = (turn + step) % m_entries.size(); m_healthy[index])
            return m_entries[index];
    return m_entries[turn % m_entries.size()];
}

void Balancer::checkAll()
{
    HttpCaller caller;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        const auto reply = caller.call({ "GET", m_entries[index], healthPath, {}, {}, healthTimeout });
        m_healthy[index] = reply.end == ExchangeEnd::Answered && reply.status == statusOk;
    }
}

} // namespace fulmar::standin
