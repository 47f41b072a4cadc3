#include "node/node.h"

#include "node/tests/fake_platform.h"
#include "node/tests/program_run.h"
#include "platform/decode.h"
#include "platform/http_client.h"
#include "platform/names.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

constexpr auto config
    = R"({"version":1,"routes":[{"name":"r","host":"office.example","path-prefix":"/plans/",)"
      R"("service":"p","attempts":3,"stretch":1.6,"target-latency-ms":600,"timeout-ms":3000}],)"
      R"("services":[{"name":"p"},{"name":"standby","standby":true}],"limits":{}})";
constexpr auto submission = R"({"spec":"s","steps":[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":900}]})";

struct NodeFixture {
    test::FakePlatform fake;
    NodeSettings settings;
    asio::io_context loop;
    platform::HttpClient http { loop };

    NodeFixture()
    {
        fake.put(platform::operatorTable, "", std::string(platform::configKey), config);
        // A VM that can join the pool, or the job would be rejected.
        fake.addVm(VmId("vm"), PoolId("standby"));
        settings.name = "node";
        for (auto* address : { &settings.callerAddress, &settings.readinessAddress, &settings.peerAddress,
                 &settings.metricsAddress })
            *address = test::FakePlatform::freeAddress();
        settings.storeAddress = settings.vmsAddress = fake.address();
        settings.configApplyTime = 2s;
        settings.maxRunnerLease = 6s;
        settings.stopGrace = 3s;
        settings.maintenanceTime = 2s;
        settings.maxDescriptors = 1'024;
    }

    platform::HttpCall submit(const std::string& id, std::string body = submission) const
    {
        return { settings.callerAddress, "POST", "/plans/" + id,
            { { "Host", "office.example" }, { std::string(platform::callTimeoutHeader), "10000" } },
            std::move(body), 10s };
    }

    platform::HttpResult call(platform::HttpCall request)
    {
        std::optional<platform::HttpResult> result;
        http.call(std::move(request), [&](platform::HttpResult answer) { result = std::move(answer); });
        while (!result)
            loop.run_one();
        return *result;
    }

    // A node that starts holds a shard, and knows runners or VMs, only after a while.
    bool isJobAcceptedInTime()
    {
        auto isAccepted = false;
        for (int tries = 0; tries < 100 && !isAccepted; ++tries) {
            isAccepted = call(submit(fmt::format("{:016x}", tries))).status == 200;
            std::this_thread::sleep_for(isAccepted ? 0ms : 100ms);
        }
        return isAccepted;
    }
};

// A node that is stopped while callers are connected. Times are since the stop signal; with 3 s of grace,
// calls are refused from 1 s on, all are answered after 2.3 s, and the process exits after 2.5 to 2.7 s.
struct StoppedNodeFixture : NodeFixture {
    using Clock = std::chrono::steady_clock;

    std::chrono::milliseconds reloadTime { 0 };
    std::thread process { [this] {
        Node node(settings, 1, [this] {
            std::this_thread::sleep_for(reloadTime);
            return std::nullopt;
        });
        std::ignore = node.run();
    } };
    Clock::time_point stoppedAt;

    StoppedNodeFixture() { BOOST_REQUIRE(isJobAcceptedInTime()); }
    ~StoppedNodeFixture() { process.join(); }

    void stop()
    {
        ::kill(::getpid(), SIGTERM);
        stoppedAt = Clock::now();
    }
    void sleepUntil(std::chrono::milliseconds time) const { std::this_thread::sleep_until(stoppedAt + time); }
    [[nodiscard]] std::chrono::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - stoppedAt);
    }

    asio::ip::tcp::socket connect(const std::string& address)
    {
        asio::ip::tcp::socket socket(loop);
        auto port = std::uint16_t(std::stoul(address.substr(address.find(':') + 1)));
        asio::error_code error;
        socket.connect({ asio::ip::address_v4::loopback(), port }, error);
        return socket;
    }
    static void send(asio::ip::tcp::socket& socket)
    {
        asio::error_code ignored;
        asio::write(socket, asio::buffer("GET /plans/0 HTTP/1.1\r\nHost: office.example\r\n\r\n"s), ignored);
    }
    // Until the connection ends.
    static std::string read(asio::ip::tcp::socket& socket)
    {
        std::string reply;
        asio::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(reply), ignored);
        return reply;
    }
};

