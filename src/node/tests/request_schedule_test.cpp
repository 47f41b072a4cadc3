#include "node/request_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

// A node is expected to be up to date from this long after the end of an outage on.
constexpr auto contactTime = 3'000ms;
// A change of the configuration must be in force after at most this time.
constexpr auto applyTime = 2'000ms;
constexpr auto step = 5ms;
constexpr auto pause = 10ms;
constexpr auto roundTrip = 10ms;

struct Outage {
    TimePoint begin;
    TimePoint end;
};

// A follower of a store that answers nothing during an outage, in virtual time. A request that the store
// receives or would answer during the outage, or holds back over it, gets no answer. A row changes during the
// outage, so no poll is held back after it.
class FollowedStore {
public:
    // `holdsPolls`: no row changes before the outage, so polls are held back. `pages` pages are read first.
    FollowedStore(Outage outage, bool holdsPolls, int pages, std::chrono::milliseconds feedWait)
        : m_outage(outage)
        , m_holdsPolls(holdsPolls)
        , m_pagesLeft(pages)
        , m_feedWait(feedWait)
    {
    }

    // Time from the end of the outage until the follower has read all pages and then an answer that the store
    // gave after the outage.
    [[nodiscard]] Duration recoveryTime(TimePoint begin)
    {
        m_now = begin;
        send();
        while (!m_recoveredAt) {
            m_now += step;
            deliver();
            if (auto next = m_schedule.nextSend(); next && m_now >= *next)
                send();
        }
        return *m_recoveredAt - m_outage.end;
    }

    [[nodiscard]] std::size_t maxInFlight() const { return m_maxInFlight; }

private:
    struct Request {
        int stepNumber { 0 };
        TimePoint answeredAt;
        TimePoint timesOutAt;
        bool isLost { false };
    };

    void send()
    {
        auto plan = m_schedule.plan(m_pagesLeft > 0 ? 0ms : m_feedWait);
        auto holdsBack = m_holdsPolls && m_now < m_outage.end ? plan.wait : 0ms;
        m_schedule.onSent(m_now, plan);
        auto answeredAt = m_now + holdsBack + roundTrip;
        auto isLost = m_now < m_outage.end && answeredAt > m_outage.begin;
        m_requests.push_back({ m_stepNumber, answeredAt, m_now + requestTimeout(plan.wait), isLost });
        m_maxInFlight = std::max(m_maxInFlight, m_requests.size());
    }

    void deliver()
    {
        for (auto& request : std::exchange(m_requests, {})) {
            if (!request.isLost && m_now >= request.answeredAt)
                answer(request);
            else if (m_now >= request.timesOutAt)
                fail(request);
            else
                m_requests.push_back(request);
        }
    }

    void answer(const Request& request)
    {
        if (request.stepNumber != m_stepNumber)
            return;
        ++m_stepNumber;
        m_schedule.onAnswer(m_now, m_pagesLeft > 1 ? 0ms : pause);
        if (m_pagesLeft > 0)
            --m_pagesLeft;
        else if (request.answeredAt >= m_outage.end)
            m_recoveredAt = m_now;
    }

    void fail(const Request& request)
    {
        if (request.stepNumber == m_stepNumber)
            m_schedule.onFailure(m_now);
    }

    const Outage m_outage;
    const bool m_holdsPolls;
    int m_pagesLeft;
    const std::chrono::milliseconds m_feedWait;
    TimePoint m_now;
    int m_stepNumber { 0 };
    RequestSchedule m_schedule;
    std::vector<Request> m_requests;
    std::size_t m_maxInFlight { 0 };
    std::optional<TimePoint> m_recoveredAt;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_schedule)

