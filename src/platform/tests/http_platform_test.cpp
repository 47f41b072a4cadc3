#include "platform/http_platform.h"

#include "platform_server.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <future>
#include <thread>

namespace {

using namespace fulmar;
using namespace std::chrono_literals;

constexpr auto clientTimeout = 5s;

// The stand-in platform on a free port, served by its own thread. Its clock advances only through change().
class ServedPlatform {
public:
    ServedPlatform()
    {
        m_port = m_host.listen("127.0.0.1:0", [this](const standin::HttpRequest& request) {
            ++m_requests;
            return m_server.handle(m_clock.now(), request);
        });
        m_thread = std::thread([this] { m_host.run(); });
    }
    ~ServedPlatform()
    {
        m_host.stop();
        m_thread.join();
    }
    ServedPlatform(const ServedPlatform&) = delete;
    ServedPlatform& operator=(const ServedPlatform&) = delete;

    // Changes the state and the clock on the server's thread.
    template <typename Change> void change(Change change)
    {
        std::promise<void> done;
        asio::post(m_host.context(), [&] {
            change(m_state, m_clock);
            done.set_value();
        });
        done.get_future().wait();
    }

    [[nodiscard]] HttpPlatformOptions options(std::chrono::milliseconds timeout = clientTimeout) const
    {
        return { fmt::format("127.0.0.1:{}", m_port), timeout, timeout };
    }
    [[nodiscard]] int requests() const { return m_requests; }

private:
    ManualClock m_clock;
    standin::PlatformState m_state;
    standin::PlatformServer m_server { m_state };
    standin::HttpHost m_host;
    std::atomic<int> m_requests { 0 };
    std::uint16_t m_port { 0 };
    std::thread m_thread;
};

Transaction put(
    const std::string& operation, const std::string& key, const std::string& value, Version version)
{
    return { OperationId(operation), { { key, version } }, { { key, value, false } } };
}

// Answers the first request on its first connection, reads the second and closes without a reply; then
// accepts one more connection and answers its first request. Counts the requests read.
class DroppingServer {
public:
    DroppingServer()
        : m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { serve(); })
    {
    }
    ~DroppingServer()
    {
        // Unblocks the second accept() if no client has connected.
        asio::error_code ignored;
        asio::ip::tcp::socket(m_context).connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    DroppingServer(const DroppingServer&) = delete;
    DroppingServer& operator=(const DroppingServer&) = delete;

    [[nodiscard]] HttpPlatformOptions options() const
    {
        return { fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port()), clientTimeout,
            clientTimeout };
    }
    [[nodiscard]] int requests() const { return m_requests; }

private:
    void serve()
    {
        {
            auto connection = m_acceptor.accept();
            if (readRequest(connection))
                answer(connection);
            readRequest(connection);
        }
        auto connection = m_acceptor.accept();
        if (readRequest(connection))
            answer(connection);
    }

    bool readRequest(asio::ip::tcp::socket& connection)
    {
        asio::error_code error;
        std::string request;
        const auto head = asio::read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return false;
        ++m_requests;
        const std::string lengthField = "Content-Length: ";
        const auto position = request.find(lengthField);
        if (position == std::string::npos)
            return true;
        const auto wanted = head + std::stoul(request.substr(position + lengthField.size()));
        if (request.size() < wanted)
            asio::read(connection, asio::dynamic_buffer(request),
                asio::transfer_exactly(wanted - request.size()), error);
        return true;
    }

    static void answer(asio::ip::tcp::socket& connection)
    {
        const std::string body = R"({"version":1,"rows":[],"tableVersion":1})";
        asio::error_code ignored;
        asio::write(connection,
            asio::buffer(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)),
            ignored);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_platform)

BOOST_AUTO_TEST_CASE(commitsAndReadsBackRowsWithTheirOperation)
{
    ServedPlatform served;
    HttpPlatform platform(served.options());
    BOOST_TEST(platform.commit(put("op-1", "config/pool/a b&c", "\"quoted\" \xc3\xa9", 0)).value() == 1U);

    const auto changes = platform.read("config/pool/a b", 0).value();
    BOOST_REQUIRE(changes.rows.size() == 1U);
    const Row expected { "config/pool/a b&c", "\"quoted\" \xc3\xa9", 1, OperationId("op-1"), false };
    BOOST_TEST((changes.rows.front() == expected));
    BOOST_TEST(changes.tableVersion == 1U);
    BOOST_TEST(platform.read("config/", 1).value().rows.empty());
    BOOST_TEST(platform.traffic().reads == 2U);
    BOOST_TEST(platform.traffic().writes == 1U);
    BOOST_TEST(platform.traffic().bytesReceived > 0U);
}

