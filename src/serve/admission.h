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
    // Mean run time of the call's class, and a bound that most calls of the class stay below.
    Duration expectedRunTime {};
    Duration highRunTime {};
    TimePoint deadline;
    TimePoint queuedAt;
};

// Waiting short calls or waiting long calls, served round-robin over the callers, so that a burst mostly
// delays the caller that sent it. First in, first out within a caller.
class FairQueue {
public:
    void push(WaitingCall);
    // Requeues a call that was dequeued before, ahead of the other calls of its caller.
    void pushFront(WaitingCall);

    // The next call; null if the queue is empty.
    [[nodiscard]] const WaitingCall* front() const;
    WaitingCall popFront();
    bool remove(const std::string& caller, RequestId);

    // Expected run time of all calls that would be served before a new call of `caller`.
    [[nodiscard]] Duration workAhead(const std::string& caller) const;

    [[nodiscard]] std::size_t size() const { return m_size; }
    // The caller with the most waiting calls, and their number.
    [[nodiscard]] std::pair<std::string, std::size_t> callerWithMostCalls() const;
    [[nodiscard]] std::size_t sizeOf(const std::string& caller) const;
    // Removes the most recently queued call of the caller.
    WaitingCall popNewest(const std::string& caller);

private:
    std::deque<WaitingCall>& callsOf(const std::string& caller);
    void updateAfterRemoval(const std::string& caller, const WaitingCall&);

    std::unordered_map<std::string, std::deque<WaitingCall>> m_calls;
    // Callers with waiting calls, in service order.
    std::list<std::string> m_serviceOrder;
    std::size_t m_size { 0 };
    Duration m_work {};
};

// Result of Admission::offer().
struct AdmissionResult {
    bool admitted { false };
    // Call of another caller that was evicted to make room.
    std::optional<RequestId> evicted;
    // Expected queueing delay.
    Duration wait {};
};

// Admission control and scheduling for one service. A call that cannot finish before its deadline is refused
// on arrival, while it has certainly not run. Long calls may not occupy the slots that short calls are
// expected to need.
class Admission {
public:
    // `slots`: current concurrency limit. `limit`: maximum number of waiting calls.
    [[nodiscard]] AdmissionResult offer(WaitingCall, std::uint32_t slots, std::size_t limit, TimePoint now);
    // Puts a call back into the queue for a retry.
    void requeue(WaitingCall);

    // The call to start next; null if none may start now.
    [[nodiscard]] const WaitingCall* next(std::uint32_t slots, TimePoint now) const;
    // Dequeues the call that next() returned.
    WaitingCall popNext(const WaitingCall& call) { return laneOf(call.isLong).queue.popFront(); }
    void remove(const WaitingCall&);

    void onStart(bool isLong) { ++laneOf(isLong).inFlight; }
    void onEnd(bool isLong) { --laneOf(isLong).inFlight; }

    [[nodiscard]] std::size_t size() const { return m_short.queue.size() + m_long.queue.size(); }
    // Maximum number of slots for long calls.
    [[nodiscard]] std::uint32_t longLimit(std::uint32_t slots, TimePoint now) const;
    // Number of slots up to which short calls are preferred to waiting long calls. Beyond it a long call that
    // may start goes first.
    [[nodiscard]] std::uint32_t shortPriorityLimit(std::uint32_t slots, TimePoint now) const;

private:
    // Queue and load of the short calls, or of the long calls.
    struct Lane {
        FairQueue queue;
        std::uint32_t inFlight { 0 };
        // Offered load in slots (arrival rate times run time), exponentially decayed.
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
