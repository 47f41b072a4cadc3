#include "io/caller_server.h"

#include "io/http_answers.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <functional>
#include <sys/resource.h>
#include <thread>

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxConnections = 4;

std::string freeAddress()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

const std::string get = "GET /plans/route?x=1 HTTP/1.1\r\nHost: a\r\nFulmar-Caller: crew\r\n\r\n";

// While it lives, the process can open no descriptor.
class ExhaustedDescriptors {
public:
    ExhaustedDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        auto none = m_before;
        none.rlim_cur = 0;
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    ExhaustedDescriptors(const ExhaustedDescriptors&) = delete;
    ExhaustedDescriptors& operator=(const ExhaustedDescriptors&) = delete;
    ~ExhaustedDescriptors() { ::setrlimit(RLIMIT_NOFILE, &m_before); }

private:
    rlimit m_before {};
};

// A caller server whose calls are answered by a function, and a raw TCP connection to it.
struct Fixture {
    using Answer = std::function<void(CallerServer&, CallId, const CallerRequest&)>;

    // Sends the request and reads until the server closes the connection.
    std::string talk(const std::string& request, Answer answerCall)
    {
        answer = std::move(answerCall);
        asio::ip::tcp::socket socket(loop);
        socket.connect({ asio::ip::address_v4::loopback(), port });
        std::string reply;
        bool isClosed = false;
        asio::write(socket, asio::buffer(request));
        asio::async_read(socket, asio::dynamic_buffer(reply),
            [&](const asio::error_code&, std::size_t) { isClosed = true; });
        while (!isClosed)
            loop.run_one();
        return reply;
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(loop);
        socket.connect({ asio::ip::address_v4::loopback(), port });
        return socket;
    }

    // Empty if there is no answer in time.
    std::string talkFor(std::chrono::milliseconds time, asio::ip::tcp::socket socket)
    {
        answer = [](CallerServer& callers, CallId id, const CallerRequest&) {
            callers.answer(id, HttpAnswer { 200, {}, "ok" }, true);
        };
        std::string reply;
        auto isClosed = false;
        asio::write(socket, asio::buffer(get));
        asio::async_read(socket, asio::dynamic_buffer(reply),
            [&](const asio::error_code&, std::size_t) { isClosed = true; });
        auto end = std::chrono::steady_clock::now() + time;
        while (!isClosed && std::chrono::steady_clock::now() < end)
            loop.run_one_for(10ms);
        asio::error_code ignored;
        socket.close(ignored);
        loop.run_for(1ms);
        return reply;
    }

    Fixture()
    {
        CallerServerSettings limits;
        limits.address = freeAddress();
        limits.maxUrlBytes = 200;
        limits.maxHeaderFieldBytes = 200;
        limits.maxHeaders = 5;
        limits.maxBodyBytes = 100;
        limits.maxConnections = maxConnections;
        limits.readTimeout = 1s;
        limits.guard = guard;
        port = static_cast<std::uint16_t>(std::stoul(limits.address.substr(limits.address.find(':') + 1)));
        server = CallerServer::start(loop, limits, [this](CallId id, const CallerRequest& request) {
            ++calls;
            answer(*server, id, request);
        }).value();
    }

    asio::io_context loop { 1 };
    std::uint16_t port { 0 };
    int calls { 0 };
    int closedClients { 0 };
    // Room for all connections, but for few bytes of requests.
    std::shared_ptr<ClientGuard> guard { std::make_shared<ClientGuard>(
        maxConnections * ClientMemory::bytesPerConnection + 300, [this](ClientFault) { ++closedClients; }) };
    Answer answer;
    std::unique_ptr<CallerServer> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerServerTest, Fixture)