constexpr auto refused = "HTTP/1.1 503";
constexpr auto runnerRow
    = R"({{"service":"p","address":"127.0.0.1:{}","zone":"z","state":"ready","labels":["a","r1"],"born":1,)"
      R"("capacity":{{"cpu":16000,"mem-mb":32768,"gpu":0}}}})";

} // namespace

BOOST_AUTO_TEST_SUITE(node)

// Guards against a call that ends without an answer: it waited for the store, was given its whole time, and
// the process exited first.
BOOST_FIXTURE_TEST_CASE(ACallInFlightIsAnsweredBeforeTheExit, NodeFixture)
{
    Node node(settings, 1, [] { return std::nullopt; });
    auto hasRun = false;
    std::thread process([&] { hasRun = node.run().has_value(); });
    BOOST_TEST(isJobAcceptedInTime());
    fake.silenceTransactions();
    std::optional<platform::HttpResult> result;
    http.call(submit("000000000000ffff"), [&](platform::HttpResult answer) { result = std::move(answer); });
    loop.run_for(200ms);
    BOOST_TEST(!result.has_value());
    ::kill(::getpid(), SIGTERM);
    while (!result)
        loop.run_one();
    BOOST_TEST(result->status == 504);
    process.join();
    BOOST_TEST(hasRun);
}

// Guards against a process that ends for want of settings that it can do without, or as the address of its
// metrics is in use.
BOOST_FIXTURE_TEST_CASE(AProcessServesWithoutVmsReadinessAndMetrics, NodeFixture)
{
    standin::HttpHost runner;
    auto port = runner.listen("127.0.0.1:0", [](const standin::HttpRequest&) {
        return standin::HttpReply { 200, R"({"clock-ms":1,"born":1,"running":[],"finished":[]})" };
    });
    std::thread runnerThread([&] { runner.run(); });
    fake.put(platform::runnerListTable, "", "runner", fmt::format(runnerRow, port));
    settings.vmsAddress.clear();
    settings.readinessAddress.clear();
    settings.peerAddress = "127.0.0.1:0";
    settings.metricsAddress = fake.address();
    Node node(settings, 1, [] { return std::nullopt; });
    std::thread process([&] { BOOST_TEST(node.run().has_value()); });
    BOOST_TEST(isJobAcceptedInTime());
    ::kill(::getpid(), SIGTERM);
    process.join();
    runner.stop();
    runnerThread.join();
}

// Guards against a process that ends by an error that no handler expects.
BOOST_FIXTURE_TEST_CASE(AProcessOutlivesAnErrorOfAHandler, NodeFixture)
{
    Node node(settings, 1, []() -> std::optional<NodeSettings> { throw std::runtime_error("reload"); });
    std::thread process([&] { BOOST_TEST(node.run().has_value()); });
    BOOST_TEST(isJobAcceptedInTime());
    ::kill(::getpid(), SIGHUP);
    std::this_thread::sleep_for(200ms);
    BOOST_TEST(isJobAcceptedInTime());
    ::kill(::getpid(), SIGTERM);
    process.join();
}

// Guards against a system without shards where the platform's VM interface lists no VMs.
BOOST_FIXTURE_TEST_CASE(ASystemStartsWithoutAListOfVms, NodeFixture)
{
    settings.vmsAddress = test::FakePlatform::freeAddress();
    Node node(settings, 1, [] { return std::nullopt; });
    std::thread process([&] { BOOST_TEST(node.run().has_value()); });
    fake.put(platform::runnerListTable, "", "runner", fmt::format(runnerRow, 9));
    platform::HttpResult answer;
    auto hasShard = [&] { return answer.body.find("no-runner") != std::string::npos; };
    for (int tries = 0; tries < 80 && !hasShard(); ++tries) {
        answer = call(submit(fmt::format("{:016x}", tries)));
        std::this_thread::sleep_for(hasShard() ? 0ms : 100ms);
    }
    BOOST_TEST_CONTEXT(answer.body) BOOST_TEST(hasShard());
    ::kill(::getpid(), SIGTERM);
    process.join();
}

// Guards against a job whose progress outgrows its row once it runs.
BOOST_FIXTURE_TEST_CASE(AJobThatMayOutgrowItsRowsIsRefusedAtOnce, NodeFixture)
{
    Node node(settings, 1, [] { return std::nullopt; });
    std::thread process([&] { BOOST_TEST(node.run().has_value()); });
    BOOST_TEST(isJobAcceptedInTime());
    std::string body = R"({"spec":"s","steps":[)";
    for (int step = 0; step < 64; ++step)
        body += std::string(step > 0 ? "," : "") + R"({"count":10000,"cpu":1,"mem-mb":1,"estimate-ms":9})";
    auto answer = call(submit(
        "000000000000ffff", body + R"(],"max-runs":1,"first-run-ms":4102444800000,"interval-ms":1000})"));
    BOOST_TEST(answer.status == 400);
    BOOST_TEST(answer.body.find("job-too-large") != std::string::npos);
    ::kill(::getpid(), SIGTERM);
    process.join();
}