BOOST_AUTO_TEST_CASE(conflictingCommitIsNotRun)
{
    ServedPlatform served;
    HttpPlatform platform(served.options());
    BOOST_REQUIRE(platform.commit(put("op-1", "k", "1", 0)));
    const auto second = platform.commit(put("op-2", "k", "2", 0));
    BOOST_TEST(second.error().outcome == Outcome::NotRun);
    BOOST_TEST(second.error().reason == Reason::Conflict);
    BOOST_TEST(platform.read("k", 0).value().rows.front().value == "1");
}

BOOST_AUTO_TEST_CASE(lostReplyMayHaveRunAndTheOperationCanBeReadBack)
{
    ServedPlatform served;
    HttpPlatform platform(served.options());
    served.change([](auto& state, auto&) { state.switches.loseNextReplies = 1; });
    const auto lost = platform.commit(put("op-1", "k", "1", 0));
    BOOST_TEST(lost.error().outcome == Outcome::MayHaveRun);
    BOOST_TEST(lost.error().reason == Reason::StoreUnavailable);
    BOOST_TEST(platform.read("k", 0).value().rows.front().operation == OperationId("op-1"));
    BOOST_TEST(served.requests() == 2);
}

BOOST_AUTO_TEST_CASE(callToAFailingServerMayHaveRunAndToAClosedPortIsNotRun)
{
    HttpPlatformOptions options;
    {
        ServedPlatform served;
        options = served.options();
        served.change([](auto& state, auto&) { state.switches.down = true; });
        HttpPlatform platform(options);
        BOOST_TEST(platform.commit(put("op-1", "k", "1", 0)).error().outcome == Outcome::MayHaveRun);
        BOOST_TEST(platform.read("k", 0).error().reason == Reason::StoreUnavailable);
    }
    HttpPlatform platform(options);
    const auto refused = platform.commit(put("op-2", "k", "1", 0));
    BOOST_TEST(refused.error().outcome == Outcome::NotRun);
    BOOST_TEST(refused.error().reason == Reason::StoreUnavailable);
}

BOOST_AUTO_TEST_CASE(slowReplyTimesOutAsMayHaveRun)
{
    ServedPlatform served;
    served.change([](auto& state, auto&) { state.switches.slow = 60s; });
    HttpPlatform platform(served.options(100ms));
    const auto late = platform.commit(put("op-1", "k", "1", 0));
    BOOST_TEST(late.error().outcome == Outcome::MayHaveRun);
    served.change([](auto& state, auto&) { BOOST_TEST(state.table.version() == 1U); });
}

BOOST_AUTO_TEST_CASE(writeIsNotRepeatedWhenAReusedConnectionDies)
{
    DroppingServer server;
    HttpPlatform platform(server.options());
    BOOST_REQUIRE(platform.commit(put("op-1", "k", "1", 0)));
    const auto lost = platform.commit(put("op-2", "k", "2", 1));
    BOOST_TEST(lost.error().outcome == Outcome::MayHaveRun);
    BOOST_TEST(server.requests() == 2);
}

// Checks that DroppingServer makes libcurl resend a request where that is allowed, as the test above assumes.
BOOST_AUTO_TEST_CASE(readIsRepeatedWhenAReusedConnectionDies)
{
    DroppingServer server;
    HttpPlatform platform(server.options());
    BOOST_REQUIRE(platform.read("k", 0));
    BOOST_TEST(platform.read("k", 0).has_value());
    BOOST_TEST(server.requests() == 3);
}

BOOST_AUTO_TEST_CASE(objectNamesMayHaveReservedCharacters)
{
    ServedPlatform served;
    HttpPlatform platform(served.options());
    const std::string content("\0binary\xff", 8);
    BOOST_REQUIRE(platform.putObject("checkpoint/a?b=c", content));
    BOOST_TEST((platform.getObject("checkpoint/a?b=c").value() == content));
    BOOST_TEST(platform.getObject("none").error().reason == Reason::NotFound);
}

