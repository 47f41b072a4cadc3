#include "core/address.h"
#include "node/tests/clients/crowd.h"
#include "node/tests/fake_platform.h"
#include "node/tests/program_run.h"
#include "platform/http_client.h"
#include "platform/names.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <iterator>
#include <sstream>
#include <thread>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

// The stated targets: the memory limit and the descriptors of the process under test. Crowds are small; the
// limits are lowered so that they still exceed them.
constexpr std::size_t maxMemoryMb = 64;
constexpr std::size_t maxDescriptors = 512;
constexpr std::size_t crowdSize = 80;
// Connections at the readiness and the metrics listener, which accept 16 each with these descriptors.
constexpr std::size_t sideCrowdSize = 16;

constexpr auto config
    = R"({"version":1,"routes":[{"name":"r","host":"office.example","path-prefix":"/plans/",)"
      R"("service":"p","attempts":3,"stretch":1.6,"target-latency-ms":600,"timeout-ms":3000}],)"
      R"("services":[{"name":"p"},{"name":"standby","standby":true}],"limits":{}})";
constexpr auto step = R"({"count":1,"cpu":500,"mem-mb":256,"estimate-ms":900})";

// The process's own limit of a body is 1 MB.
constexpr std::size_t largeBody = 1024 * 1024 - 65;

enum class Where : std::uint8_t { Callers, PathWithoutRoute, EveryListener, BeforeConfiguration };
enum class Store : std::uint8_t { Prompt, Slow };

struct Kind {
    const char* name;
    test::Script script;
    Where where { Where::Callers };
    Store store { Store::Prompt };
    // One client behaves so, rather than a crowd.
    bool isSingle { false };
};

std::ostream& operator<<(std::ostream& stream, const Kind& kind) { return stream << kind.name; }

std::string headOf(const std::string& fields, const std::string& path = "/plans/00000000000000f1")
{
    return "POST " + path + " HTTP/1.1\r\nHost: office.example\r\n" + fields;
}
std::string lengthOf(std::size_t bytes) { return fmt::format("Content-Length: {}\r\n\r\n", bytes); }
std::string chunkOf(const std::string& data) { return fmt::format("{:x}\r\n{}\r\n", data.size(), data); }
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string getPlans = "GET /plans/ HTTP/1.1\r\nHost: office.example\r\n\r\n";

const std::string upgrade
    = "GET /plans/ HTTP/1.1\r\nHost: office.example\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";

// All but the last byte of a body, and one byte in each round for the last `trickled` of them.
test::Script unfinishedBody(std::size_t pieceBytes = SIZE_MAX, std::size_t trickled = 0)
{
    return { headOf(lengthOf(largeBody)), std::string(largeBody - 1 - trickled, ' '), 1,
        std::string(trickled, ' '), pieceBytes, trickled };
}

// A valid job, with spaces up to `bytes`.
std::string paddedJob(std::size_t bytes)
{
    auto job = fmt::format(R"({{"spec":"s","steps":[{}]}})", step);
    return job + std::string(bytes - job.size(), ' ');
}

