#include "serve/admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::serve;
using namespace std::chrono_literals;

namespace {

const TimePoint t0 { 1000s };

WaitingCall callOf(RequestId request, const std::string& caller, bool isLong, Duration run)
{
    return { request, caller, isLong, run, run, t0 + 10s, t0 };
}

// Turns by the book: counts for each caller how often it was served, and serves who was served least
// recently.
struct PlainTurns {
    std::vector<std::pair<std::string, std::vector<RequestId>>> callers;

    void push(const std::string& caller, RequestId request)
    {
        for (auto& [name, requests] : callers)
            if (name == caller) {
                requests.push_back(request);
                return;
            }
        callers.push_back({ caller, { request } });
    }

    RequestId pop()
    {
        auto first = std::move(callers.front());
        callers.erase(callers.begin());
        auto request = first.second.front();
        first.second.erase(first.second.begin());
        if (!first.second.empty())
            callers.push_back(std::move(first));
        return request;
    }
};

// First in, first out, whoever calls.
class QueueWithoutTurns {
public:
    void push(WaitingCall call) { m_calls.push_back(std::move(call)); }
    WaitingCall popFront()
    {
        auto call = std::move(m_calls.front());
        m_calls.pop_front();
        return call;
    }
    [[nodiscard]] std::size_t size() const { return m_calls.size(); }

private:
    std::deque<WaitingCall> m_calls;
};

// Whether the queue serves as the plain turns do. Steps 0 to 3 (modulo 6) add a call of that caller, others
// serve one.
template <typename Queue> bool servesInTurns(const std::vector<std::uint8_t>& steps)
{
    Queue queue;
    PlainTurns plain;
    std::size_t size = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (auto caller = steps[i] % 6; caller < 4) {
            auto name = "c" + std::to_string(caller);
            queue.push(callOf(RequestId(i), name, false, 1ms));
            plain.push(name, RequestId(i));
            ++size;
        } else if (size > 0) {
            if (queue.popFront().request != plain.pop())
                return false;
            --size;
        }
        if (queue.size() != size)
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionDecisions)

RC_BOOST_PROP(CallersAreServedInTurns, ())
{
    auto steps = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    RC_ASSERT(servesInTurns<FairQueue>(steps));
}

BOOST_AUTO_TEST_CASE(AQueueWithoutTurnsIsNoticed)
{
    // Two calls of one caller, one of another, then two are served.
    BOOST_TEST(servesInTurns<FairQueue>({ 0, 0, 1, 5, 5 }));
    BOOST_TEST(!servesInTurns<QueueWithoutTurns>({ 0, 0, 1, 5, 5 }));
}

// With a full queue the caller that waits with most calls makes room.
BOOST_AUTO_TEST_CASE(AFullQueueMakesRoomForOtherCallers)
{
    Admission admission;
    for (RequestId i = 1; i <= 4; ++i)
        BOOST_TEST(admission.offer(callOf(i, "heavy", false, 1ms), 1, 4, t0).admitted);
    BOOST_TEST(!admission.offer(callOf(5, "heavy", false, 1ms), 1, 4, t0).admitted);
    auto light = admission.offer(callOf(6, "light", false, 1ms), 1, 4, t0);
    BOOST_TEST(light.admitted);
    BOOST_TEST(light.evicted.value_or(0) == 4U);
    BOOST_TEST(admission.size() == 4U);
}

// A call is refused exactly if the work before it, on the slots there are, takes over a quarter of its time.
RC_BOOST_PROP(WhatCannotBeInTimeIsRefused, ())
{
    Admission admission;
    auto run = std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
    auto slots = *rc::gen::inRange(1U, 10U);
    Duration work {};
    for (RequestId i = 1; i <= 100; ++i) {
        auto wait = work / std::int64_t(slots);
        bool fits = wait <= 2500ms && wait + run <= 10s;
        RC_ASSERT(admission.offer(callOf(i, "c", false, run), slots, 1000, t0).admitted == fits);
        work += fits ? run : 0ms;
    }
}

BOOST_AUTO_TEST_CASE(LongCallsLeaveSlotsForShortOnesThatCome)
{
    constexpr std::uint32_t slots = 8;
    Admission admission;
    BOOST_TEST(admission.longLimit(slots, t0) == slots);
    // Short calls that fill two slots: 200 calls of 50 ms in five seconds.
    for (RequestId i = 0; i < 200; ++i) {
        auto now = t0 + std::int64_t(i) * 25ms;
        std::ignore = admission.offer(callOf(i, "c", false, 50ms), slots, 1000, now);
        admission.remove(callOf(i, "c", false, 50ms));
    }
    auto now = t0 + 5s;
    auto limit = admission.longLimit(slots, now);
    BOOST_TEST(limit < slots);
    BOOST_TEST(limit >= slots / 2);
    for (RequestId i = 1000; i < 1020; ++i)
        std::ignore = admission.offer(callOf(i, "c", true, 100ms), slots, 1000, now);
    std::uint32_t started = 0;
    while (const auto* call = admission.next(slots, now)) {
        admission.pop(*call);
        admission.onStart(true);
        ++started;
    }
    BOOST_TEST(started == limit);
    // Without short calls the slots go back to long ones.
    BOOST_TEST(admission.longLimit(slots, now + 60s) == slots);
}

BOOST_AUTO_TEST_SUITE_END()
