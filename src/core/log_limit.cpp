#include "core/log_limit.h"

#include <utility>

namespace fulmar {

namespace {

// A holder of a shard decides on a few hundred jobs a second at the worst load; 200 lines of 250 bytes of
// each of five kinds stay under a hundredth of a core and 250 KB a second.
constexpr std::uint64_t linesPerSecond = 200;

} // namespace

bool LogLimit::admit(std::string_view event, TimePoint now)
{
    auto found = m_seconds.find(event);
    if (found == m_seconds.end())
        found = m_seconds.emplace(std::string(event), Second { now, 0, 0 }).first;
    auto& second = found->second;
    if (now >= second.began + std::chrono::seconds(1)) {
        second.began = now;
        second.admitted = 0;
    }
    if (second.admitted >= linesPerSecond) {
        ++second.omitted;
        return false;
    }
    ++second.admitted;
    return true;
}

std::vector<std::pair<std::string, std::uint64_t>> LogLimit::takeOmitted(TimePoint now)
{
    std::vector<std::pair<std::string, std::uint64_t>> omitted;
    for (auto& [event, second] : m_seconds) {
        if (second.omitted == 0 || now < second.began + std::chrono::seconds(1))
            continue;
        omitted.emplace_back(event, std::exchange(second.omitted, 0));
    }
    if (m_lost > 0)
        omitted.emplace_back("ring-full", std::exchange(m_lost, 0));
    return omitted;
}

} // namespace fulmar
