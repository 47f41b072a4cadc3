#include "io/target_client.h"

#include "scripted_target.h"

#include <boost/test/unit_test.hpp>
#include <curl/curl.h>
#include <thread>

using namespace fulmar;
using namespace std::chrono_literals;
using fulmar::testing::ScriptedTarget;
using fulmar::testing::Step;

namespace {

constexpr auto completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

// A TargetClient with the end and answer of its last attempt.
class Client {
public:
    explicit Client(asio::io_context& loop)
        : m_loop(loop)
        , m_client(loop, { 2s, 1'000 })
    {
    }

    const serve::AttemptEnd& send(
        const std::string& address, const std::string& method = "POST", Duration timeout = 20s)
    {
        start(address, method, timeout);
        return wait();
    }

    void start(const std::string& address, const std::string& method = "POST", Duration timeout = 20s)
    {
        m_isDone = false;
        m_pieces.clear();
        m_head.reset();
        AnswerSink sink;
        sink.begin = [this](HttpAnswer head, std::optional<std::uint64_t> length) {
            m_head = std::move(head);
            m_length = length;
        };
        sink.append = [this](const std::string& piece) {
            m_pieces += piece;
            return !m_isFull;
        };
        m_client.start(++m_last,
            { address, method, "/service/path?q=1", { { "X-Request-Id", "7" } }, {}, timeout, 8, false,
                m_restartsTimeout, {} },
            std::move(sink), [this](serve::AttemptEnd end, HttpAnswer answer) {
                m_isDone = true;
                m_end = end;
                m_answer = std::move(answer);
            });
    }

    void cancel() { m_client.cancel(m_last); }
    void resume() { m_client.resume(m_last); }
    void setFull(bool isFull) { m_isFull = isFull; }
    void setRestartsTimeout(bool restarts) { m_restartsTimeout = restarts; }

    [[nodiscard]] bool isDone() const { return m_isDone; }
    [[nodiscard]] const std::optional<HttpAnswer>& head() const { return m_head; }
    [[nodiscard]] std::optional<std::uint64_t> length() const { return m_length; }
    [[nodiscard]] const std::string& pieces() const { return m_pieces; }

    const serve::AttemptEnd& wait()
    {
        while (!m_isDone)
            m_loop.run_one();
        return m_end;
    }

    [[nodiscard]] const HttpAnswer& answer() const { return m_answer; }

private:
    asio::io_context& m_loop;
    TargetClient m_client;
    serve::AttemptId m_last { 0 };
    bool m_isDone { false };
    serve::AttemptEnd m_end;
    HttpAnswer m_answer;
    std::optional<HttpAnswer> m_head;
    std::optional<std::uint64_t> m_length;
    std::string m_pieces;
    bool m_isFull { false };
    bool m_restartsTimeout { false };
};

struct Fixture {
    asio::io_context loop { 1 };
    Client client { loop };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetClientTest, Fixture)

BOOST_AUTO_TEST_CASE(CompleteAnswerMeansRan)
{
    ScriptedTarget target(loop, { { completeAnswer } });
    auto end = client.send(target.address());
    BOOST_TEST((end.outcome == Outcome::Ran));
    BOOST_TEST(end.status.value() == 200);
    BOOST_TEST(client.answer().body == "hello");
}

// A process sends many orders at once and is busy or suspended past their time-outs. Answers that
// arrived meanwhile must count: if they are treated as lost, every order is resent on a new connection and
// the process never recovers.
BOOST_AUTO_TEST_CASE(AnswersReceivedWhileTheLoopIsBusyDoNotTimeOut)
{
    constexpr int calls = 20;
    constexpr auto timeout = 300ms;
    ScriptedTarget target(loop, std::deque<fulmar::testing::Step>(calls, { completeAnswer }));
    TargetClient many(loop, { 2s, 1'000 });
    int ran = 0;
    int ended = 0;
    for (int i = 1; i <= calls; ++i)
        many.start(serve::AttemptId(i), { target.address(), "POST", "/", {}, {}, timeout, calls }, {},
            [&](const serve::AttemptEnd& end, const HttpAnswer&) {
                ++ended;
                ran += end.outcome == Outcome::Ran ? 1 : 0;
            });
    while (target.requests() < calls)
        loop.run_one();
    std::this_thread::sleep_for(timeout + 50ms);
    while (ended < calls)
        loop.run_one();
    BOOST_TEST(ran == calls);
}

// Guards against a process that opens connections until it has no descriptor left for those of others.
BOOST_AUTO_TEST_CASE(ARequestOverTheLimitOfConnectionsIsNotRun)
{
    constexpr int limit = 3;
    ScriptedTarget target(loop, std::deque<fulmar::testing::Step>(limit, { {}, false, true }));
    TargetClient limited(loop, { 2s, 1'000, limit });
    std::vector<Outcome> outcomes;
    for (int i = 1; i <= limit + 1; ++i)
        limited.start(serve::AttemptId(i), { target.address(), "POST", "/", {}, {}, 200ms, limit }, {},
            [&](const serve::AttemptEnd& end, const HttpAnswer&) { outcomes.push_back(end.outcome); });
    while (outcomes.size() <= limit)
        loop.run_one();
    BOOST_TEST((outcomes.front() == Outcome::NotRun));
    BOOST_TEST(std::count(outcomes.begin(), outcomes.end(), Outcome::NotRun) == 1);
    BOOST_TEST(target.connections() == limit);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsGiveWayToRequestsToOtherTargets)
{
    TargetClient limited(loop, { 2s, 1'000, 3 });
    for (int i = 1; i <= 9; ++i) {
        ScriptedTarget target(loop, { { completeAnswer } });
        std::optional<Outcome> outcome;
        limited.start(serve::AttemptId(i), { target.address(), "POST", "/", {}, {}, 1s, 8 }, {},
            [&](const serve::AttemptEnd& end, const HttpAnswer&) { outcome = end.outcome; });
        while (!outcome)
            loop.run_one();
        BOOST_TEST((*outcome == Outcome::Ran));
    }
}

BOOST_AUTO_TEST_CASE(SilentTargetTimesOutAndItsConnectionIsClosed)
{
    ScriptedTarget target(loop, { { {}, false, true } });
    auto begin = std::chrono::steady_clock::now();
    auto end = client.send(target.address(), "POST", 100ms);
    auto took = std::chrono::steady_clock::now() - begin;
    BOOST_TEST((end.outcome == Outcome::MayHaveRun));
    BOOST_TEST((took >= 100ms));
    BOOST_TEST((took < 1s));
    // The connection is closed, so that a late answer is never taken for that of the next request.
    BOOST_TEST(client.send(target.address(), "POST", 100ms).status.has_value() == false);
    BOOST_TEST(target.connections() == 2);
}

// Guards against connections that went silent together, as after a network device lost their state: each of
// the next requests waited for its time-out on another of them.
BOOST_AUTO_TEST_CASE(AfterATimeOutTheNextRequestOpensAConnection)
{
    constexpr int connections = 4;
    std::deque<fulmar::testing::Step> script(connections, { completeAnswer });
    script.push_back({ {}, false, true });
    script.push_back({ completeAnswer });
    ScriptedTarget target(loop, script);
    TargetClient many(loop, { 2s, 1'000 });
    int ended = 0;
    std::optional<std::uint32_t> status;
    auto send = [&](serve::AttemptId id, Duration timeout) {
        many.start(id, { target.address(), "POST", "/", {}, {}, timeout, connections }, {},
            [&](const serve::AttemptEnd& end, const HttpAnswer&) {
                ++ended;
                status = end.status;
            });
    };
    auto waitFor = [&](int count) {
        while (ended < count)
            loop.run_one();
    };
    for (int i = 1; i <= connections; ++i)
        send(serve::AttemptId(i), 2s);
    waitFor(connections);
    BOOST_REQUIRE_EQUAL(target.connections(), connections);
    send(connections + 1, 100ms);
    waitFor(connections + 1);
    BOOST_TEST(!status.has_value());
    BOOST_TEST(target.connections() == connections);
    send(connections + 2, 2s);
    waitFor(connections + 2);
    BOOST_TEST(status.value_or(0) == 200U);
    BOOST_TEST(target.connections() == connections + 1);
}

// Guards against a request in flight that is cut off by the time-out of another one to the same target.
BOOST_AUTO_TEST_CASE(ATimeOutLeavesConnectionsInUseAlone)
{
    ScriptedTarget target(loop, { { completeAnswer, false, false, 60ms }, { {}, false, true } });
    TargetClient many(loop, { 2s, 1'000 });
    std::vector<std::optional<int>> statuses;
    for (serve::AttemptId id : { 1, 2 })
        many.start(id, { target.address(), "POST", "/", {}, {}, id == 1 ? 2s : 100ms, 4 }, {},
            [&](const serve::AttemptEnd& end, const HttpAnswer&) { statuses.push_back(end.status); });
    while (statuses.size() < 2)
        loop.run_one();
    BOOST_TEST(!statuses[0].has_value());
    BOOST_TEST(statuses[1].value_or(0) == 200);
}

// Guards against a large answer over a small link that is given up and requested again, for ever, while its
// bytes arrive.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsStillArrivingIsNotGivenUp)
{
    std::string body(20, 'x');
    Step slow { "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + body, false, false, 50ms };
    ScriptedTarget target(loop, { slow, slow });
    client.setRestartsTimeout(true);
    BOOST_TEST((client.send(target.address(), "GET", 500ms).outcome == Outcome::Ran));
    BOOST_TEST(client.answer().body == body);
    client.setRestartsTimeout(false);
    BOOST_TEST(!client.send(target.address(), "GET", 500ms).status.has_value());
}

BOOST_AUTO_TEST_CASE(SilenceWithinAnAnswerTimesOut)
{
    ScriptedTarget target(loop, { { "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nx" } });
    client.setRestartsTimeout(true);
    auto begin = std::chrono::steady_clock::now();
    static_cast<void>(client.send(target.address(), "GET", 200ms));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 1s));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotRun)
{
    std::string address;
    {
        asio::io_context other;
        address = ScriptedTarget(other, {}).address();
    }
    auto end = client.send(address);
    BOOST_TEST((end.outcome == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(RequestMayHaveRunIfClosedBeforeAnswer)
{
    ScriptedTarget target(loop, { { {}, true } });
    auto end = client.send(target.address());
    BOOST_TEST((end.outcome == Outcome::MayHaveRun));
    BOOST_TEST(target.requests() == 1);
}

// The target closes the kept connection after reading the second request. A client that resends the request
// by itself runs it twice.
BOOST_AUTO_TEST_CASE(BrokenKeptConnectionIsNotRetried)
{
    for (const auto* method : { "POST", "GET", "PUT", "DELETE" }) {
        ScriptedTarget target(loop, { { completeAnswer }, { {}, true }, { completeAnswer } });
        BOOST_TEST((client.send(target.address(), method).outcome == Outcome::Ran));
        BOOST_TEST((client.send(target.address(), method).outcome == Outcome::MayHaveRun));
        BOOST_TEST(target.requests() == 2);
    }
}

// Shows that plain libcurl resends the request in this situation, so that the test above can fail.
BOOST_AUTO_TEST_CASE(PlainLibcurlResendsTheRequest)
{
    ScriptedTarget target(loop, { { completeAnswer }, { {}, true }, { completeAnswer } });
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), curl_easy_cleanup);
    std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)> multi(curl_multi_init(), curl_multi_cleanup);
    curl_easy_setopt(easy.get(), CURLOPT_URL, fmt::format("http://{}/", target.address()).c_str());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, "");
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(
        easy.get(), CURLOPT_WRITEFUNCTION,
        +[](char*, std::size_t, std::size_t count, void*) { return count; });
    for (int call = 0; call < 2; ++call) {
        curl_multi_add_handle(multi.get(), easy.get());
        for (int running = 1; running > 0;) {
            curl_multi_perform(multi.get(), &running);
            loop.poll();
        }
        curl_multi_remove_handle(multi.get(), easy.get());
    }
    BOOST_TEST(target.requests() == 3);
}

BOOST_AUTO_TEST_CASE(RequestMayHaveRunIfAnswerMayBeTruncated)
{
    const std::vector<std::string> unverifiable {
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Le",
        // Ends with the connection, so a complete body cannot be told from a truncated one.
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
    };
    for (const auto& reply : unverifiable) {
        ScriptedTarget target(loop, { { reply, true } });
        auto end = client.send(target.address());
        BOOST_TEST((end.outcome == Outcome::MayHaveRun), reply);
    }
}

BOOST_AUTO_TEST_CASE(ChunkedAnswerWithItsLastChunkIsComplete)
{
    ScriptedTarget target(
        loop, { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" } });
    auto end = client.send(target.address(), "GET");
    BOOST_TEST((end.outcome == Outcome::Ran));
    BOOST_TEST(client.answer().body == "hello");
}

BOOST_AUTO_TEST_CASE(LargeAnswerIsStreamedToTheSink)
{
    std::string body(500'000, 'x');
    ScriptedTarget target(
        loop, { { fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body) } });
    auto end = client.send(target.address());
    BOOST_TEST((end.outcome == Outcome::Ran));
    BOOST_TEST(end.responseStarted);
    BOOST_TEST(!end.bufferedBytes.has_value());
    BOOST_TEST(client.head()->status == 200U);
    BOOST_TEST(client.length().value() == body.size());
    BOOST_TEST((client.pieces() == body));
}

BOOST_AUTO_TEST_CASE(LargeTruncatedAnswerIsKnownToHaveStarted)
{
    ScriptedTarget target(loop,
        { { fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n{}", std::string(5'000, 'x')),
            true } });
    auto end = client.send(target.address());
    BOOST_TEST((end.outcome == Outcome::MayHaveRun));
    BOOST_TEST(end.responseStarted);
}

// A full sink pauses the transfer: no data is passed on until resume().
BOOST_AUTO_TEST_CASE(FullSinkPausesTheTransfer)
{
    std::string body(500'000, 'x');
    ScriptedTarget target(
        loop, { { fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body) } });
    client.setFull(true);
    client.start(target.address());
    while (!client.head())
        loop.run_one();
    auto taken = client.pieces().size();
    loop.poll();
    BOOST_TEST(client.pieces().size() == taken);
    BOOST_TEST(!client.isDone());
    client.setFull(false);
    client.resume();
    BOOST_TEST((client.wait().outcome == Outcome::Ran));
    BOOST_TEST((client.pieces() == body));
}

BOOST_AUTO_TEST_CASE(RequestToSilentTargetFailsWithDeadlineExceeded)
{
    ScriptedTarget target(loop, { { {}, false, true } });
    auto end = client.send(target.address(), "POST", 50ms);
    BOOST_TEST((end.outcome == Outcome::MayHaveRun));
    BOOST_TEST((end.reason == Reason::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(CancelledBeforeAConnectionIsNotRun)
{
    ScriptedTarget target(loop, { { completeAnswer } });
    client.start(target.address());
    client.cancel();
    BOOST_TEST((client.wait().outcome == Outcome::NotRun));
    loop.poll();
    BOOST_TEST(target.requests() == 0);
}

BOOST_AUTO_TEST_CASE(RequestMayHaveRunIfCancelledAfterSending)
{
    ScriptedTarget target(loop, { { {}, false, true } });
    client.start(target.address());
    while (target.requests() == 0)
        loop.run_one();
    client.cancel();
    BOOST_TEST((client.wait().outcome == Outcome::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(RefusalWithOutcomeHeaderIsNotRun)
{
    ScriptedTarget target(loop,
        { { "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nFulmar-Outcome: not-run\r\nFulmar-Target-State: "
            "leaving\r\n\r\n" },
            { "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" } });
    auto end = client.send(target.address());
    BOOST_TEST((end.outcome == Outcome::NotRun));
    BOOST_TEST(end.targetLeaving);
    BOOST_TEST((client.send(target.address()).outcome == Outcome::Ran));
}

BOOST_AUTO_TEST_CASE(TimedOutRequestDoesNotAffectTheNextTarget)
{
    ScriptedTarget slow(loop, { { {}, false, true } });
    ScriptedTarget fast(loop, { { completeAnswer } });
    client.start(slow.address(), "POST", 30ms);
    client.wait();
    auto end = client.send(fast.address());
    BOOST_TEST((end.outcome == Outcome::Ran));
    BOOST_TEST(client.answer().body == "hello");
}

BOOST_AUTO_TEST_SUITE_END()
