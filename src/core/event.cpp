#include "core/event.h"

#include "core/log.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar {

EventLog::EventLog(ProcessId process, std::size_t capacity)
    : m_process(std::move(process))
    , m_events(capacity)
{
}

void EventLog::record(WallTime now, std::string kind, std::vector<EventField> fields)
{
    Event event { {}, m_process, std::move(kind), std::move(fields) };
    {
        std::lock_guard lock(m_mutex);
        event.stamp = nextStampLocked(now);
        m_events.push_back(event);
    }
    logInfo(event.kind, event.fields);
}

void EventLog::observe(EventStamp remote)
{
    std::lock_guard lock(m_mutex);
    m_last = std::max(m_last, remote);
}

EventStamp EventLog::stampForMessage(WallTime now)
{
    std::lock_guard lock(m_mutex);
    return nextStampLocked(now);
}

std::vector<Event> EventLog::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return { m_events.begin(), m_events.end() };
}

// If the wall clock has not passed the last stamp, the counter grows, so that stamps always increase.
EventStamp EventLog::nextStampLocked(WallTime now)
{
    if (now > m_last.wall)
        m_last = { now, 0 };
    else
        ++m_last.counter;
    return m_last;
}

std::string formatEvent(const Event& event)
{
    return fmt::format("ts={}.{} process={} {}", event.stamp.wall.time_since_epoch().count(),
        event.stamp.counter, event.process.value(), formatFields(event.kind, event.fields));
}

} // namespace fulmar
