#include "operate/operator_http.h"

#include "operate/metrics.h"
#include "operate/operator_client.h"
#include "operate/timeline.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <thread>

using namespace fulmar;
using namespace fulmar::operate;

namespace {

using std::chrono::seconds;

// A server that answers statements with their text, from a thread of its own.
struct EchoServer {
    std::vector<std::thread> threads;
    std::vector<std::string> ids;
    OperatorHttp http;

    explicit EchoServer(const OperatorHttpSettings& settings = {})
        : http(settings, handlers())
    {
    }
    ~EchoServer()
    {
        for (auto& thread : threads)
            thread.join();
    }

    OperatorHandlers handlers()
    {
        OperatorHandlers result;
        result.operate = [this](const std::string& body, const HttpRespond& respond) {
            auto request = operatorRequestFromJson(body);
            ids.push_back(request ? request->origin.id.value() : "");
            threads.emplace_back([request, respond] {
                respond({ 200, "application/json",
                    toJson(sentence(AnswerStatus::Ok, request ? request->text : request.error().detail)) });
            });
        };
        result.timeline = [](const TimelineRequest& request, const HttpRespond& respond) {
            Event event { { WallTime(seconds(7)), 0 }, ProcessId("p"), "asked",
                { { "statement", request.statement } } };
            respond({ 200, "application/json", timelineJson({ event }) });
        };
        result.metrics = [] { return "fulmar_up 1\n"; };
        result.isHealthy = [] { return true; };
        result.isReady = [] { return false; };
        return result;
    }

    [[nodiscard]] std::string address() const { return fmt::format("127.0.0.1:{}", http.port()); }
};

// An address at which nobody listens.
std::string deadAddress()
{
    std::string address;
    {
        EchoServer gone;
        address = gone.address();
    }
    return address;
}

OperatorRequest request(const std::string& text)
{
    return { text, { OperationId("c1"), "alice", {} }, false };
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorHttpServer)

BOOST_AUTO_TEST_CASE(StatementsAreAnsweredFromAnyThread)
{
    EchoServer server;
    auto answer = OperatorClient({ server.address() }, seconds(5)).send(request("show vms"));
    BOOST_TEST(answer.message == "show vms");
}

BOOST_AUTO_TEST_CASE(TheNextServerIsTriedWithTheSameId)
{
    EchoServer server;
    auto answer
        = OperatorClient({ deadAddress(), server.address() }, seconds(5)).send(request("drain vm v1"));
    BOOST_CHECK(answer.status == AnswerStatus::Ok);
    BOOST_TEST(server.ids == std::vector<std::string> { "c1" });
    auto none = OperatorClient({ deadAddress() }, seconds(5)).send(request("drain vm v1"));
    BOOST_CHECK(none.status == AnswerStatus::Unavailable);
}

BOOST_AUTO_TEST_CASE(AddressesThatAreNotAllowedAreRefused)
{
    OperatorHttpSettings settings;
    settings.allowed = { "192.0.2.1" };
    EchoServer server(settings);
    auto answer = OperatorClient({ server.address() }, seconds(5)).send(request("show vms"));
    BOOST_CHECK(answer.status != AnswerStatus::Ok);
    BOOST_TEST(server.ids.empty());
}

BOOST_AUTO_TEST_CASE(BodiesBeyondTheLimitAreRefused)
{
    OperatorHttpSettings settings;
    settings.maxBodyBytes = 100;
    EchoServer server(settings);
    auto answer = OperatorClient({ server.address() }, seconds(5)).send(request(std::string(1000, 'x')));
    BOOST_CHECK(answer.status != AnswerStatus::Ok);
    BOOST_TEST(server.ids.empty());
}

BOOST_AUTO_TEST_CASE(TimeLinesOfSeveralServersAreMerged)
{
    EchoServer first;
    EchoServer second;
    auto silent = deadAddress();
    auto collected = OperatorClient({ first.address(), silent, second.address() }, seconds(5))
                         .collectTimeline("timeline vm \"v 1\"");
    BOOST_REQUIRE(collected.events.size() == 1);
    BOOST_TEST(fieldValue(collected.events[0], "statement") == "timeline vm \"v 1\"");
    BOOST_TEST(collected.silentServers == std::vector<std::string> { silent });
}

BOOST_AUTO_TEST_CASE(MetricsAreNamedAndTheirLabelsBounded)
{
    MetricsRegistry metrics;
    metrics.add(Metric::Moves, 2, "spare");
    metrics.set(Metric::ConfigurationAge, 1.5);
    metrics.follow(Metric::Retries, 5);
    metrics.follow(Metric::Retries, 7);
    for (int i = 0; i < 1000; ++i)
        metrics.add(Metric::Refusals, 1, "reason" + std::to_string(i));
    metrics.updateProcessUsage();
    auto text = metrics.serialize();
    BOOST_TEST(text.find("fulmar_moves_total{pool=\"spare\"} 2") != std::string::npos);
    BOOST_TEST(text.find("fulmar_configuration_age_seconds 1.5") != std::string::npos);
    BOOST_TEST(text.find("fulmar_refusals_total{reason=\"other\"} 488") != std::string::npos);
    BOOST_TEST(text.find("fulmar_retries_total 7") != std::string::npos);
    BOOST_TEST(text.find("fulmar_resident_bytes ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