// Guards against a follower whose only request is lost in an outage, and the next one too.
BOOST_AUTO_TEST_CASE(ASilentOutageOfAnyLengthEndsWithinTheContactTime)
{
    auto holds = rc::check("a node is up to date in time after a silent outage", [] {
        TimePoint begin { 1'000s };
        auto outageBegin = begin + std::chrono::milliseconds(*rc::gen::inRange(0, 4'000));
        Outage outage { outageBegin,
            outageBegin + std::chrono::milliseconds(*rc::gen::inRange(100, 10'000)) };
        FollowedStore store(outage, *rc::gen::arbitrary<bool>(), 0, feedWaitFor(applyTime));
        RC_ASSERT(store.recoveryTime(begin) < contactTime);
    });
    BOOST_TEST(holds);
}

// Guards against a wait for the store that does not follow the time in which changes must be in force.
BOOST_AUTO_TEST_CASE(NewsAfterALostPollAreNoOlderThanTheApplyTime)
{
    auto holds = rc::check("the wait of polls follows the apply time", [] {
        std::chrono::milliseconds maxAge(*rc::gen::inRange(int(minNewsAge.count()), 6'000));
        TimePoint begin { 1'000s };
        auto outageBegin = begin + std::chrono::milliseconds(*rc::gen::inRange(0, 4'000));
        Outage outage { outageBegin,
            outageBegin + std::chrono::milliseconds(*rc::gen::inRange(100, 10'000)) };
        FollowedStore store(outage, *rc::gen::arbitrary<bool>(), 0, feedWaitFor(maxAge));
        RC_ASSERT(store.recoveryTime(begin) <= maxAge);
    });
    BOOST_TEST(holds);
}

// Guards against time-outs that add up over the pages of a table that is read in full.
BOOST_AUTO_TEST_CASE(AnOutageDuringASnapshotEndsWithinTheContactTime)
{
    auto holds = rc::check("a node has read a table in time after a silent outage", [] {
        TimePoint begin { 1'000s };
        auto outageBegin = begin + std::chrono::milliseconds(*rc::gen::inRange(0, 100));
        Outage outage { outageBegin,
            outageBegin + std::chrono::milliseconds(*rc::gen::inRange(100, 10'000)) };
        FollowedStore store(
            outage, *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 10), feedWaitFor(applyTime));
        RC_ASSERT(store.recoveryTime(begin) < contactTime);
    });
    BOOST_TEST(holds);
}

// Requests sent beside overdue ones must not exceed the store's rate limit or a process's descriptors.
BOOST_AUTO_TEST_CASE(FewRequestsAreInFlightDuringAnOutage)
{
    TimePoint begin { 1'000s };
    FollowedStore store({ begin + 1s, begin + 60s }, true, 0, maxFeedWait);
    static_cast<void>(store.recoveryTime(begin));
    BOOST_TEST(store.maxInFlight() <= 6U);
}

// A second request for an answer that is still arriving would only take bandwidth from it.
BOOST_AUTO_TEST_CASE(NothingIsSentBesideAnAnswerThatArrives)
{
    TimePoint now { 1'000s };
    RequestSchedule schedule;
    schedule.onSent(now, schedule.plan(0ms));
    for (int piece = 0; piece < 20; ++piece) {
        now += answerPatience / 2;
        schedule.onProgress(now);
        BOOST_TEST((*schedule.nextSend() > now + answerPatience / 2));
    }
}

// An idle connection may have been silent since before the request that is overdue.
BOOST_AUTO_TEST_CASE(AnOverdueRequestIsRepeatedOnANewConnection)
{
    TimePoint now { 1'000s };
    RequestSchedule schedule;
    BOOST_TEST(!schedule.plan(maxFeedWait).opensConnection);
    schedule.onSent(now, schedule.plan(maxFeedWait));
    BOOST_TEST(schedule.plan(maxFeedWait).opensConnection);
    schedule.onAnswer(now + 1s, 10ms);
    BOOST_TEST(!schedule.plan(maxFeedWait).opensConnection);
}

// Guards against a process that is suspended, and on waking up takes an answer from before for a recent one.
BOOST_AUTO_TEST_CASE(AnAnswerReadAfterASuspensionConfirmsNothingRecent)
{
    TimePoint sent { 1'000s };
    BOOST_TEST((confirmedTime(sent, maxFeedWait, sent + 8s) == sent));
    BOOST_TEST((confirmedTime(sent, 0ms, sent + 1s) == sent));
}

BOOST_AUTO_TEST_CASE(AnAnswerInTimeConfirmsTheMomentItArrives)
{
    TimePoint sent { 1'000s };
    auto received = sent + maxFeedWait + roundTrip;
    BOOST_TEST((confirmedTime(sent, maxFeedWait, received) == received));
}

BOOST_AUTO_TEST_SUITE_END()