// Guards against a process that was late over its last half second, and exits before it reads what came in
// that time.
BOOST_FIXTURE_TEST_CASE(ACallIsReadBeforeTheExitOfALateProcess, StoppedNodeFixture)
{
    auto socket = connect(settings.callerAddress);
    reloadTime = 600ms;
    stop();
    sleepUntil(2200ms);
    ::kill(::getpid(), SIGHUP);
    sleepUntil(2400ms);
    auto late = connect(settings.callerAddress);
    send(socket);
    send(late);
    BOOST_TEST(read(socket).starts_with(refused));
    BOOST_TEST(read(late).starts_with(refused));
    BOOST_TEST(elapsed().count() < 3000);
}

// Guards against connections that stay open, with nobody to read them, while the process waits for calls of
// other processes to end.
BOOST_FIXTURE_TEST_CASE(TheProcessEndsAtOnceWhateverOtherProcessesCall, NodeFixture)
{
    test::ProgramRun program(
        fmt::format("[process]\nname = node\nzone = z\nstop_grace = 3s\n[listen]\ncallers = {}\n"
                    "readiness = {}\npeers = {}\nmetrics = {}\n[platform]\nstore = {}\nvms = {}\n",
            settings.callerAddress, settings.readinessAddress, settings.peerAddress, settings.metricsAddress,
            settings.storeAddress, settings.vmsAddress));
    for (int tries = 0; tries < 100 && call(submit("0")).status == 0; ++tries)
        std::this_thread::sleep_for(100ms);
    ShardRpcClient peer(loop);
    asio::ip::tcp::socket socket(loop);
    socket.connect({ asio::ip::address_v4::loopback(),
        std::uint16_t(std::stoul(settings.callerAddress.substr(settings.callerAddress.find(':') + 1))) });
    std::array<char, 1> byte {};
    auto isOpen = true;
    socket.async_read_some(asio::buffer(byte), [&](const asio::error_code&, std::size_t) { isOpen = false; });
    program.signal(SIGTERM);
    auto stoppedAt = std::chrono::steady_clock::now();
    while (isOpen && std::chrono::steady_clock::now() < stoppedAt + 5s) {
        peer.call(settings.peerAddress, { JobCallKind::Count, {}, {}, {}, 0 }, 1s, [](const JobReply&) {});
        loop.restart();
        loop.run_for(1ms);
    }
    auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - stoppedAt);
    BOOST_TEST(elapsed.count() < 3000);
    if (isOpen)
        program.signal(SIGKILL);
    BOOST_TEST(program.wait() == 0);
    // The client's calls end.
    loop.restart();
    loop.run_for(1200ms);
}

// Guards against a process of which nothing tells why it ended.
BOOST_AUTO_TEST_CASE(AProcessThatASignalEndsLogsItFirst)
{
    test::ProgramRun program(fmt::format("[listen]\ncallers = {}\n[platform]\nstore = {}\n",
        test::FakePlatform::freeAddress(), test::FakePlatform::freeAddress()));
    std::this_thread::sleep_for(500ms);
    program.signal(SIGSEGV);
    auto status = program.wait();
    BOOST_TEST((WIFSIGNALED(status) && WTERMSIG(status) == SIGSEGV));
    BOOST_TEST(program.errors().starts_with(
        "level=FATAL process=fulmarramp event=process-ends reason=signal signal=11\n"));
}

BOOST_AUTO_TEST_CASE(ACheckOfSettingsTellsWhatAStartWouldReplace)
{
    test::ProgramRun program(
        "[listen]\ncallers = 127.0.0.1:1\n[platform]\nstore = 127.0.0.1:2\n[vms]\nmove_time = s\n",
        { "--check-settings" });
    BOOST_TEST(program.wait() == 0);
    BOOST_TEST(
        program.errors().ends_with(":6: [vms] move_time: 's' is not usable; used instead: 1500000us\n"));
}