// Guards against a server that accepts no connection any more, once accepting one has failed.
BOOST_AUTO_TEST_CASE(ConnectionsAreAcceptedAgainOnceDescriptorsAreFree)
{
    auto early = connect();
    {
        auto late = connect();
        ExhaustedDescriptors none;
        loop.run_for(100ms);
    }
    // Callers that wait when the server listens anew are reset, and come again.
    auto isServed = false;
    for (int tries = 0; tries < 3 && !isServed; ++tries)
        isServed = talkFor(1s, connect()).starts_with("HTTP/1.1 200");
    BOOST_TEST(isServed);
}

// Guards against a server that counts connections reset before it accepted them as open for ever.
BOOST_AUTO_TEST_CASE(ConnectionsResetEarlyDoNotUseUpTheLimit)
{
    for (std::size_t i = 0; i < 3 * maxConnections; ++i) {
        auto socket = connect();
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        loop.run_for(5ms);
    }
    BOOST_TEST(talkFor(2s, connect()).starts_with("HTTP/1.1 200"));
    BOOST_TEST(server->openConnections() <= 1U);
}

BOOST_AUTO_TEST_CASE(AConnectionOverTheLimitIsClosedAtOnce)
{
    std::vector<asio::ip::tcp::socket> open;
    for (std::size_t i = 0; i < maxConnections; ++i)
        open.push_back(connect());
    loop.run_for(20ms);
    auto refused = connect();
    auto isClosed = false;
    std::array<char, 1> byte {};
    refused.async_read_some(
        asio::buffer(byte), [&](const asio::error_code& error, std::size_t) { isClosed = bool(error); });
    loop.run_for(50ms);
    BOOST_TEST(isClosed);
    BOOST_TEST(server->openConnections() == maxConnections);
    open.clear();
    loop.run_for(20ms);
    BOOST_TEST(talkFor(1s, connect()).starts_with("HTTP/1.1 200"));
}

// Both timers are due in the same turn of the loop, and the first ends the server. A memory checker finds a
// check that outlives it.
BOOST_AUTO_TEST_CASE(AServerMayEndInTheTurnOfItsCheck)
{
    asio::steady_timer end(loop, 100ms);
    end.async_wait([&](const asio::error_code&) { server.reset(); });
    std::this_thread::sleep_for(700ms);
    loop.run_for(50ms);
    BOOST_TEST(!server);
}

BOOST_AUTO_TEST_CASE(RequestIsParsedAndAnswered)
{
    auto reply = talk(get, [](CallerServer& callers, CallId id, const CallerRequest& request) {
        BOOST_TEST(request.method == "GET");
        BOOST_TEST(request.path == "/plans/route?x=1");
        BOOST_TEST(request.caller == "crew");
        callers.answer(id, jsonAnswer(200, Outcome::Ran, "{}"), true);
    });
    BOOST_TEST(reply.find("Fulmar-Outcome: ran\r\n") != std::string::npos);
    BOOST_TEST(reply.ends_with("\r\n\r\n{}"));
}

