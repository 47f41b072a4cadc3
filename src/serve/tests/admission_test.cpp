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

// Reference implementation: callers wait in a list, and a served caller moves to its end.
struct ReferenceRoundRobin {
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

// First in, first out over all callers.
class FifoQueue {
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

// Whether the queue serves callers like the reference. Of the steps modulo 6, 0 to 3 add a call of that
// caller, and the others serve a call.
template <typename Queue> bool servesRoundRobin(const std::vector<std::uint8_t>& steps)
{
    Queue queue;
    ReferenceRoundRobin reference;
    std::size_t size = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (auto caller = steps[i] % 6; caller < 4) {
            auto name = "c" + std::to_string(caller);
            queue.push(callOf(RequestId(i), name, false, 1ms));
            reference.push(name, RequestId(i));
            ++size;
        } else if (size > 0) {
            if (queue.popFront().request != reference.pop())
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

RC_BOOST_PROP(CallersAreServedRoundRobin, ())
{
    auto steps = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    RC_ASSERT(servesRoundRobin<FairQueue>(steps));
}

BOOST_AUTO_TEST_CASE(AFifoQueueFailsTheRoundRobinCheck)
{
    // Two calls of one caller, one of another, then two calls are served.
    BOOST_TEST(servesRoundRobin<FairQueue>({ 0, 0, 1, 5, 5 }));
    BOOST_TEST(!servesRoundRobin<FifoQueue>({ 0, 0, 1, 5, 5 }));
}

// When the queue is full, the newest call of the caller with the most waiting calls is evicted.
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

// A call is refused exactly if the work ahead of it would take over a quarter of the time to its deadline, or
// if it could not finish before the deadline.
RC_BOOST_PROP(CallsThatCannotFinishInTimeAreRefused, ())
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

BOOST_AUTO_TEST_CASE(LongCallsLeaveSlotsForShortCalls)
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
        admission.popNext(*call);
        admission.onStart(true);
        ++started;
    }
    BOOST_TEST(started == limit);
    // Without short calls the limit of long calls rises to all slots again.
    BOOST_TEST(admission.longLimit(slots, now + 60s) == slots);
}

BOOST_AUTO_TEST_SUITE_END()
