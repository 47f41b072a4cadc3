#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Bounds the volume of a log: so many lines of one event a second, the rest is counted.
class LogLimit {
public:
    [[nodiscard]] bool admit(std::string_view event, TimePoint now);
    // A line that was admitted and could not be kept.
    void countDropped() { ++m_lost; }
    // Counts of the lines left out, by event, once their second is over.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> takeOmitted(TimePoint now);

private:
    struct Second {
        TimePoint began;
        std::uint64_t admitted { 0 };
        std::uint64_t omitted { 0 };
    };
    std::map<std::string, Second, std::less<>> m_seconds;
    std::uint64_t m_lost { 0 };
};

} // namespace fulmar
