#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Rate limiter for log lines, per event and second; counts the lines over the limit.
class LogLimit {
public:
    [[nodiscard]] bool admit(std::string_view event, TimePoint now);
    // Counts an admitted line that found the log queue full.
    void countDropped() { ++m_dropped; }
    // Returns and resets the number of omitted lines by event, for seconds that have ended.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> takeOmitted(TimePoint now);

private:
    struct Window {
        TimePoint began;
        std::uint64_t admitted { 0 };
        std::uint64_t omitted { 0 };
    };
    std::map<std::string, Window, std::less<>> m_windows;
    std::uint64_t m_dropped { 0 };
};

} // namespace fulmar
