#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <boost/circular_buffer.hpp>
#include <compare>
#include <cstdint>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace fulmar {

// Hybrid logical clock stamp: orders events causally across processes whose wall clocks differ.
struct EventStamp {
    WallTime wall {};
    std::uint32_t counter { 0 };

    auto operator<=>(const EventStamp&) const = default;
};

using EventField = std::pair<std::string, std::string>;

// Something that happened to a request, VM, move, wave or task.
struct Event {
    EventStamp stamp;
    ProcessId process;
    std::string kind;
    std::vector<EventField> fields;
};

// Stamps this process's events and keeps the newest `capacity` of them. Thread-safe.
class EventLog {
public:
    EventLog(ProcessId process, std::size_t capacity);

    // Also writes the event to the log as one line.
    void record(WallTime now, std::string kind, std::vector<EventField> fields);

    // Merges a stamp received from another process, so that later local events order after it.
    void observe(EventStamp remote);

    // Stamp to attach to an outgoing message.
    [[nodiscard]] EventStamp stampForMessage(WallTime now);

    // Oldest first.
    [[nodiscard]] std::vector<Event> snapshot() const;

    [[nodiscard]] const ProcessId& process() const { return m_process; }

private:
    EventStamp nextStampLocked(WallTime now);

    const ProcessId m_process;
    mutable std::mutex m_mutex;
    EventStamp m_last;
    boost::circular_buffer<Event> m_events;
};

// Formats as `ts=<ms>.<counter> process=<id> event=<kind> key=value ...`, with values quoted where needed.
[[nodiscard]] std::string formatEvent(const Event&);

} // namespace fulmar