BOOST_AUTO_TEST_CASE(AStartThatIsRefusedSaysWhyInOneLine)
{
    test::ProgramRun program("[listen]\ncallers =\n[platform]\nstore = 127.0.0.1:2\n");
    auto status = program.wait();
    BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 2));
    auto errors = program.errors();
    BOOST_TEST(errors.ends_with(":2: [listen] callers: '' is not an IPv4 address and port\n"));
    BOOST_TEST(std::count(errors.begin(), errors.end(), '\n') == 1);
}

// Callers that send one call after the other until the process is gone: each gets an answer, or sees at once
// that there is none.
BOOST_FIXTURE_TEST_CASE(NoCallIsGivenUpLateUntilTheExit, StoppedNodeFixture)
{
    std::vector<asio::ip::tcp::socket> idle;
    for (int i = 0; i < 5; ++i)
        idle.push_back(connect(settings.callerAddress));
    stop();
    sleepUntil(2000ms);
    // A second signal changes nothing.
    ::kill(::getpid(), SIGTERM);
    std::size_t answered = 0;
    for (std::size_t i = 0; elapsed() < 2900ms; ++i) {
        auto isIdle = i % 8 == 7 && !idle.empty();
        auto socket = isIdle ? std::move(idle.back()) : connect(settings.callerAddress);
        if (isIdle)
            idle.pop_back();
        auto sentAt = elapsed();
        send(socket);
        auto isAnswered = read(socket).starts_with(refused);
        answered += isAnswered ? 1 : 0;
        BOOST_TEST((isAnswered || elapsed() - sentAt < 200ms));
        BOOST_TEST((isAnswered || sentAt > 2400ms));
        std::this_thread::sleep_for(15ms);
    }
    BOOST_TEST(answered > 10U);
}

// The system sends what the process has written, also after its exit.
BOOST_FIXTURE_TEST_CASE(ACallerThatReadsSlowlyGetsItsAnswerAfterTheExit, StoppedNodeFixture)
{
    auto single = connect(settings.callerAddress);
    auto pipelined = connect(settings.callerAddress);
    stop();
    sleepUntil(2450ms);
    send(single);
    send(pipelined);
    send(pipelined);
    sleepUntil(3200ms);
    BOOST_TEST(read(single).starts_with(refused));
    BOOST_TEST(read(pipelined).starts_with(refused));
}

BOOST_FIXTURE_TEST_CASE(ConnectionsOfHealthChecksAndMetricsDoNotDelayTheExit, StoppedNodeFixture)
{
    auto metrics = connect(settings.metricsAddress);
    auto readiness = connect(settings.readinessAddress);
    stop();
    sleepUntil(2300ms);
    send(metrics);
    send(readiness);
    BOOST_TEST(read(readiness).starts_with(refused));
    BOOST_TEST(read(metrics).starts_with("HTTP/1.1 200"));
    BOOST_TEST(elapsed().count() < 3000);
}

// Guards against calls that are served without a key of their team, of whatever kind they are.
BOOST_FIXTURE_TEST_CASE(ACallNeedsAKeyOfItsTeam, NodeFixture)
{
    std::string withTeams(config);
    withTeams.pop_back();
    withTeams += R"(,"tenants":[{"name":"a","api-keys":["secret-a"]},{"name":"b","api-keys":["secret-b"]}]})";
    fake.put(platform::operatorTable, "", std::string(platform::configKey), withTeams);
    Node node(settings, 1, [] { return std::nullopt; });
    std::thread process([&] { BOOST_TEST(node.run().has_value()); });
    auto statusOf = [&](const std::string& method, const std::string& id, const std::string& key) {
        auto request = submit(id);
        request.method = method;
        if (!key.empty())
            request.headers.emplace_back("Authorization", "Bearer " + key);
        return call(std::move(request)).status;
    };
    const std::string job = "00000000000000aa";
    std::uint32_t status = 0;
    for (int tries = 0; tries < 100 && status != 200; ++tries) {
        status = std::uint32_t(statusOf("POST", job, "secret-a"));
        std::this_thread::sleep_for(status == 200 ? 0ms : 100ms);
    }
    BOOST_TEST(status == 200U);
    for (const auto* method : { "POST", "GET", "DELETE" })
        for (const auto* key : { "", "secret-c" })
            BOOST_TEST(statusOf(method, job, key) == 401, method);
    BOOST_TEST(statusOf("GET", "", "secret-c") == 401);
    BOOST_TEST(statusOf("GET", "", "secret-b") == 200);
    for (const auto* method : { "POST", "GET", "DELETE" })
        BOOST_TEST(statusOf(method, job, "secret-b") == 403, method);
    BOOST_TEST(statusOf("GET", job, "secret-a") == 200);
    BOOST_TEST(statusOf("DELETE", job, "secret-a") == 200);
    auto metrics = call({ settings.metricsAddress, "GET", "/metrics", {}, {}, 10s }).body;
    BOOST_TEST(metrics.find(R"(fulmar_refusals_total{reason="unknown-key"})") != std::string::npos);
    ::kill(::getpid(), SIGTERM);
    process.join();
    auto row = fake.value("jobs", "s0", job);
    BOOST_TEST(row.find(R"("team":"a")") != std::string::npos);
    for (const auto& text : { row, metrics })
        BOOST_TEST(text.find("secret") == std::string::npos);
}

