#pragma once

#include "http_host.h"
#include "platform_state.h"

namespace fulmar::standin {

// Answers the platform's HTTP interface from a PlatformState, and the control interface of the stand-in:
//   POST /switch    {"down":bool, "slowMs":n, "loseNextReplies":n, "loseReplyShare":x, "listLagMs":n,
//                    "restoreToVersion":n, "leaving":[vm...], "removed":[vm...]}
//   POST /seed      {"vms":[...], "workers":[...], "jobs":[...], "rows":[{"key":..., "value":{...}}]}
//   GET  /counters  reads, writes, conflicts, reboots and their rates, one key=value a line
//   GET  /tasks     {"starts":{task:n}, "finishes":{task:n}}
class PlatformServer {
public:
    explicit PlatformServer(PlatformState& state)
        : m_state(state)
    {
    }

    [[nodiscard]] HttpReply handle(TimePoint now, const HttpRequest&);

private:
    [[nodiscard]] HttpReply handleRead(TimePoint now, const HttpRequest&);
    [[nodiscard]] HttpReply handleWrite(TimePoint now, const HttpRequest&);
    [[nodiscard]] HttpReply applyWrite(TimePoint now, const HttpRequest&);
    [[nodiscard]] HttpReply applySwitches(TimePoint now, const std::string& body);
    [[nodiscard]] HttpReply seed(TimePoint now, const std::string& body);
    [[nodiscard]] HttpReply counters(TimePoint now);
    [[nodiscard]] HttpReply tasks() const;

    PlatformState& m_state;
    // Counters at the previous look, from which rates are computed.
    PlatformCounters m_previous;
    TimePoint m_previousAt {};
};

} // namespace fulmar::standin
