#include "io/caller_server.h"

#include "io/http_answers.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <functional>

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

std::string freeAddress()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

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

    Fixture()
    {
        CallerServerSettings limits;
        limits.address = freeAddress();
        limits.maxUrlBytes = 200;
        limits.maxHeaderFieldBytes = 200;
        limits.maxHeaders = 5;
        limits.maxBodyBytes = 100;
        limits.readTimeout = 1s;
        port = static_cast<std::uint16_t>(std::stoul(limits.address.substr(limits.address.find(':') + 1)));
        server = CallerServer::start(loop, limits, [this](CallId id, const CallerRequest& request) {
            ++calls;
            answer(*server, id, request);
        }).value();
    }

    asio::io_context loop { 1 };
    std::uint16_t port { 0 };
    int calls { 0 };
    Answer answer;
    std::unique_ptr<CallerServer> server;
};

const std::string get = "GET /plans/route?x=1 HTTP/1.1\r\nHost: a\r\nFulmar-Caller: crew\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerServerTest, Fixture)

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