// Two nodes that reach the store; one holds the shard, and the other one cannot reach it.
struct CutOffNodeFixture : NodeFixture {
    standin::HttpHost runner;
    std::thread runnerThread;
    std::thread holder;
    std::thread receiver;

    void start(bool holderServesSubmissions)
    {
        auto port = runner.listen("127.0.0.1:0", [](const standin::HttpRequest&) {
            return standin::HttpReply { 200, R"({"clock-ms":1,"born":1,"running":[],"finished":[]})" };
        });
        runnerThread = std::thread([this] { runner.run(); });
        fake.put(platform::runnerListTable, "", "runner", fmt::format(runnerRow, port));
        settings.vmsAddress.clear();
        fake.checkConditions();
        // As address of the holder: nothing listens there.
        fake.hide(settings.peerAddress, "127.0.0.1:1");
        settings.storeSubmissions = holderServesSubmissions;
        holder = std::thread([ours = settings] { run(ours, 1); });
        BOOST_REQUIRE(isJobAcceptedInTime());
        for (auto* address : { &settings.callerAddress, &settings.readinessAddress, &settings.peerAddress,
                 &settings.metricsAddress })
            *address = test::FakePlatform::freeAddress();
        settings.storeAddress = fake.cutOffAddress();
        settings.storeSubmissions = true;
        receiver = std::thread([ours = settings] { run(ours, 2); });
    }

    ~CutOffNodeFixture()
    {
        ::kill(::getpid(), SIGTERM);
        holder.join();
        receiver.join();
        runner.stop();
        runnerThread.join();
    }

    static void run(const NodeSettings& ours, std::uint64_t incarnation)
    {
        Node node(ours, incarnation, [] { return std::nullopt; });
        BOOST_TEST(node.run().has_value());
    }

    // The answer to the first submission that is not refused for another reason than these.
    platform::HttpResult submitUntil(const std::string& reason)
    {
        platform::HttpResult answer;
        for (int tries = 0; tries < 100; ++tries) {
            answer = call(submit("00000000000000aa"));
            if (answer.status == 200 || answer.body.find(reason) != std::string::npos)
                break;
            std::this_thread::sleep_for(100ms);
        }
        return answer;
    }

    std::size_t rowsOf(const std::string& table)
    {
        auto rows = fake.rows();
        return std::size_t(std::count_if(
            rows.begin(), rows.end(), [&](const auto& each) { return std::get<0>(each.first) == table; }));
    }
};

// Guards against callers that are refused although their process and the holder reach the store.
BOOST_FIXTURE_TEST_CASE(ASubmissionReachesACutOffHolderThroughTheStore, CutOffNodeFixture)
{
    start(true);
    auto answer = submitUntil("none");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(!fake.value("jobs", "s0", "00000000000000aa").empty());
    BOOST_TEST(rowsOf("submissions") == 1U);
    auto refused = call(submit("00000000000000ab",
        R"({"spec":"s","steps":[{"count":1,"cpu":900000,"mem-mb":1,"estimate-ms":900000}]})"));
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(refused.body.find("overload") != std::string::npos);
    BOOST_TEST(fake.value("jobs", "s0", "00000000000000ab").empty());
    for (const auto& [id, status] : { std::pair("00000000000000aa", 200), { "00000000000000ab", 410 } }) {
        auto request = submit(id, {});
        request.method = "GET";
        BOOST_TEST(call(request).status == status);
    }
}

// Guards against rows that a holder of the release before, or without the setting, never looks at.
BOOST_FIXTURE_TEST_CASE(AHolderThatDoesNotServeSubmissionsGetsNoRows, CutOffNodeFixture)
{
    start(false);
    std::this_thread::sleep_for(2500ms);
    auto answer = submitUntil("holder-silent");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(rowsOf("submissions") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