BOOST_AUTO_TEST_CASE(CompleteStreamEndsWithTheLastChunk)
{
    auto reply = talk(get, [](CallerServer& callers, CallId id, const CallerRequest&) {
        callers.beginAnswer(id, { 200, {}, {} }, std::nullopt);
        callers.append(id, "hello", [](bool) {});
        callers.endAnswer(id, true);
    });
    BOOST_TEST(reply.ends_with("5\r\nhello\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(TruncatedStreamLacksTheLastChunk)
{
    auto reply = talk(get, [](CallerServer& callers, CallId id, const CallerRequest&) {
        callers.beginAnswer(id, { 200, {}, {} }, std::nullopt);
        callers.append(id, "hello", [](bool) {});
        callers.endAnswer(id, false);
    });
    BOOST_TEST(reply.ends_with("5\r\nhello\r\n"));
}

BOOST_AUTO_TEST_CASE(TruncatedStreamOfKnownLengthIsShort)
{
    auto reply = talk(get, [](CallerServer& callers, CallId id, const CallerRequest&) {
        callers.beginAnswer(id, { 200, {}, {} }, 10);
        callers.append(id, "hello", [](bool) {});
        callers.endAnswer(id, false);
    });
    BOOST_TEST(reply.find("Content-Length: 10\r\n") != std::string::npos);
    BOOST_TEST(reply.ends_with("\r\n\r\nhello"));
}

// A request that exceeds a limit, is malformed or arrives too slowly must not reach the call handler.
BOOST_AUTO_TEST_CASE(RejectedRequestsDoNotReachTheCallHandler)
{
    auto never = [](CallerServer&, CallId, const CallerRequest&) {
        BOOST_ERROR("request reached the call handler");
    };
    talk(fmt::format("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", std::string(500, 'u')), never);
    talk(fmt::format("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", std::string(500, 'h')), never);
    talk("GET / HTTP/1.1\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\nF: 1\r\n\r\n", never);
    talk(fmt::format("POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n{}", std::string(500, 'b')), never);
    talk("no http at all\r\n\r\n", never);
    talk("GET / HTTP/1.1\r\nHost:", never);
    BOOST_TEST(calls == 0);
}

// Guards against refusals that a client cannot read, since the rest of what it sends resets the connection.
BOOST_AUTO_TEST_CASE(RequestsOverAnOperatorsLimitsAreToldSo)
{
    server->setRequestLimits({ 100, 50 });
    auto never = [](CallerServer&, CallId, const CallerRequest&) {};
    auto body = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 51\r\n\r\n" + std::string(51, 'x');
    auto head = "GET /a HTTP/1.1\r\nHost: " + std::string(150, 'a') + "\r\n\r\n";
    BOOST_TEST(talk(body, never).starts_with("HTTP/1.1 413 "));
    BOOST_TEST(talk(head, never).starts_with("HTTP/1.1 431 "));
    BOOST_TEST(calls == 0);
    BOOST_TEST(talkFor(1s, connect()).starts_with("HTTP/1.1 200"));
}

// Guards against evicted connections that stay open or are counted twice, and against a budget that is still
// held after them.
BOOST_AUTO_TEST_CASE(ConnectionsOverTheBudgetAreClosedAndForgotten)
{
    std::vector<asio::ip::tcp::socket> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(connect());
        asio::error_code ignored;
        asio::write(crowd.back(),
            asio::buffer("POST /a HTTP/1.1\r\nContent-Length: 90\r\n\r\n" + std::string(80, 'x')), ignored);
        loop.run_for(5ms);
        BOOST_TEST(guard->memory().heldBytes() <= guard->memory().maxBytes());
        BOOST_TEST(server->openConnections() == guard->memory().connections());
    }
    BOOST_TEST(closedClients > 0);
    BOOST_TEST(talkFor(1s, connect()).starts_with("HTTP/1.1 200"));
    crowd.clear();
    loop.run_for(50ms);
    BOOST_TEST(server->openConnections() == 0U);
    BOOST_TEST(guard->memory().heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ProblemCarriesOutcomeAndRetryAfter)
{
    auto problem = problemAnswer({ Outcome::NotRun, Reason::Overloaded, "queue full" }, 2s);
    BOOST_TEST(problem.status == 503U);
    BOOST_TEST((problem.headers
        == std::vector<HeaderField> { { "Content-Type", "application/problem+json" },
            { "Fulmar-Outcome", "not-run" }, { "Retry-After", "2" } }));
    BOOST_TEST(problemAnswer({ Outcome::MayHaveRun, Reason::DeadlineExceeded, "" }, {}).status == 504U);
    BOOST_TEST(problemAnswer({ Outcome::MayHaveRun, Reason::TargetFailed, "" }, {}).status == 502U);
    BOOST_TEST(problemAnswer({ Outcome::NotRun, Reason::QuotaExceeded, "" }, {}).status == 429U);
}

BOOST_AUTO_TEST_SUITE_END()