std::string manySteps()
{
    std::string body = R"({"spec":"s","steps":[{"count":1})";
    for (int i = 1; i < 80'000; ++i)
        body += R"(,{"count":1})";
    return body + "]}";
}

std::vector<Kind> allKinds()
{
    auto whole = paddedJob(largeBody);
    auto steps = manySteps();
    std::string fields;
    for (int i = 0; i < 98; ++i)
        fields += fmt::format("f{}: {}\r\n", i, std::string(15'000, 'v'));
    auto unfinishedChunks
        = test::Script { headOf(chunked), chunkOf(std::string(65'536, ' ')), 14, "10\r\n " };
    auto unfinishedBytes = test::Script { headOf(chunked), "1\r\n \r\n", 60'000, "10\r\n " };
    auto post = headOf(lengthOf(100)) + paddedJob(100);
    return {
        { "unfinished-body", unfinishedBody() },
        { "unfinished-body-in-pieces", unfinishedBody(8'192) },
        { "unfinished-body-slow", unfinishedBody(SIZE_MAX, 300) },
        { "unfinished-chunks", unfinishedChunks },
        { "unfinished-chunks-of-one-byte", unfinishedBytes },
        { "body-announced-over-the-limit", { headOf(lengthOf(64 << 20)), std::string(65'536, ' '), 1'024 } },
        { "chunks-over-the-limit", { headOf(chunked), chunkOf(std::string(65'536, ' ')), 1'024 } },
        { "whole-bodies", { headOf(lengthOf(whole.size())) + whole } },
        { "whole-bodies-waiting-for-the-store", { headOf(lengthOf(whole.size())) + whole }, Where::Callers,
            Store::Slow },
        { "many-steps", { headOf(lengthOf(steps.size())) + steps } },
        { "many-steps-once", { headOf(lengthOf(steps.size())) + steps }, Where::Callers, Store::Prompt,
            true },
        { "many-short-fields", { headOf(""), "a: b\r\n", 40'000 } },
        { "many-long-fields", { headOf(fields) + "\r\n" } },
        { "many-trailers", { headOf(chunked) + "0\r\n", "a: b\r\n", 40'000 } },
        { "heads-without-end", { headOf("x: "), "v", 400, "vvvv", 1 } },
        { "pipelined-gets-unread", { "", getPlans, 40'000 } },
        { "pipelined-posts-unread", { "", post, 400 } },
        { "upgrades-unread", { upgrade } },
        { "unfinished-body-without-route",
            { headOf(lengthOf(largeBody), "/none"), std::string(largeBody - 1, ' '), 1 },
            Where::PathWithoutRoute },
        { "pipelined-gets-without-route-unread",
            { "", "GET /none HTTP/1.1\r\nHost: office.example\r\n\r\n", 40'000 }, Where::PathWithoutRoute },
        { "unfinished-body-everywhere", unfinishedBody(), Where::EveryListener },
        { "unfinished-chunks-of-one-byte-everywhere", unfinishedBytes, Where::EveryListener },
        { "pipelined-gets-unread-everywhere", { "", getPlans, 40'000 }, Where::EveryListener },
        { "unfinished-body-before-configuration", unfinishedBody(), Where::BeforeConfiguration },
        { "unfinished-chunks-of-one-byte-before-configuration", unfinishedBytes, Where::BeforeConfiguration },
        { "many-steps-before-configuration", { headOf(lengthOf(steps.size())) + steps },
            Where::BeforeConfiguration },
    };
}

// The program as a process on loopback addresses, with a fake platform.
struct ProcessFixture {
    test::FakePlatform fake;
    std::string callers { test::FakePlatform::freeAddress() };
    std::string readiness { test::FakePlatform::freeAddress() };
    std::string metrics { test::FakePlatform::freeAddress() };
    standin::HttpHost runner;
    std::uint16_t runnerPort { runner.listen("127.0.0.1:0", [](const standin::HttpRequest&) {
        return standin::HttpReply { 200, R"({"clock-ms":1,"born":1,"running":[],"finished":[]})" };
    }) };
    std::thread runnerThread { [this] { runner.run(); } };
    asio::io_context loop;
    platform::HttpClient http { loop };
    std::unique_ptr<test::ProgramRun> program;
    int calls { 0 };

    ProcessFixture() = default;
    ProcessFixture(const ProcessFixture&) = delete;
    ProcessFixture& operator=(const ProcessFixture&) = delete;
    ~ProcessFixture()
    {
        program.reset();
        runner.stop();
        runnerThread.join();
    }

    void start(bool isConfigured)
    {
        if (isConfigured)
            fake.put(platform::operatorTable, "", std::string(platform::configKey), config);
        // A runner, or the job would be rejected.
        fake.put(platform::runnerListTable, "", "runner",
            fmt::format(
                R"({{"service":"p","address":"127.0.0.1:{}","zone":"z","state":"ready","labels":["a"],)"
                R"("born":1,"capacity":{{"cpu":64000,"mem-mb":131072,"gpu":0}}}})",
                runnerPort));
        program = std::make_unique<test::ProgramRun>(
            fmt::format("[process]\nname = node\nzone = z\nmax_descriptors = {}\nmax_memory = "
                        "{}MB\n[listen]\ncallers = {}\n"
                        "readiness = {}\npeers = {}\nmetrics = {}\n[platform]\nstore = {}\n",
                maxDescriptors, maxMemoryMb, callers, readiness, test::FakePlatform::freeAddress(), metrics,
                fake.address()),
            std::vector<std::string>(), test::ProgramOutput::Dropped);
    }

    // The status of one ordinary submission, 0 without an answer.
    int submit()
    {
        std::optional<platform::HttpResult> result;
        http.call({ callers, "POST", fmt::format("/plans/{:016x}", ++calls),
                      { { "Host", "office.example" }, { std::string(platform::callTimeoutHeader), "5000" } },
                      fmt::format(R"({{"spec":"s","steps":[{}]}})", step), 5s },
            [&](platform::HttpResult answer) { result = std::move(answer); });
        while (!result)
            loop.run_one();
        return int(result->status);
    }
    // An ordinary client repeats a call that is refused, for 15 s or so.
    bool isServed(bool isConfigured)
    {
        auto wanted = isConfigured ? 200 : 503;
        auto status = 0;
        auto end = std::chrono::steady_clock::now() + 15s;
        while (status != wanted && std::chrono::steady_clock::now() < end) {
            status = submit();
            std::this_thread::sleep_for(status == wanted ? 0ms : 100ms);
        }
        return status == wanted;
    }

    [[nodiscard]] std::size_t peakKb() const
    {
        std::ifstream file(fmt::format("/proc/{}/status", program->id()));
        for (std::string word; file >> word;)
            if (std::size_t kb = 0; word == "VmHWM:" && file >> kb)
                return kb;
        return 0;
    }
    [[nodiscard]] std::size_t descriptors() const
    {
        std::filesystem::directory_iterator all(fmt::format("/proc/{}/fd", program->id()));
        return std::size_t(std::distance(begin(all), end(all)));
    }
    // Bytes that the kernel holds for the program's listeners, which it has not read yet.
    [[nodiscard]] std::size_t unreadBytes() const
    {
        std::size_t sum = 0;
        std::ifstream file(fmt::format("/proc/{}/net/tcp", program->id()));
        for (std::string line; std::getline(file, line);) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            if (!(fields >> number >> local >> remote >> state >> queues) || state == "st" || state == "0A")
                continue;
            auto port = std::to_string(std::stoul(local.substr(local.find(':') + 1), nullptr, 16));
            for (const auto& address : { callers, readiness, metrics })
                if (address.ends_with(":" + port))
                    sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
        return sum;
    }
    // Waits until the program has read what it is going to read.
    void settle() const
    {
        auto unread = unreadBytes();
        for (int same = 0; same < 10;) {
            std::this_thread::sleep_for(50ms);
            auto before = std::exchange(unread, unreadBytes());
            same = before == unread ? same + 1 : 0;
        }
    }
    [[nodiscard]] bool isAlive() const { return ::waitpid(program->id(), nullptr, WNOHANG) == 0; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(clients)

// Guards against clients that make a process exceed its memory limit, use up its descriptors, end or hang.
BOOST_DATA_TEST_CASE_F(ProcessFixture, ACrowdLeavesTheProcessWithinItsLimits, allKinds(), kind)
{
    auto isConfigured = kind.where != Where::BeforeConfiguration;
    start(isConfigured);
    BOOST_REQUIRE(isServed(isConfigured));
    auto atRest = peakKb();
    std::size_t most = 0;
    {
        test::Crowd crowd;
        if (kind.store == Store::Slow)
            fake.setCommitTime(700ms);
        crowd.add(callers, kind.isSingle ? 1 : crowdSize, kind.script);
        if (kind.where == Where::EveryListener) {
            crowd.add(readiness, sideCrowdSize, kind.script);
            crowd.add(metrics, sideCrowdSize, kind.script);
        }
        crowd.sendRound();
        most = descriptors();
        crowd.sendAll();
        settle();
        most = std::max(most, descriptors());
        fake.setCommitTime(0ms);
        BOOST_TEST(isServed(isConfigured), "no ordinary call was served while the crowd was there");
        BOOST_TEST_MESSAGE(fmt::format("{}: at rest {} KB, peak {} KB, descriptors {}, crowd open {}",
            kind.name, atRest, peakKb(), most, crowd.openCount()));
    }
    BOOST_TEST(isServed(isConfigured), "no ordinary call was served after the crowd");
    BOOST_REQUIRE(isAlive());
    BOOST_TEST(peakKb() > 0U);
    BOOST_TEST(peakKb() <= maxMemoryMb * 1024);
    BOOST_TEST(most <= maxDescriptors);
}

// Guards against a request with an upgrade that is answered again and again for as long as the client reads.
BOOST_FIXTURE_TEST_CASE(AnUpgradeIsAnsweredOnce, ProcessFixture)
{
    start(true);
    BOOST_REQUIRE(isServed(true));
    asio::ip::tcp::socket socket(loop);
    auto [host, port] = splitAddress(callers);
    socket.connect({ asio::ip::address_v4::loopback(), parsePort(port).value() });
    asio::write(socket, asio::buffer(upgrade));
    // A second answer within this time, or an end of the connection after the first.
    std::string received;
    asio::async_read(
        socket, asio::dynamic_buffer(received, 65'536), [](const asio::error_code&, std::size_t) {});
    loop.restart();
    loop.run_for(300ms);
    std::size_t answers = 0;
    for (std::size_t at = 0; (at = received.find("HTTP/1.1 ", at)) != std::string::npos; ++at)
        ++answers;
    BOOST_TEST(answers == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
