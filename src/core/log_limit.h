#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Rate limiter for log lines, per event and second. Lines over the limit are omitted; lines that find the log
// queue full are dropped. Both are counted.
class LogLimit {
public:
    // Returns whether the line is within the limit; counts it as omitted if not.
    [[nodiscard]] bool admit(std::string_view event, TimePoint now);
    // Counts an admitted line that found the log queue full.
    void countDropped() { ++m_dropped; }
    // Returns and resets the numbers of omitted lines by event, for windows that have ended, and of dropped
    // lines, as event ring-full.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> takeOmitted(TimePoint now);

private:
    // Counts the lines of an event for a second from `began`.
    struct Window {
        TimePoint began;
        std::uint64_t admitted { 0 };
        std::uint64_t omitted { 0 };
    };
    std::map<std::string, Window, std::less<>> m_windows;
    std::uint64_t m_dropped { 0 };
};

} // namespace fulmar
