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
    // Mean run time of calls like this, and a time that most of them stay below.
    Duration expectedRunTime {};
    Duration highRunTime {};
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
    [[nodiscard]] Duration workAhead(const std::string& caller) const;

    [[nodiscard]] std::size_t size() const { return m_size; }
    // The caller with the most waiting calls, and how many.
    [[nodiscard]] std::pair<std::string, std::size_t> callerWithMostCalls() const;
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
struct AdmissionResult {
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
    [[nodiscard]] AdmissionResult offer(WaitingCall, std::uint32_t slots, std::size_t limit, TimePoint now);
    // Puts a call back that is to be retried.
    void requeue(WaitingCall);

    // The call to start next, if it may start now; null otherwise.
    [[nodiscard]] const WaitingCall* next(std::uint32_t slots, TimePoint now) const;
    WaitingCall pop(const WaitingCall& call) { return laneOf(call.isLong).queue.popFront(); }
    void remove(const WaitingCall&);

    void onStart(bool isLong) { ++laneOf(isLong).inFlight; }
    void onEnd(bool isLong) { --laneOf(isLong).inFlight; }

    [[nodiscard]] std::size_t size() const { return m_short.queue.size() + m_long.queue.size(); }
    // How many of `slots` calls of this kind may hold while calls of the other kind wait or may come.
    [[nodiscard]] std::uint32_t longLimit(std::uint32_t slots, TimePoint now) const;
    [[nodiscard]] std::uint32_t shortLimit(std::uint32_t slots, TimePoint now) const;

private:
    // The short calls of a service, or the long ones.
    struct Lane {
        FairQueue queue;
        std::uint32_t inFlight { 0 };
        // Slots that calls of this kind ask for, as a mean that decays.
        double demand { 0 };
        TimePoint demandAt;

        void addDemand(Duration run, TimePoint now);
        [[nodiscard]] double decayedDemand(TimePoint) const;
    };

    Lane& laneOf(bool isLong) { return isLong ? m_long : m_short; }
    [[nodiscard]] Duration expectedWait(const WaitingCall&, std::uint32_t slots, TimePoint now) const;

    Lane m_short;
    Lane m_long;
};

} // namespace fulmar::serve
