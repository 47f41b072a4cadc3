#include "core/log_limit.h"

#include <utility>

namespace fulmar {

namespace {

// A shard holder decides on a few hundred jobs per second at peak load. Five events at this limit, with 250
// bytes a line, take less than 1% of a core and 250 KB/s.
constexpr std::uint64_t maxLinesPerEventAndSecond = 200;

} // namespace

bool LogLimit::admit(std::string_view event, TimePoint now)
{
    auto found = m_windows.find(event);
    if (found == m_windows.end())
        found = m_windows.emplace(std::string(event), Window { now, 0, 0 }).first;
    auto& window = found->second;
    if (now >= window.began + std::chrono::seconds(1)) {
        window.began = now;
        window.admitted = 0;
    }
    if (window.admitted >= maxLinesPerEventAndSecond) {
        ++window.omitted;
        return false;
    }
    ++window.admitted;
    return true;
}

std::vector<std::pair<std::string, std::uint64_t>> LogLimit::takeOmitted(TimePoint now)
{
    std::vector<std::pair<std::string, std::uint64_t>> omitted;
    for (auto& [event, window] : m_windows) {
        if (window.omitted == 0 || now < window.began + std::chrono::seconds(1))
            continue;
        omitted.emplace_back(event, std::exchange(window.omitted, 0));
    }
    if (m_dropped > 0)
        omitted.emplace_back("ring-full", std::exchange(m_dropped, 0));
    return omitted;
}

} // namespace fulmar