BOOST_AUTO_TEST_CASE(rebootHappensOnceAndTheListLagsBehindIt)
{
    ServedPlatform served;
    HttpPlatform platform(served.options());
    const VmId vm("vm-1");
    served.change([&](auto& state, auto& clock) {
        state.vms.add(clock.now(), { vm, VmPresence::Live, "127.0.0.1:1", ZoneId("z"), RackId("r") });
        clock.advance(10s);
    });
    BOOST_REQUIRE(platform.rebootVm(vm, OperationId("reboot-1")));
    BOOST_REQUIRE(platform.rebootVm(vm, OperationId("reboot-1")));
    BOOST_TEST(platform.listVms().value().size() == 1U);
    served.change([&](auto& state, auto& clock) {
        BOOST_TEST(state.vms.reboots() == 1U);
        clock.advance(2500ms);
    });
    BOOST_TEST(platform.listVms().value().empty());
    served.change([&](auto&, auto& clock) { clock.advance(10s); });
    BOOST_TEST(platform.listVms().value().size() == 1U);
}

BOOST_AUTO_TEST_CASE(taskRunsOnceUnderItsLeaseAndContinuesFromACheckpoint)
{
    ServedPlatform served;
    HttpPlatform platform(served.options());
    const VmId worker("w-1");
    const TaskId task("t-1");
    served.change([&](auto& state, auto&) {
        standin::WorkerSeed seed;
        seed.worker = worker;
        state.workers.add(seed);
        state.workers.setTruth(JobId("j"), { 30s, 2.5, 700, false });
    });
    TaskStart start { task, JobId("j"), OperationId("s-1"), 1, 100, 0, 10s, {} };
    BOOST_REQUIRE(platform.startTask(worker, start));
    BOOST_REQUIRE(platform.startTask(worker, start));
    served.change([](auto&, auto& clock) { clock.advance(8s); });
    BOOST_REQUIRE(platform.orderTask(worker, task, TaskOrder::Checkpoint, OperationId("o-1")));
    auto report = platform.listWorkers().value().front().tasks.front();
    BOOST_TEST(report.processorsUsed == 2.5);
    BOOST_TEST(!report.checkpoint.empty());
    served.change([](auto&, auto& clock) { clock.advance(8s); });
    report = platform.listWorkers().value().front().tasks.front();
    BOOST_TEST((report.phase == TaskPhase::LeaseLapsed));

    start.operation = OperationId("s-2");
    start.checkpoint = report.checkpoint;
    start.lease = 60s;
    BOOST_REQUIRE(platform.startTask(worker, start));
    served.change([&](auto& state, auto& clock) {
        clock.advance(23s);
        BOOST_TEST(state.workers.starts().at(task) == 2U);
    });
    report = platform.listWorkers().value().front().tasks.front();
    BOOST_TEST((report.phase == TaskPhase::Finished));
    BOOST_TEST(platform.startTask(VmId("none"), start).error().reason == Reason::NotFound);
}

BOOST_AUTO_TEST_CASE(onlyChangedWorkersAreFetchedAgain)
{
    constexpr std::uint64_t workerCount = 1'000;
    constexpr std::uint64_t bytesOfAReplyWithoutWorkers = 300;
    ServedPlatform served;
    HttpPlatform platform(served.options());
    served.change([&](auto& state, auto&) {
        for (std::uint64_t number = 0; number < workerCount; ++number) {
            standin::WorkerSeed seed;
            seed.worker = VmId(fmt::format("w-{}", number));
            state.workers.add(seed);
        }
    });
    BOOST_TEST(platform.listWorkers().value().size() == workerCount);
    const auto bytesForAll = platform.traffic().bytesReceived;
    BOOST_TEST(platform.listWorkers().value().size() == workerCount);
    BOOST_TEST(platform.traffic().bytesReceived - bytesForAll < bytesOfAReplyWithoutWorkers);

    served.change([&](auto& state, auto&) { state.workers.markLeaving(VmId("w-7")); });
    const auto reports = platform.listWorkers().value();
    BOOST_TEST(reports.size() == workerCount);
    BOOST_TEST(std::ranges::count_if(reports, &WorkerReport::leaving) == 1);
    BOOST_TEST(platform.traffic().bytesReceived - bytesForAll < 4 * bytesOfAReplyWithoutWorkers);
}

BOOST_AUTO_TEST_SUITE_END()
