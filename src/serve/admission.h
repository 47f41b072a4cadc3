#pragma once

#include "core/clock.h"
#include "serve/call.h"

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace fulmar::serve {

// A call that waits for a slot.
struct WaitingCall {
    RequestId request { 0 };
    std::string caller;
    bool isLong { false };
    Duration expectedRun {};
    TimePoint deadline;
    TimePoint queued;
};

// Calls of one kind that wait, served in turns over their callers, so that one caller's burst delays mostly
// itself. Within a caller: first in, first out.
class FairQueue {
public:
    void push(WaitingCall);
    // Puts a call that had its turn before in front of its caller's others.
    void pushFront(WaitingCall);

    // The next call; null if empty.
    [[nodiscard]] const WaitingCall* front() const;
    WaitingCall popFront();
    bool remove(const std::string& caller, RequestId);

    // Run time expected of all calls that would be served before a new one of the caller.
    [[nodiscard]] Duration workBefore(const std::string& caller) const;

    [[nodiscard]] std::size_t size() const { return m_size; }
    // The caller with the most waiting calls, and how many.
    [[nodiscard]] std::pair<std::string, std::size_t> longestCaller() const;
    [[nodiscard]] std::size_t sizeOf(const std::string& caller) const;
    // The caller's newest call.
    WaitingCall popNewest(const std::string& caller);

private:
    std::deque<WaitingCall>& callsOf(const std::string& caller);
    void removed(const std::string& caller, const WaitingCall&);

    std::unordered_map<std::string, std::deque<WaitingCall>> m_calls;
    // Callers with waiting calls; the first has the next turn.
    std::list<std::string> m_turns;
    std::size_t m_size { 0 };
    Duration m_work {};
};

// What came of offering a call to the queue.
struct Admitted {
    bool admitted { false };
    // A call of another caller that had to make room.
    std::optional<RequestId> evicted;
    // Expected wait of a call that is refused.
    Duration wait {};
};

// Decides for one service which calls may wait, and which goes next. A call that cannot be answered in time
// is refused at once, while it is certain that it has not run. Long calls may not hold the slots that short
// ones are expected to need.
class Admission {
public:
    // `slots`: how many calls may run at once at present. `limit`: calls that may wait.
    [[nodiscard]] Admitted offer(WaitingCall, std::uint32_t slots, std::size_t limit, TimePoint now);
    // Puts a call back that is to be retried.
    void putBack(WaitingCall);

    // The call to start next, if it may start now; null otherwise.
    [[nodiscard]] const WaitingCall* next(std::uint32_t slots, TimePoint now) const;
    WaitingCall pop(const WaitingCall& call) { return queueOf(call.isLong).popFront(); }
    void remove(const WaitingCall&);

    void onStart(bool isLong) { m_longInFlight += isLong ? 1 : 0; }
    void onEnd(bool isLong) { m_longInFlight -= isLong ? 1 : 0; }

    [[nodiscard]] std::size_t size() const { return m_short.size() + m_long.size(); }
    // How many of `slots` long calls may hold.
    [[nodiscard]] std::uint32_t longLimit(std::uint32_t slots, TimePoint now) const;

private:
    FairQueue& queueOf(bool isLong) { return isLong ? m_long : m_short; }
    [[nodiscard]] Duration expectedWait(const WaitingCall&, std::uint32_t slots, TimePoint now) const;
    void countShortDemand(Duration run, TimePoint now);
    [[nodiscard]] double shortDemand(TimePoint now) const;

    FairQueue m_short;
    FairQueue m_long;
    std::uint32_t m_longInFlight { 0 };
    // Slots that short calls ask for, as a decaying mean.
    double m_shortDemand { 0 };
    TimePoint m_demandAt;
};

} // namespace fulmar::serve
