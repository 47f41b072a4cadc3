#include "http_caller.h"
#include "process_usage.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <thread>

namespace {

using namespace fulmar;
using namespace fulmar::standin;

constexpr int statusOk = 200;

struct MeasureOptions {
    std::string entry;
    std::vector<std::string> targets;
    std::string path { "/plans/plan" };
    int pid { 0 };
    int users { 32 };
    int rounds { 3 };
    int connections { 1'000 };
    std::chrono::milliseconds roundTime { 2'000 };
};

// The same callers, once through the entry and once straight to the targets.
struct Phase {
    std::vector<std::string> addresses;
    // Calls a second of all users together; 0 for as many as they can.
    double rate { 0 };
};

struct Figures {
    std::vector<Duration> times;
    std::uint64_t failed { 0 };
    Duration wall {};
    std::chrono::milliseconds entryProcessor {};

    void add(const Figures& other)
    {
        times.insert(times.end(), other.times.begin(), other.times.end());
        failed += other.failed;
        wall += other.wall;
        entryProcessor += other.entryProcessor;
    }
    [[nodiscard]] Duration quantile(double share)
    {
        if (times.empty())
            return {};
        const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(times.size() - 1));
        std::nth_element(times.begin(), times.begin() + rank, times.end());
        return times[static_cast<std::size_t>(rank)];
    }
    [[nodiscard]] double perSecond() const
    {
        return static_cast<double>(times.size()) / std::chrono::duration<double>(wall).count();
    }
    [[nodiscard]] double cores() const
    {
        return std::chrono::duration<double>(entryProcessor) / std::chrono::duration<double>(wall);
    }
};

// Calls one address again and again from `begin` to the end; with a period, no faster than one call a period.
Figures runUser(const MeasureOptions& options, const std::string& address, TimePoint begin, TimePoint end,
    Duration period)
{
    const SystemClock clock;
    Figures figures;
    HttpCaller caller;
    const CallerRequest request { "GET", address, options.path, {}, { { "X-Run-Ms", "0" } } };
    for (auto due = begin; clock.now() < end; due += period) {
        std::this_thread::sleep_until(due);
        const auto reply = caller.call(request);
        if (reply.end == ExchangeEnd::Answered && reply.status == statusOk)
            figures.times.push_back(reply.elapsed);
        else
            ++figures.failed;
    }
    return figures;
}

Figures runPhase(const MeasureOptions& options, const Phase& phase)
{
    const SystemClock clock;
    const auto begin = clock.now();
    const auto before = usageOf(options.pid);
    const auto period = phase.rate > 0
        ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options.users / phase.rate))
        : Duration::zero();
    std::vector<Figures> byUser(static_cast<std::size_t>(options.users));
    {
        std::vector<std::jthread> threads;
        threads.reserve(byUser.size());
        for (std::size_t user = 0; user < byUser.size(); ++user)
            threads.emplace_back([&, user] {
                const auto& address = phase.addresses[user % phase.addresses.size()];
                // Users are spread over the period, so that they do not call all at once.
                const auto offset = period * user / byUser.size();
                byUser[user] = runUser(options, address, begin + offset, begin + options.roundTime, period);
            });
    }
    Figures figures;
    for (const auto& user : byUser)
        figures.add(user);
    figures.wall = clock.now() - begin;
    figures.entryProcessor = usageOf(options.pid).processorTime - before.processorTime;
    return figures;
}

void printFigures(const std::string& name, Figures& figures)
{
    fmt::print("{0}_calls={1}\n{0}_failed={2}\n{0}_calls_per_s={3:.0f}\n{0}_p50_us={4}\n{0}_p99_us={5}\n",
        name, figures.times.size(), figures.failed, figures.perSecond(), figures.quantile(0.5).count(),
        figures.quantile(0.99).count());
}

// Alternates direct and entry rounds, so that a busy machine harms both alike.
void compare(const MeasureOptions& options, const std::string& name, double rate, Figures& entry)
{
    Figures direct;
    for (int round = 0; round < options.rounds; ++round) {
        direct.add(runPhase(options, { options.targets, rate }));
        entry.add(runPhase(options, { { options.entry }, rate }));
    }
    printFigures(name + "_direct", direct);
    printFigures(name + "_entry", entry);
    fmt::print("{0}_added_p50_us={1}\n{0}_added_p99_us={2}\n{0}_entry_cores={3:.2f}\n", name,
        (entry.quantile(0.5) - direct.quantile(0.5)).count(),
        (entry.quantile(0.99) - direct.quantile(0.99)).count(), entry.cores());
    if (entry.cores() > 0)
        fmt::print("{}_entry_calls_per_core_s={:.0f}\n", name, entry.perSecond() / entry.cores());
}

// Opens connections, makes one call on each and keeps them open while the entry's memory is read.
void measureMemory(const MeasureOptions& options)
{
    const auto before = usageOf(options.pid).residentKb;
    asio::io_context context;
    const auto colon = options.entry.rfind(':');
    const asio::ip::tcp::endpoint end(asio::ip::make_address(options.entry.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(options.entry.substr(colon + 1))));
    const auto request = fmt::format("GET {} HTTP/1.1\r\nHost: entry\r\nX-Run-Ms: 0\r\n\r\n", options.path);
    std::vector<asio::ip::tcp::socket> open;
    open.reserve(static_cast<std::size_t>(options.connections));
    for (int number = 0; number < options.connections; ++number) {
        open.emplace_back(context).connect(end);
        asio::write(open.back(), asio::buffer(request));
        std::string reply;
        asio::read_until(open.back(), asio::dynamic_buffer(reply), "\r\n\r\n");
    }
    fmt::print("connections_open={}\nrss_before_kb={}\nrss_with_connections_kb={}\n", open.size(), before,
        usageOf(options.pid).residentKb);
}

MeasureOptions parseOptions(int argc, char** argv)
{
    MeasureOptions measure;
    long roundTime = measure.roundTime.count();
    cxxopts::Options options("standin_measure", "What an entry adds to direct calls, on loopback.");
    auto add = options.add_options();
    add("entry", "host:port of the entry", cxxopts::value(measure.entry));
    add("target", "host:port of a target that the entry uses", cxxopts::value(measure.targets));
    add("path", "path to call", cxxopts::value(measure.path));
    add("pid", "process of the entry", cxxopts::value(measure.pid));
    add("users", "concurrent callers", cxxopts::value(measure.users));
    add("rounds", "rounds of each kind", cxxopts::value(measure.rounds));
    add("round-ms", "time of a round", cxxopts::value(roundTime));
    add("connections", "open connections for the memory figure", cxxopts::value(measure.connections));
    options.parse(argc, argv);
    if (measure.entry.empty() || measure.targets.empty() || measure.pid == 0)
        throw std::invalid_argument("--entry, --target and --pid are needed");
    measure.roundTime = std::chrono::milliseconds(roundTime);
    return measure;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto options = parseOptions(argc, argv);
        static_cast<void>(runPhase(options, { { options.entry }, 0 }));
        Figures full;
        compare(options, "full", 0, full);
        Figures half;
        compare(options, "half", full.perSecond() / 2, half);
        measureMemory(options);
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin_measure: {}\n", error.what());
        return 1;
    }
    return 0;
}
